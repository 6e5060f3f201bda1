// Carries one generation to its end over as many attempts as that takes.
//
// The driver decides; it does no input or output and has no threads or timers. The embedding program tells it what
// happened, and the driver asks its AttemptHost to start and cancel attempts. See samples/ for a program of one page.
//
//     GenerationDriver driver(request, settings, host);
//     driver.start(clock.now());
//     driver.tokenArrived(1, 0, { 17, "a" }, clock.now());
//     driver.attemptFailed(1, FailureKind::ConnectionLost, clock.now());  // The host is asked for attempt 2.
//     driver.tick(driver.nextTick());                                      // Silence and deadlines are noticed here.
#pragma once

#include "lupinknot/AttemptHost.h"
#include "lupinknot/GenerationError.h"
#include "lupinknot/RecoveryPolicy.h"

namespace lupinknot {

struct GenerationRequest {
    GenerationLimits limits;
    bool repeatable { true };
    // The instant at which the caller's patience ends.
    Milliseconds deadline { Milliseconds::max() };
};

// What another VM had of a generation when it was taken over.
struct AdoptedGeneration {
    std::vector<Token> tokens;
    // The last attempt that may have begun; 0 for none.
    AttemptNumber lastAttempt { 0 };
    std::optional<FinishReason> finishReason;
};

// Not thread-safe: one lock of the owner protects the driver, and no two drivers share state. The host must outlive it.
class GenerationDriver {
public:
    GenerationDriver(GenerationRequest, const RecoverySettings&, AttemptHost&);

    void start(Milliseconds now);

    // The endpoint has taken the work; from here on the attempt may have begun.
    AppendResult tokenArrived(AttemptNumber, std::size_t position, Token, Milliseconds now);
    AppendResult attemptFinished(AttemptNumber, std::size_t position, FinishReason, Milliseconds now);
    // Ignored unless the attempt is the current one and runs.
    void attemptFailed(AttemptNumber, FailureKind, Milliseconds now);

    // Notices silence, deadlines and endpoints that have come back. Call it at nextTick(), or at any time.
    void tick(Milliseconds now);
    Milliseconds nextTick() const;

    // Takes up a generation that another VM has begun. Call it before the start.
    void adopt(AdoptedGeneration);
    // Starts by attaching to the stream that the last attempt left running on an endpoint.
    void startAttached(EndpointChoice, Milliseconds now);

    // Ends the generation with an error, unless it has ended.
    void stop(GenerationErrorCode);
    // Stops the work because nobody waits for it any more. The tokens stay.
    void abandon();
    // Continues abandoned work from its tokens. Does nothing unless the work was abandoned and may go on.
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

    // The attempt that runs now.
    struct Running {
        AttemptNumber number { 0 };
        EndpointChoice endpoint;
        StreamActivity activity;
    };

    // A loss that no token has followed yet.
    struct Loss {
        FailureKind failure;
        Milliseconds lastActivity;
        Milliseconds detected;
    };

    bool isCurrent(AttemptNumber number) const { return m_state == State::Running && number == m_running.number; }
    AppendResult refusalOfStale() const;
    void tryNextAttempt(Milliseconds now);
    void beginAttempt(EndpointChoice, Milliseconds now, bool attaches);
    void waitForEndpoint(Milliseconds now);
    void noteToken(Milliseconds now);
    void reportResumption(Milliseconds now);
    void loseAttempt(FailureKind, Milliseconds now);
    void endRunning(std::optional<FailureKind>);
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
    std::vector<EndpointName> m_avoid;
    Milliseconds m_waitingSince { 0 };
    Milliseconds m_retryAt { 0 };
    std::optional<GenerationError> m_error;
};

} // namespace lupinknot
