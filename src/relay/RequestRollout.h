// What one request has to do with its service's roll-out, if there is one: which runners its sendings may go to, and
// what their answers show.
//
//     RequestRollout part(context, request);
//     wanted.version = part.next();                // The same until a sending has been made.
//     part.noteSent();
//     part.noteAnswer(*endpoint, AnswerQuality::Bad);
//
// Used on the relay's thread only. The context and the request outlive it.
#pragma once

#include "lupinknot/Clock.h"
#include "rollout/VersionChoice.h"
#include "rollout/VersionEvidence.h"
#include <optional>

namespace lupinknot::internal {

class RelayEndpoint;
struct RelayContext;
struct RelayRequest;

class RequestRollout {
public:
    RequestRollout(RelayContext&, const RelayRequest&);

    // Runners for the next sending: the first may try a candidate, those that follow may not.
    VersionChoice next();
    // Runners that may hold a copy of the run at the engine.
    VersionChoice choiceForCopies(const RelayEndpoint& engine) const;
    void noteSent() { m_hasSent = true; }
    void noteAnswer(const RelayEndpoint&, AnswerQuality) const;
    // The same for an answer that came after a time, where the usual one is known.
    void noteAnswerAfter(const RelayEndpoint&, Milliseconds took, Milliseconds usual) const;

private:
    bool hasRunner(const VersionChoice&) const;

    RelayContext& m_context;
    const RelayRequest& m_request;
    // Of the first sending, once it has been made.
    std::optional<VersionChoice> m_first;
    bool m_hasSent { false };
};

} // namespace lupinknot::internal
