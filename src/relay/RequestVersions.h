// The software versions of the endpoints to which one request may be sent.
//
// A new request follows the rollout of its service, if there is one, and reports the quality of its answers to it. A
// stream that has events continues only at the version that generated them: what two versions write does not fit
// together, and endpoints do not check that.
//
//     RequestVersions versions(context, request);
//     conditions.version = versions.next();        // The same choice until the request has been sent.
//     versions.noteSent();
//     versions.bindTo(endpoint->entry().version);  // The first event has arrived.
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

    // Runners for the next send. Of a new request, only the first send may go to the candidate version; retries and
    // hedges may not.
    VersionChoice next();
    // Runners that may hold a copy of a run that the engine executes, or that the run may be moved to: those from which
    // it may continue.
    VersionChoice choiceForCopies(const RelayEndpoint& engine) const;
    void noteSent();

    // Binds the request, a stream, to the version that generated its first event.
    void bindTo(std::string version) { m_boundVersion = std::move(version); }
    const std::optional<std::string>& boundVersion() const { return m_boundVersion; }
    // True when the stream is bound to a version that has no runners any more.
    bool isBoundVersionGone() const;

    void noteAnswer(const RelayEndpoint&, AnswerQuality) const;
    // Rates an answer by its latency, for answers whose usual latency is known.
    void noteAnswerAfter(const RelayEndpoint&, Milliseconds latency, Milliseconds usualLatency) const;

private:
    bool hasRunner(const VersionChoice&) const;
    VersionChoice continuation();
    // Whether a stream of this version may continue at runners of it.
    bool mayContinueAt(const std::string& version) const;
    // True for runners without a stated version beside runners that state one: no two of them are known to be equal.
    bool isIndistinct(const std::string& version) const;

    RelayContext& m_context;
    const RelayRequest& m_request;
    // The choice for the first send, once made.
    std::optional<VersionChoice> m_firstChoice;
    bool m_hasSent { false };
    std::optional<std::string> m_boundVersion;
    // True when the next send to an undecided candidate has been counted as exposed.
    bool m_isContinuationCounted { false };
};

} // namespace lupinknot::internal
