// Runs one generation to its end, over as many attempts as that takes.
//
// The driver only decides: it performs no I/O and has no threads or timers. The embedding program reports events to it,
// and the driver asks its AttemptHost to start and cancel attempts. See samples/ for a one-page program.
//
//     GenerationDriver driver(request, settings, host);
//     driver.start(clock.now());
//     driver.tokenArrived(1, 0, { 17, "a" }, clock.now());
//     driver.attemptFailed(1, FailureKind::ConnectionLost, clock.now());  // Asks the host to start attempt 2.
//     driver.tick(driver.nextTick());                                      // Detects silence and passed deadlines.
#pragma once

#include "lupinknot/AttemptHost.h"
#include "lupinknot/GenerationError.h"
#include "lupinknot/RecoveryPolicy.h"

namespace lupinknot {

struct GenerationRequest {
    GenerationLimits limits;
    bool repeatable { true };
    // The instant after which the caller no longer waits for the answer.
    Milliseconds deadline { Milliseconds::max() };
};

// What another VM held of a generation when this VM took it over.
struct AdoptedGeneration {
    std::vector<Token> tokens;
    // The last attempt that may have begun; 0 for none.
    AttemptNumber lastAttempt { 0 };
    std::optional<FinishReason> finishReason;
};

// Not thread-safe: one lock of the owner protects the driver. Drivers share no state. The host must outlive the driver.
class GenerationDriver {
public:
    GenerationDriver(GenerationRequest, const RecoverySettings&, AttemptHost&);

    void start(Milliseconds now);

    // Reports a token. It proves that the endpoint accepted the work, so from now on the attempt may have begun.
    AppendResult tokenArrived(AttemptNumber, std::size_t position, Token, Milliseconds now);
    AppendResult attemptFinished(AttemptNumber, std::size_t position, FinishReason, Milliseconds now);
    // Ignored unless the attempt is the current one and still runs.
    void attemptFailed(AttemptNumber, FailureKind, Milliseconds now);

    // Detects silence, passed deadlines and endpoints that are available again. Call it at nextTick(), or at any time.
    void tick(Milliseconds now);
    Milliseconds nextTick() const;

    // Takes over a generation that another VM has begun. Must be called before the start.
    void adopt(AdoptedGeneration);
    // Starts by attaching to the stream that the last attempt left running on an endpoint.
    void startAttached(EndpointChoice, Milliseconds now);

    // Ends the generation with an error, unless it has already ended.
    void stop(GenerationErrorCode);
    // Stops the work because no caller waits for it any more. Keeps the tokens.
    void abandon();
    // Continues abandoned work from its tokens. Does nothing unless the work was abandoned and may continue.
    void resumeAbandoned(Milliseconds now, Milliseconds deadline);

    const Generation& generation() const { return m_generation; }
    bool isRepeatable() const { return m_request.repeatable; }
    bool isStarted() const { return m_state != State::Idle; }
    bool isOver() const { return m_state == State::Ended; }
    // Set when the generation was given up.
    const std::optional<GenerationError>& error() const { return m_error; }

private:
    enum class State {
        Idle,
        WaitingForEndpoint,
        Running,
        Ended,
    };

    // The attempt that is running.
    struct Running {
        AttemptNumber number { 0 };
        EndpointChoice endpoint;
        StreamActivity activity;
    };

    // A lost attempt that no token has followed yet.
    struct Loss {
        FailureKind failure;
        Milliseconds lastActivity;
        Milliseconds detected;
    };

    // True if another attempt may follow when the running one is lost. Otherwise it is not ended for its silence,
    // because its endpoint may continue.
    bool mayAttemptFollow() const;
    bool isCurrent(AttemptNumber number) const { return m_state == State::Running && number == m_running.number; }
    AppendResult resultForStaleAttempt() const;
    void tryNextAttempt(Milliseconds now);
    void beginAttempt(EndpointChoice, Milliseconds now, bool attaches);
    void waitForEndpoint(Milliseconds now);
    void noteToken(Milliseconds now);
    void reportResumption(Milliseconds now);
    void handleFailedAttempt(FailureKind, Milliseconds now);
    void endRunningAttempt(std::optional<FailureKind>);
    void checkSilence(Milliseconds now);
    void complete();
    void giveUp(GenerationErrorCode);
    std::string describe(GenerationErrorCode) const;

    GenerationRequest m_request;
    RecoverySettings m_settings;
    AttemptHost& m_host;
    Generation m_generation;
    RecoveryState m_recovery;
    State m_state { State::Idle };
    Running m_running;
    std::optional<Loss> m_loss;
    std::optional<FailureKind> m_lastFailure;
    std::vector<EndpointName> m_endpointsToAvoid;
    Milliseconds m_waitingSince { 0 };
    Milliseconds m_retryAt { 0 };
    std::optional<GenerationError> m_error;
};

} // namespace lupinknot
