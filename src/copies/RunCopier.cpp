#include "copies/RunCopier.h"

#include "common/EventLog.h"
#include "common/NameHash.h"
#include "copies/HandleRelease.h"
#include "copies/RunCopyOrder.h"
#include "relay/EndpointDirectory.h"
#include "relay/EngineChoice.h"
#include "relay/Placement.h"
#include "relay/RelayConfiguration.h"
#include "relay/RelayContext.h"
#include "relay/RelayMetrics.h"
#include "relay/RelayRequest.h"
#include "relay/RelaySettings.h"
#include "relay/RequestVersions.h"
#include "relay/RunCopy.h"
#include "relay/StreamRun.h"

#include <algorithm>

namespace lupinknot::internal {

RunCopier::RunCopier(RelayContext& context, const RelayRequest& request, RequestVersions& versions)
    : m_context(context)
    , m_request(request)
    , m_versions(versions)
    , m_renewal(makeRenewal())
{
}

RunCopier::~RunCopier() = default;

CopyRenewal RunCopier::makeRenewal() const
{
    return { m_context.settings.copies, fractionOfName(m_request.fields.requestId) };
}

bool RunCopier::isEnabledFor(const StreamRun& run) const
{
    const auto* service = m_context.configuration->findService(m_request.service);
    if (!m_context.has(Policy::MovesAhead) || !service || !service->renewsCopies())
        return false;
    const auto& zone = run.endpoint->entry().availabilityZone;
    const auto& directory = m_context.directory;
    return directory.endpointsOf(m_request.service).size() > directory.endpointsOf(m_request.service, zone).size();
}

CopyHolderState RunCopier::stateOf(const RelayEndpoint& holder, Milliseconds since) const
{
    const auto& entry = holder.entry();
    const auto current = m_context.directory.findAt(entry.service, entry.address);
    return { .hasZoneFailed = m_context.directory.isLostWithZone(holder, since),
        .isRemoved = holder.isRemoved(),
        .isReplaced = holder.isRemoved() && current && current.get() != &holder,
        .isShuttingDown = holder.isShuttingDown() };
}

CopiedRun RunCopier::describe(const StreamRun& run, Milliseconds timeLeft, Milliseconds now) const
{
    const auto* service = m_context.configuration->findService(m_request.service);
    CopiedRun described { .hasEvent = run.hasEvent,
        .mayRunAgain = m_request.route->mayRunAgain(),
        .isSourceUsable = !run.endpoint->isInBackOff(now) && !m_context.directory.isSuspected(*run.endpoint, now),
        .timeLeft = timeLeft,
        .handleTime = service ? service->handleTime : Milliseconds { 0 } };
    if (run.copyHolder)
        described.growing = stateOf(*run.copyHolder, run.startedAt);
    if (m_copy)
        described.ordered
            = { stateOf(*m_copy->holder, m_copy->confirmedAt), m_copy->confirmedAt, m_copy->isRefreshRejected };
    if (m_order)
        described.pending = stateOf(*m_order->target(), m_order->startedAt());
    return described;
}

void RunCopier::consider(const StreamRun& run, Milliseconds expectedTimeLeft, const Engines& failed)
{
    if (!isEnabledFor(run) || !m_versions.choiceForCopies(*run.endpoint).admits(run.endpoint->entry().version))
        return;
    const auto now = m_context.now();
    const auto decision = m_renewal.decide(describe(run, expectedTimeLeft, now), now);
    if (decision.isNewLoss)
        noteLoss(run, decision.loss);
    if (decision.action == CopyAction::Order)
        order(run, decision.loss, failed, now);
    else if (decision.action == CopyAction::Refresh)
        send(run, m_copy->holder, "refresh");
}

void RunCopier::noteLoss(const StreamRun& run, CopyLoss loss)
{
    const auto& holder = m_copy ? m_copy->holder : run.copyHolder;
    m_context.metrics.copiesLost.Increment();
    LogEvent("copy.lost")
        .text("request", m_request.fields.requestId)
        .text("endpoint", run.endpoint->entry().id)
        .text("target", holder ? holder->entry().id : "")
        .text("reason", nameIn(copyLossNames, loss))
        .write();
}

void RunCopier::order(const StreamRun& run, CopyLoss loss, const Engines& failed, Milliseconds now)
{
    endOrder();
    auto excluded = failed;
    excluded.push_back(run.endpoint);
    excluded.insert(excluded.end(), m_rejectedTargets.begin(), m_rejectedTargets.end());
    const auto target = m_context.placement.choose({ .service = m_request.service,
                                                       .excluded = std::move(excluded),
                                                       .zonesToAvoid = { run.endpoint->entry().availabilityZone },
                                                       .version = m_versions.choiceForCopies(*run.endpoint),
                                                       .mustBeHealthy = true,
                                                       .limited = LimitedEndpoints::Unrestricted,
                                                       .prefersSafestZone = true },
        now);
    if (target) {
        send(run, target, nameIn(copyLossNames, loss));
        return;
    }
    m_rejectedTargets.clear();
    m_renewal.noteNoTarget(now);
}

void RunCopier::send(const StreamRun& run, const std::shared_ptr<RelayEndpoint>& target, std::string_view reason)
{
    LogEvent("copy.ordered", LogImportance::Routine)
        .text("request", m_request.fields.requestId)
        .text("endpoint", run.endpoint->entry().id)
        .text("target", target->entry().id)
        .text("version", run.endpoint->entry().version)
        .text("target_version", target->entry().version)
        .text("reason", reason)
        .write();
    m_order = RunCopyOrder::start(m_context, run.endpoint, target, m_request.fields.requestId,
        [this](RunCopyOrder& order, const CopyOrderAnswer& answer) { orderAnswered(order, answer); });
}

void RunCopier::orderAnswered(RunCopyOrder& order, const CopyOrderAnswer& answer)
{
    if (m_order.get() != &order) {
        std::erase_if(m_lateOrders, [&order](const auto& late) { return late.get() == &order; });
        lateOrderEnded(order, answer);
        return;
    }
    const auto ended = std::exchange(m_order, nullptr);
    if (ended->isOpen())
        m_lateOrders.push_back(ended);
    orderEnded(order, answer);
}

void RunCopier::lateOrderEnded(const RunCopyOrder& order, const CopyOrderAnswer& answer)
{
    if (answer.result != CopyOrderResult::Copied)
        return;
    if (!m_copy || m_copy->holder == order.target())
        orderEnded(order, answer);
    else if (m_copy->handle != answer.handle)
        HandleRelease::send(m_context, order.source(), answer.handle);
}

void RunCopier::orderEnded(const RunCopyOrder& order, const CopyOrderAnswer& answer)
{
    const auto now = m_context.now();
    const bool isRefresh = m_copy && m_copy->holder == order.target();
    const bool isCopied = answer.result == CopyOrderResult::Copied;
    m_renewal.noteOrderEnded(answer.result, now);
    LogEvent(
        isCopied ? "copy.renewed" : "copy.not-renewed", isRefresh ? LogImportance::Routine : LogImportance::Notable)
        .text("request", m_request.fields.requestId)
        .text("endpoint", order.source()->entry().id)
        .text("target", order.target()->entry().id)
        .text("reason", isRefresh ? "refresh" : "order")
        .text("result", nameIn(copyOrderResultNames, answer.result))
        .number("took_ms", (now - order.startedAt()).count())
        .write();
    if (isCopied) {
        if (!isRefresh)
            m_context.metrics.copiesRenewed.Increment();
        m_rejectedTargets.clear();
        replaceCopy({ order.source(), order.target(), answer.handle, order.startedAt() });
        return;
    }
    if (answer.result != CopyOrderResult::Rejected && answer.result != CopyOrderResult::Unanswered)
        return;
    if (isRefresh)
        m_copy->isRefreshRejected = true;
    m_rejectedTargets.push_back(order.target());
}

void RunCopier::replaceCopy(Copy copy)
{
    // The handle of a refreshed copy may change, but it stays the same copy.
    const auto previous = std::exchange(m_copy, std::move(copy));
    if (previous && previous->holder != m_copy->holder && previous->handle != m_copy->handle)
        HandleRelease::send(m_context, previous->source, previous->handle);
}

void RunCopier::endOrder()
{
    const auto order = std::exchange(m_order, nullptr);
    const bool isRefresh = order && m_copy && m_copy->holder == order->target();
    // The handle of a refresh is that of the copy, from which the stream may be about to continue.
    if (!isRefresh)
        RunCopyOrder::abandon(order, m_copy ? m_copy->handle : std::string());
}

void RunCopier::endAllOrders()
{
    endOrder();
    for (auto& order : std::exchange(m_lateOrders, {})) {
        m_order = std::move(order);
        endOrder();
    }
}

std::vector<RunTarget> RunCopier::copiesOf(const StreamRun& run) const
{
    const auto now = m_context.now();
    std::vector<RunTarget> targets;
    for (const auto kind : usableCopies(describe(run, Milliseconds { 0 }, now), now)) {
        if (kind == CopyKind::Ordered) {
            targets.push_back(
                { m_copy->holder, { m_copy->source->entry().address, m_copy->handle }, m_copy->confirmedAt });
            continue;
        }
        const auto holder = copyHolderOf(run, m_context.directory);
        targets.push_back({ holder, { holder->entry().address, m_request.fields.requestId }, run.startedAt });
    }
    return targets;
}

std::vector<RunTarget> RunCopier::runLost(const StreamRun& run)
{
    auto targets = copiesOf(run);
    endAllOrders();
    if (auto copy = std::exchange(m_copy, std::nullopt))
        m_earlierCopies.push_back(std::move(*copy));
    m_rejectedTargets.clear();
    m_renewal = makeRenewal();
    return targets;
}

void RunCopier::noteContinued(const std::string& name)
{
    std::erase_if(m_earlierCopies, [&name](const Copy& copy) { return copy.handle == name; });
}

void RunCopier::releaseUnused()
{
    for (const auto& copy : std::exchange(m_earlierCopies, {})) {
        // After a restart, the same handle may be that of another run.
        const bool mayHaveRestarted
            = copy.source->isRemoved() || m_context.directory.isLostWithZone(*copy.source, copy.confirmedAt);
        if (!mayHaveRestarted)
            HandleRelease::send(m_context, copy.source, copy.handle);
    }
}

void RunCopier::end()
{
    endAllOrders();
    if (auto copy = std::exchange(m_copy, std::nullopt))
        m_earlierCopies.push_back(std::move(*copy));
    releaseUnused();
}

} // namespace lupinknot::internal
