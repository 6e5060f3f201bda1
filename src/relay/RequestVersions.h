// One request's part in its service's rollout, if there is one: selects the versions of the runners to which the
// request may be sent, and reports the quality of their answers.
//
//     RequestVersions versions(context, request);
//     conditions.version = versions.next();        // The same choice until the request has been sent.
//     versions.noteSent();
//     versions.noteAnswer(*endpoint, AnswerQuality::Bad);
//
// Used on the relay's thread only. The context and the request must outlive it.
#pragma once

#include "lupinknot/Clock.h"
#include "rollout/VersionChoice.h"
#include "rollout/VersionEvidence.h"
#include <optional>

namespace lupinknot::internal {

class RelayEndpoint;
struct RelayContext;
struct RelayRequest;

class RequestVersions {
public:
    RequestVersions(RelayContext&, const RelayRequest&);

    // Runners for the next send. Only the first send may go to the candidate version; retries and hedges may not.
    VersionChoice next();
    // Runners that may hold a copy of a run that the engine executes.
    VersionChoice choiceForCopies(const RelayEndpoint& engine) const;
    void noteSent() { m_hasSent = true; }
    void noteAnswer(const RelayEndpoint&, AnswerQuality) const;
    // Rates an answer by its latency, for answers whose usual latency is known.
    void noteAnswerAfter(const RelayEndpoint&, Milliseconds latency, Milliseconds usualLatency) const;

private:
    bool hasRunner(const VersionChoice&) const;

    RelayContext& m_context;
    const RelayRequest& m_request;
    // The choice for the first send, once made.
    std::optional<VersionChoice> m_firstChoice;
    bool m_hasSent { false };
};

} // namespace lupinknot::internal
