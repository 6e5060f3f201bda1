#include "relay/RunMover.h"

#include "admission/RetryPurpose.h"
#include "common/EventLog.h"
#include "relay/EndpointDirectory.h"
#include "relay/Placement.h"
#include "relay/RelayConfiguration.h"
#include "relay/RelayContext.h"
#include "relay/RelayRequest.h"
#include "relay/RelaySettings.h"
#include "relay/RequestVersions.h"
#include "relay/RunCopy.h"
#include "relay/RunRelocation.h"
#include "relay/StreamRun.h"

#include <algorithm>

namespace lupinknot::internal {

RunMover::RunMover(RelayContext& context, const RelayRequest& request, RequestVersions& versions, Callback callback)
    : m_context(context)
    , m_request(request)
    , m_versions(versions)
    , m_callback(std::move(callback))
{
}

RunMover::~RunMover() = default;

bool RunMover::isStopping() const { return m_relocation && m_relocation->isStopping(); }

void RunMover::noteStreamEnded()
{
    if (m_relocation)
        m_relocation->noteStreamEnded();
}

void RunMover::cancel()
{
    if (std::exchange(m_relocation, nullptr))
        m_context.retryBudget(m_request.service).giveBack();
}

void RunMover::consider(const StreamRun& run, const StreamOutlook& outlook, Engines failed)
{
    const auto now = m_context.now();
    if (m_context.has(Policy::MovesAhead) && !m_relocation && now >= m_nextMoveAt && lacksCopy(run, now)
        && mayMove(run, outlook, now))
        move(run, std::move(failed), now);
}

bool RunMover::lacksCopy(const StreamRun& run, Milliseconds now) const
{
    const auto holder = copyHolderOf(run, m_context.directory);
    if (!holder)
        return now - run.startedAt >= m_context.settings.relocateAfter;
    // The engines of a zone fail together, and the endpoint list shows it only seconds later.
    return holder->isShuttingDown() || m_context.directory.isLostWithZone(*holder, run.startedAt);
}

bool RunMover::mayMove(const StreamRun& run, const StreamOutlook& outlook, Milliseconds now)
{
    const auto* service = m_context.configuration->findService(m_request.service);
    const bool isPossible
        = service && service->copiesRunningMemory && m_request.route->mayRunAgain() && !run.endpoint->isInBackOff(now);
    const auto& version = run.endpoint->entry().version;
    const bool isVersionAllowed = m_versions.choiceForCopies(*run.endpoint).admits(version);
    return isPossible && isVersionAllowed && outlook.hasAttemptLeft && run.hasEvent
        && outlook.expectedTimeLeft >= m_context.settings.minTimeLeftForRelocation
        && !m_context.directory.isZoneAvoided(m_request.service, run.endpoint->entry().availabilityZone, now);
}

void RunMover::move(const StreamRun& run, Engines excluded, Milliseconds now)
{
    if (m_nextMoveAt == Milliseconds { 0 }) {
        // Many streams lose their copies at the same time, and copies queue on the engines' network links.
        const auto spread = static_cast<std::uint64_t>(m_context.settings.relocationSpread.count());
        const auto delay = std::hash<std::string>()(m_request.fields.requestId) % std::max<std::uint64_t>(spread, 1);
        m_nextMoveAt = now + Milliseconds { static_cast<std::int64_t>(delay) };
        return;
    }
    m_nextMoveAt = now + m_context.settings.relocateAfter;
    excluded.push_back(run.endpoint);
    const auto target = m_context.placement.choose({ .service = m_request.service,
                                                       .excluded = std::move(excluded),
                                                       .version = m_versions.choiceForCopies(*run.endpoint),
                                                       .mustBeHealthy = true,
                                                       .limited = LimitedEndpoints::Excluded },
        now);
    auto& budget = m_context.retryBudget(m_request.service);
    if (!target || !budget.take(RetryPurpose::Proactive, m_request.admittedAt, now))
        return;
    LogEvent("stream.relocating")
        .text("request", m_request.fields.requestId)
        .text("endpoint", run.endpoint->entry().id)
        .text("target", target->entry().id)
        .text("version", run.endpoint->entry().version)
        .text("target_version", target->entry().version)
        .text("lost_copy", run.copyHolder ? run.copyHolder->entry().id : "")
        .write();
    m_relocation = RunRelocation::start(m_context, run.endpoint, target, m_request.fields.requestId, m_request.deadline,
        [this](RelocationResult result, const std::string& handle) {
            const auto relocation = std::exchange(m_relocation, nullptr);
            m_callback({ result, relocation->source(), relocation->target(), handle });
        });
}

} // namespace lupinknot::internal
