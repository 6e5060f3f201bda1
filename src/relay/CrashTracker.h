// Connects one call's request to the CrashGuard: reports its losses and notifies the call when the request is
// quarantined.
//
//     CrashTracker tracker(context, request);
//     tracker.begin([this] { quarantined(); });      // Called when the request is quarantined.
//     tracker.noteUnfinished(endpointCall, run);     // An endpoint did not finish a run of the request.
//     if (decideAttempt(tracker.attemptState(runs)) == AttemptDecision::Allowed) ... // Another attempt may be sent.
//     tracker.end();
//
// Used on the relay's thread only. Owned by the request's call.
#pragma once

#include "admission/AttemptAdmission.h"
#include "relay/CrashGuard.h"
#include <functional>
#include <string>

namespace lupinknot::internal {

class EndpointCall;
struct RelayContext;
struct RelayRequest;

class CrashTracker {
public:
    CrashTracker(RelayContext&, const RelayRequest&);
    ~CrashTracker();
    CrashTracker(const CrashTracker&) = delete;
    CrashTracker& operator=(const CrashTracker&) = delete;

    // The callback is never called after end(), nor from within a call to this object.
    void begin(std::function<void()> onQuarantined);
    void end();
    // The request's state before its next attempt. possibleRuns: attempts so far that an endpoint may have run.
    AttemptState attemptState(unsigned possibleRuns) const;
    // True when any loss counts against the request, evaluated or pending.
    bool isSuspect() const;
    void noteUnfinished(const EndpointCall&, UnfinishedRun);
    void noteProducing(Milliseconds producedFor);
    void noteHarmless();

private:
    class Listener;

    RelayContext& m_context;
    const RelayRequest& m_request;
    std::shared_ptr<Listener> m_listener;
};

} // namespace lupinknot::internal
