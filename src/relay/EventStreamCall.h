// Serves a request that is answered by a stream of events, using one engine after another where engines fail.
//
// The events belong to the answer (Generation); a run is one attempt to produce them at one engine. When the engine of
// the current run fails, a new run resumes after the last complete event, and the caller keeps the response header of
// the first run. An engine that supports live copies copies the run's KV cache to a second engine in
// another availability zone while the run continues; the new run then starts there and prefills only what the copy
// lacks.
//
// An engine that is only silent may go on at any time. Its run is kept while another one is tried at an engine that is
// known to be alive; the first of the two that produces an event goes on, and the other one is cancelled. A run that
// continues from a copy is different, because two engines must not work on one request: the engine of the silent run is
// asked to stop it before that one is sent. While that engine says nothing, the connection of the silent run is kept
// for a short time, so that the stream can return to it if the copy is rejected or its engine fails. If the run has
// been stopped, the stream continues from its KV cache. Where no engine is alive, the stream waits for the silent one.
//
// A stream that must not run twice is not moved once an engine may have started it. Used on the relay's thread only.
// Owned by its pending timers and the exchange's callback.
#pragma once

#include "admission/AnswerLateness.h"
#include "admission/DeliveryHistory.h"
#include "relay/CrashTracker.h"
#include "relay/EndedRuns.h"
#include "relay/EndpointCall.h"
#include "relay/OpenCalls.h"
#include "relay/RelayRefusal.h"
#include "relay/RelayRequest.h"
#include "relay/RequestVersions.h"
#include "relay/RunLocations.h"
#include "relay/StreamRun.h"
#include "relay/StreamTiming.h"
#include "retries/RetryLoanSource.h"
#include <boost/asio/steady_timer.hpp>
#include <vector>

