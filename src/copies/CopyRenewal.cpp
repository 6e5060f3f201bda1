#include "copies/CopyRenewal.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

Milliseconds shareOf(Milliseconds time, double share)
{
    return Milliseconds { static_cast<std::int64_t>(static_cast<double>(time.count()) * share) };
}

CopyLoss growingLoss(const CopiedRun& run) { return run.growing ? lossOf(*run.growing) : CopyLoss::NotRequested; }

CopyLoss orderedLoss(const CopiedRun& run, Milliseconds now)
{
    return run.ordered ? lossOf(*run.ordered, run.handleTime, now) : CopyLoss::NotRequested;
}

// None when one of the copies covers the run; otherwise why the newest one does not.
CopyLoss coverLoss(const CopiedRun& run, Milliseconds now)
{
    const auto growing = growingLoss(run);
    return growing == CopyLoss::None || !run.ordered ? growing : orderedLoss(run, now);
}

bool mayStillExist(CopyLoss loss) { return loss == CopyLoss::HolderReplaced || loss == CopyLoss::RefreshRejected; }

} // namespace

CopyLoss lossOf(const CopyHolderState& holder)
{
    if (holder.hasZoneFailed)
        return CopyLoss::ZoneFailed;
    if (holder.isReplaced)
        return CopyLoss::HolderReplaced;
    if (holder.isRemoved)
        return CopyLoss::HolderRemoved;
    return holder.isShuttingDown ? CopyLoss::HolderShuttingDown : CopyLoss::None;
}

CopyLoss lossOf(const OrderedCopyState& copy, Milliseconds handleTime, Milliseconds now)
{
    const auto loss = lossOf(copy.holder);
    // An order names the incarnation that receives the copy, so another one at its address does not have it.
    if (loss == CopyLoss::HolderReplaced)
        return CopyLoss::HolderRemoved;
    if (loss != CopyLoss::None)
        return loss;
    if (now - copy.confirmedAt >= handleTime)
        return CopyLoss::Expired;
    return copy.isRefreshRejected ? CopyLoss::RefreshRejected : CopyLoss::None;
}

std::vector<CopyKind> usableCopies(const CopiedRun& run, Milliseconds now)
{
    const auto growing = growingLoss(run);
    const auto ordered = orderedLoss(run, now);
    std::vector<CopyKind> usable;
    // A run's memory is copied from its first event on, so before that no copy exists.
    if (!run.hasEvent)
        return usable;
    if (growing == CopyLoss::None)
        usable.push_back(CopyKind::Growing);
    if (ordered == CopyLoss::None)
        usable.push_back(CopyKind::Ordered);
    if (mayStillExist(ordered))
        usable.push_back(CopyKind::Ordered);
    if (mayStillExist(growing))
        usable.push_back(CopyKind::Growing);
    return usable;
}

CopyRenewal::CopyRenewal(const CopyRenewalSettings& settings, double spread)
    : m_settings(settings)
    , m_spread(spread)
{
}

CopyDecision CopyRenewal::decide(const CopiedRun& run, Milliseconds now)
{
    if (!run.hasEvent || !run.mayRunAgain)
        return {};
    CopyDecision decision;
    decision.loss = coverLoss(run, now);
    const bool isLost = decision.loss != CopyLoss::None && decision.loss != CopyLoss::NotRequested;
    decision.isNewLoss = isLost && !m_hasReportedLoss;
    m_hasReportedLoss = isLost;
    if (decision.loss == CopyLoss::None)
        m_orderAt.reset();
    else if (!m_orderAt)
        m_orderAt = now + orderDelay(run.timeLeft);
    // The engine accepts one order for a run at a time.
    const bool isOrderUnderWay = run.pending && lossOf(*run.pending) == CopyLoss::None;
    if (isOrderUnderWay || m_isRunGone || !run.isSourceUsable || now < m_nextOrderAt)
        return decision;
    if (decision.loss == CopyLoss::None)
        decision.action = isRefreshDue(run, now) ? CopyAction::Refresh : CopyAction::None;
    else if (run.timeLeft >= m_settings.minTimeLeftForCopy && now >= *m_orderAt)
        decision.action = CopyAction::Order;
    return decision;
}

bool CopyRenewal::isRefreshDue(const CopiedRun& run, Milliseconds now) const
{
    if (growingLoss(run) == CopyLoss::None || !run.ordered)
        return false;
    const auto interval = shareOf(run.handleTime, m_settings.copyRefreshInterval);
    const auto age = now - run.ordered->confirmedAt;
    // A run that ends before its copy expires needs no refresh. The expected end is inexact by less than the interval.
    const bool outlivesCopy = run.timeLeft > run.handleTime - age - interval;
    return age >= interval && outlivesCopy;
}

Milliseconds CopyRenewal::orderDelay(Milliseconds timeLeft) const
{
    const auto longest = static_cast<double>(std::max<std::int64_t>(m_settings.longTimeLeft.count(), 1));
    const auto shortness = 1 - std::min(static_cast<double>(timeLeft.count()) / longest, 1.0);
    return shareOf(m_settings.copyOrderSpread, (shortness + m_spread) / 2);
}

void CopyRenewal::noteOrderEnded(CopyOrderResult result, Milliseconds now)
{
    switch (result) {
    case CopyOrderResult::Copied:
        // The copy may be lost again before the next check.
        m_hasReportedLoss = false;
        m_orderAt.reset();
        m_failedOrders = 0;
        break;
    case CopyOrderResult::RunUnknown:
        m_isRunGone = true;
        break;
    case CopyOrderResult::Busy:
        break;
    case CopyOrderResult::Rejected:
    case CopyOrderResult::Unanswered:
        waitAfterFailure(now);
        break;
    }
}

void CopyRenewal::noteNoTarget(Milliseconds now) { waitAfterFailure(now); }

void CopyRenewal::waitAfterFailure(Milliseconds now)
{
    // In an overload no engine has room, and the orders of all runs would only add to its load.
    constexpr unsigned maxDoublings = 3;
    m_nextOrderAt = now + m_settings.copyRetryInterval * (1 << std::min(m_failedOrders, maxDoublings));
    ++m_failedOrders;
}

} // namespace lupinknot::internal
