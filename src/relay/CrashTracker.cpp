#include "relay/CrashTracker.h"

#include "relay/EndpointCall.h"
#include "relay/RelayContext.h"
#include "relay/RelayEndpoint.h"
#include "relay/RelayRequest.h"

namespace lupinknot::internal {

class CrashTracker::Listener final : public QuarantineListener {
public:
    explicit Listener(std::function<void()> onQuarantined)
        : m_onQuarantined(std::move(onQuarantined))
    {
    }

    void requestQuarantined() override
    {
        // Copied: the callback may end the call, which clears the member while the callback runs.
        const auto onQuarantined = m_onQuarantined;
        if (onQuarantined)
            onQuarantined();
    }

    void detach() { m_onQuarantined = nullptr; }

private:
    std::function<void()> m_onQuarantined;
};

CrashTracker::CrashTracker(RelayContext& context, const RelayRequest& request)
    : m_context(context)
    , m_request(request)
{
}

CrashTracker::~CrashTracker() { end(); }

void CrashTracker::begin(std::function<void()> onQuarantined)
{
    m_listener = std::make_shared<Listener>(std::move(onQuarantined));
    m_context.crashGuard.addListener(m_request.digest, m_listener);
}

void CrashTracker::end()
{
    if (!m_listener)
        return;
    m_listener->detach();
    m_context.crashGuard.removeListener(m_request.digest, *m_listener);
    m_listener.reset();
}

AttemptState CrashTracker::attemptState(unsigned possibleRuns) const
{
    const auto& route = *m_request.route;
    return { m_context.crashGuard.quarantineStatus(m_request.digest), possibleRuns, route.maxAttempts,
        route.mayRunAgain() };
}

bool CrashTracker::isSuspect() const { return m_context.crashGuard.isSuspect(m_request.digest); }

void CrashTracker::noteUnfinished(const EndpointCall& call, UnfinishedRun run)
{
    run.wasShuttingDown = call.endpoint()->isShuttingDown();
    run.wasThroughVm = call.isThroughVm();
    m_context.crashGuard.noteLoss(
        { m_request.fields.requestId, m_request.digest, call.endpoint(), call.startedAt(), run });
}

void CrashTracker::noteProducing(Milliseconds producedFor)
{
    m_context.crashGuard.noteProducing(m_request.digest, producedFor);
}

void CrashTracker::noteHarmless() { m_context.crashGuard.noteHarmless(m_request.digest); }

} // namespace lupinknot::internal
