// Serves a request that is answered by a stream of events, over as many engines as it takes.
//
// The events belong to the answer (Generation), a run is one attempt of it at one engine. When the engine of the
// present run fails or falls silent, a new run goes on behind the last whole event, with the head of the first one. An
// engine that can copies the run's memory to a second engine in another availability zone while it grows; the new run
// then begins there and reads only what the copy lacks.
//
// A stream that must not run twice is not moved once an engine may have begun it.
// Used on the relay's thread only. Owned by its pending timers and the exchange's callback.
#pragma once

#include "relay/CrashTracker.h"
#include "relay/EndpointCall.h"
#include "relay/RelayRefusal.h"
#include "relay/RelayRequest.h"
#include "relay/RequestRollout.h"
#include "relay/StreamRun.h"
#include "relay/StreamTiming.h"
#include <boost/asio/steady_timer.hpp>
#include <vector>

namespace lupinknot::internal {

class EngineChoice;
class PermitWait;
class RunMover;
class RunLivenessMonitor;
class StreamResponse;
struct RunMove;

class EventStreamCall final : public EndpointCallListener, public std::enable_shared_from_this<EventStreamCall> {
public:
    static void serve(RelayContext&, RelayRequest);
    ~EventStreamCall() override;

    void callHead(EndpointCall&, const HttpResponse&, const AnswerFields&) override;
    void callBody(EndpointCall&, std::string_view) override;
    void callEnded(EndpointCall&) override;
    void callFailed(EndpointCall&, FailureKind) override;

private:
    EventStreamCall(RelayContext&, RelayRequest);
    void begin();
    // Starts a run somewhere, or waits for an endpoint, or gives the request up.
    void startRun();
    // Starts a run at the endpoint, or elsewhere if it is limited and no permit is to be had.
    void startRunAt(const std::shared_ptr<RelayEndpoint>&, std::optional<RunMemorySource>);
    void sendTo(const std::shared_ptr<RelayEndpoint>&, std::optional<RunMemorySource>);
    // Null where there is none.
    void engineChosen(const std::shared_ptr<RelayEndpoint>&);
    void waitForEndpoint();
    void startRunLater();
    bool mayStartRun();
    // False when the request is held back, which ends it, or may be soon, which it waits for.
    bool isSendable();

    void takeEvents(StreamRun&, std::vector<WholeEvent>&&);
    void noteResumed(const StreamRun&, Milliseconds now);
    void settleWholeAnswer(const std::shared_ptr<StreamRun>&);
    void runLost(FailureKind);
    void runSilent();
    void turnedAway();
    void held();
    void heldMeanwhile();

    // Moves the run ahead if it lacks a copy and a move is worth it.
    void considerMove();
    void moved(const RunMove&);

    void timedOut();
    void complete();
    void refuse(RefusalReason);
    void giveUp(RefusalReason);
    void logEnd(std::string_view outcome, unsigned status);
    void finish();

    RelayContext& m_context;
    const RelayRequest m_request;
    StreamTiming m_pace;
    RequestRollout m_rollout;
    CrashTracker m_crashWatch;
    const std::shared_ptr<EngineChoice> m_choice;
    const std::shared_ptr<StreamResponse> m_answer;
    std::shared_ptr<StreamRun> m_run;
    // Null before the call begins.
    std::shared_ptr<RunLivenessMonitor> m_watch;
    // Set while a permit is asked for.
    std::shared_ptr<PermitWait> m_permit;
    // Null before the call begins.
    std::unique_ptr<RunMover> m_mover;
    // Runs that an engine may have begun.
    unsigned m_possibleRuns { 0 };
    unsigned m_sendings { 0 };
    // Sendings that may have reached an engine: what follows one of them is a retry.
    unsigned m_arrivals { 0 };
    // A retry has been taken for the next run.
    bool m_isNextCharged { false };
    std::optional<Milliseconds> m_lossAt;
    bool m_isFinished { false };
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_retryTimer;
};

} // namespace lupinknot::internal
