#include "limits/RejectionLimit.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// Bounds the hold time of an endpoint that tolerates no rejections.
constexpr double minTolerated = 0.1;
constexpr double millisecondsInSecond = 1000;
// Less than the whole fraction, because by chance more VMs than there are slots may round up.
constexpr double roundedUpShare = 0.9;

} // namespace

bool RejectionLimit::noteAnswer(const RejectionStatement& statement, std::size_t vmCount, Milliseconds now)
{
    const bool wasBrittle = isBrittle();
    m_tolerated = statement.tolerated;
    if (!m_tolerated) {
        m_rejectedAt.reset();
        return wasBrittle;
    }
    if (statement.isRejected) {
        const auto perVm = unpermittedShare * std::max(*m_tolerated, minTolerated) / static_cast<double>(vmCount);
        const Milliseconds hold { static_cast<std::int64_t>(millisecondsInSecond / perVm) };
        m_rejectedAt = now;
        m_heldUntil = now + std::max(hold, minHold);
    } else if (m_rejectedAt && now >= m_heldUntil && statement.sentAt >= *m_rejectedAt) {
        m_rejectedAt.reset();
    }
    return !wasBrittle;
}

unsigned RejectionLimit::quota(unsigned slots, std::size_t vmCount, double position)
{
    const auto part = slots / static_cast<double>(vmCount);
    const auto whole = static_cast<unsigned>(part);
    return whole + (position < roundedUpShare * (part - whole) ? 1 : 0);
}

} // namespace lupinknot::internal
