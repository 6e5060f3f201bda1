// One request's dealings with the CrashGuard, for as long as its call goes on.
//
//     CrashTracker watch(context, request);
//     watch.begin([this] { held(); });             // Called when the request is held from then on.
//     watch.noteUnfinished(endpoint, sentAt, run); // An endpoint did not finish a run of it.
//     if (decideAttempt(watch.attemptState(runs)) == AttemptDecision::Allowed) ...  // It may be sent to the next one.
//     watch.end();
//
// Used on the relay's thread only. Owned by the request's call.
#pragma once

#include "admission/AttemptAdmission.h"
#include "relay/CrashGuard.h"
#include <functional>
#include <string>

namespace lupinknot::internal {

struct RelayContext;
struct RelayRequest;

class CrashTracker {
public:
    CrashTracker(RelayContext&, const RelayRequest&);
    ~CrashTracker();
    CrashTracker(const CrashTracker&) = delete;
    CrashTracker& operator=(const CrashTracker&) = delete;

    // The callback is not called after end(), nor from within a call to this object.
    void begin(std::function<void()> held);
    void end();
    // What is known of the request in front of an attempt, after so many that may have run.
    AttemptState attemptState(unsigned possibleRuns) const;
    // True when something speaks against the request, judged or not.
    bool isSuspect() const;
    void noteUnfinished(const std::shared_ptr<RelayEndpoint>&, Milliseconds sentAt, UnfinishedRun);
    void noteProducing(Milliseconds producedFor);
    void noteHarmless();

private:
    class Listener;

    RelayContext& m_context;
    const RelayRequest& m_request;
    std::shared_ptr<Listener> m_listener;
};

} // namespace lupinknot::internal