namespace lupinknot::internal {

class CopyOutcomes;
class EarlierRunSearch;
class EngineChoice;
class LiveEngineSearch;
class PermitWait;
class RunCopier;
class RunMover;
class RunLivenessMonitor;
class StreamResponse;
enum class StreamOutcome;
struct EarlierRun;
struct RunMove;
struct RunSilence;
struct RunTarget;

class EventStreamCall final : public EndpointCallListener,
                              public OpenCall,
                              public std::enable_shared_from_this<EventStreamCall> {
public:
    static void serve(RelayContext&, RelayRequest);
    ~EventStreamCall() override;

    void callHeader(EndpointCall&, const HttpResponse&, const AnswerFields&) override;
    void callBody(EndpointCall&, std::string_view) override;
    void callEnded(EndpointCall&) override;
    void callFailed(EndpointCall&, FailureKind) override;
    void stopRequested() override { }
    // A stream that has begun is cut with the process, so that its caller resumes it at another VM.
    void processEnds() override;
    std::shared_ptr<OpenCall> hold() override { return shared_from_this(); }

private:
    EventStreamCall(RelayContext&, RelayRequest);
    void begin();
    // True when the caller resumes a stream of which it has received events.
    bool isResumption() const;
    void earlierRunFound(const EarlierRun&);
    // Starts a run at an available engine, waits for one, or gives up.
    void startRun();
    // True if the stream has no run yet and its first event cannot arrive before the process ends.
    bool isTooLate();
    // Starts a run at the endpoint, or at another one if it is rate-limited and grants no permit.
    void startRunAt(const std::shared_ptr<RelayEndpoint>&, std::optional<RunMemorySource>);
    void sendTo(const std::shared_ptr<RelayEndpoint>&, std::optional<RunMemorySource>);
    std::shared_ptr<StreamRun> makeRun(
        const std::shared_ptr<RelayEndpoint>&, const std::optional<RunMemorySource>& copy);
    // Sets the run's priority as well.
    ForwardFields forwardFieldsFor(StreamRun&);
    // Asks the engines of the earlier runs to stop them, so that the stream may continue from the copy at the endpoint.
    void endRunsBefore(const std::shared_ptr<RelayEndpoint>&, const RunMemorySource&);
    // A step towards a run at the endpoint that continues from the copy.
    using ContinuationStep
        = void (EventStreamCall::*)(const std::shared_ptr<RelayEndpoint>&, std::optional<RunMemorySource>);
    // Takes the step after a short wait for the engines of the earlier runs, unless the endpoint has begun to leave, or
    // asked for a back-off, in the meantime.
    void waitForStop(const std::shared_ptr<RelayEndpoint>&, const RunMemorySource&, ContinuationStep);
    void endWaitForStop(const std::shared_ptr<RelayEndpoint>&, const RunMemorySource&, ContinuationStep);
    // Chooses an engine again a little later, and returns the retry that was taken for the run.
    void postponeRun();
    // If the copy is that of a run of another VM, that run counts as one of this stream from here on.
    void takeOverEarlierRun(const RunMemorySource&);
    // True if engines no longer keep the copies of the lost run, because the stream has waited for too long since.
    bool haveCopiesExpired() const;
    // The copy that the next run may continue from.
    std::optional<RunTarget> copyTarget();
    // The engine is null when none is available.
    void engineChosen(const std::shared_ptr<RelayEndpoint>&);
    void waitForEndpoint();
    void startRunLater();
    // Starts the run if its attempts and the retry budget permit it; waits for a retry from another VM if this VM's own
    // part of the budget is spent.
    void startRunIfAllowed(const std::shared_ptr<RelayEndpoint>&, std::optional<RunMemorySource>);
    RetryPurpose retryPurpose(bool isFromCopy) const;
    // True if the stream has waited for a retry for so long that it may use the whole part of the budget.
    bool mayUseWholePart(Milliseconds now) const;
    // False when the copy is probably gone and no retry is left, so that the only delivery is better sent to an engine
    // that needs no copy and has the time to read the prompt again.
    bool mayTryCopy() const;
    // False when the copies from which streams were to continue have just been rejected in succession: a silent run is
    // not given up for one.
    bool areCopiesExpected() const;
    // The outcomes of the copies that callers resume from, or of those that this VM's lost runs continue from.
    CopyOutcomes& copyOutcomesOf(const StreamRun&);
    // Asks other VMs for a retry. Returns false if none may be borrowed.
    bool borrowRetry(RetryPurpose);
    void retryBorrowed(const std::optional<RetryLoan>&);
    void giveUpWithoutRetry();
    // Waits until the budget has a retry again, and returns true, if the stream has begun and can still be completed
    // with that retry.
    bool waitForRetry();
    void checkRetryBudget();
    // Returns false when the request is quarantined, which ends the call, or may be soon, in which case the call waits
    // for the decision.
    bool mayBeSent();

    // The priority for the engine, if the configuration names a rank. A stream that was late once stays late.
    std::optional<unsigned> choosePriority(bool isPromptCached);
    // Counts work for the share of the request's organisation.
    void noteWork(double tokens);
    void processEvents(StreamRun&, std::vector<CompleteEvent>&&);
    // Binds a new stream to the version that generates it and publishes that, or counts its continuation.
    void recordVersion(const StreamRun&);
    void recordResumption(const StreamRun&, Milliseconds now);
    void handleNonStreamResponse(const std::shared_ptr<StreamRun>&);
    void runFailed(FailureKind);
    // Applies what a failure shows about the engine to the choice of engines and to the request.
    void noteEngineFailure(const StreamRun&, FailureKind, Milliseconds now);
    // Nothing arrives from the current run: looks for a live engine to take its place.
    void runStalled(const RunSilence&);
    void searchSubstitute(const RunSilence&, bool isFirstSearch);
    // Keeps the silent run and starts another one in its place.
    void startSubstitute(const std::shared_ptr<RelayEndpoint>&, std::optional<RunMemorySource>);
    // Ends the current run, which has taken the place of the silent one without producing an event.
    void cancelSubstitute();
    // The run has reached no engine: it counts neither as an attempt nor as a retry.
    void takeBackUnsent(const StreamRun&);
    // The kept run is the current one again, still silent.
    void returnToSilentRun();
    // The kept run has produced an event.
    void resumeSilentRun();
    // The kept run has failed, or the one in its place has produced an event.
    void releaseSilentRun(FailureKind);
    // Closes the kept run soon, because its engine has been asked to stop it and another one works on the request.
    void releaseStoppedRunLater();
    void silentRunFailed(FailureKind);
    // Starts the next run once the engine has said whether it keeps the KV cache of the run that it stopped, or after a
    // while.
    void startRunAfterStop(const std::shared_ptr<StreamRun>&, Milliseconds latest);
    // True if the engine keeps the KV cache of a run of this stream that it has stopped.
    bool isKept(const std::shared_ptr<RelayEndpoint>&, const std::optional<RunMemorySource>&) const;
    // True if the end of the run may be the work of the engine that was asked to stop it.
    bool mayHaveBeenStopped(const StreamRun&) const;
    void noteSilenceEnded(StreamRun&, Milliseconds now);
    // The engine may work on the run although this VM has ended it.
    void noteEnded(const StreamRun&, FailureKind);
    // Stops the ended runs at all engines but those of the runs that are open.
    void stopEndedRuns();
    // The run of the call, if it is the current or the kept one.
    std::shared_ptr<StreamRun> runOf(const EndpointCall&) const;
    void runRejected();
    // True if the stream has begun, no run of it is open, and the hold of its request may end early enough to finish
    // it.
    bool mayHoldEnd() const;
    void giveUpAsHeld();
    // The events of all runs together need too much memory.
    void answerBecameTooLarge();
    void requestBecameHeld();

    // Renews the copy of the run where the service's engines can; elsewhere, moves the run preventively if no engine
    // holds a copy of it and a move is worth its cost.
    void considerMove();
    void moveFinished(const RunMove&);

    void timedOut();
    void complete();
    void refuse(RefusalReason);
    // Ends the stream, unless a silent run may still go on.
    void giveUp(RefusalReason);
    void endStream(RefusalReason);
    // Logs why a lost run is not continued when the stream ends.
    void logLostRunEnds(std::string_view reason) const;
    // Logs that a run lost in mid-stream has no usable copy.
    void logMissingCopy() const;
    void countStream(StreamOutcome) const;
    void logEnd(std::string_view outcome, unsigned status);
    void finish();

    RelayContext& m_context;
    const std::shared_ptr<OpenCalls> m_openCalls;
    const RelayRequest m_request;
    StreamTiming m_timing;
    RequestVersions m_versions;
    CrashTracker m_crashTracker;
    EndedRuns m_endedRuns;
    const std::shared_ptr<EngineChoice> m_choice;
    // Set while the run is searched that the caller resumes.
    std::shared_ptr<EarlierRunSearch> m_search;
    // Where the run is that the caller resumes; empty once a run has continued from its copy.
    std::optional<RunLocation> m_earlierRun;
    const std::shared_ptr<StreamResponse> m_answer;
    std::shared_ptr<StreamRun> m_run;
    // The silent run that is kept while m_run is tried, or prepared, in its place.
    std::shared_ptr<StreamRun> m_silentRun;
    // Set while a live engine is searched to take the place of the silent one.
    std::shared_ptr<LiveEngineSearch> m_liveSearch;
    // True if m_failedAt was set because of a run that is only silent.
    bool m_isFailureSilence { false };
    // Set by begin().
    std::shared_ptr<RunLivenessMonitor> m_livenessMonitor;
    // Set while a permit request is pending.
    std::shared_ptr<PermitWait> m_permit;
    // Set by begin().
    std::unique_ptr<RunMover> m_mover;
    // Set by begin().
    std::unique_ptr<RunCopier> m_copier;
    // A delivery counts as a retry if an earlier one may have reached an engine.
    DeliveryHistory m_deliveries;
    unsigned m_attempts { 0 };
    // True when the retry budget has already been charged for the next run.
    bool m_tookRetryForNextRun { false };
    // Set while other VMs are asked for a retry; cancels the request when it is destroyed.
    std::shared_ptr<void> m_loanRequest;
    // Set while the stream waits for a retry.
    std::optional<Milliseconds> m_waitsForRetrySince;
    // A retry that another VM has lent for the next run.
    std::optional<RetryLoan> m_loan;
    unsigned m_rejectedRuns { 0 };
    std::optional<Milliseconds> m_failedAt;
    // Why the answer is late or certain to be late, as known when the last run was sent.
    Lateness m_lateness { Lateness::InTime };
    // True when the engine for the next run has the prompt cached.
    bool m_isEngineWithPrompt { false };
    // True when the first event came after the objective, or a resumption after the longest pause.
    bool m_wasLate { false };
    bool m_isFinished { false };
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_retryTimer;
    // Set while a run that continues from a copy waits for the engines of the earlier runs.
    boost::asio::steady_timer m_stopTimer;
    // Set while a silent run that its engine has been asked to stop is kept beside the run in its place.
    boost::asio::steady_timer m_stoppedRunTimer;
    std::optional<Milliseconds> m_waitsForStopSince;
};

} // namespace lupinknot::internal
