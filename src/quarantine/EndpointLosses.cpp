#include "quarantine/EndpointLosses.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// One other endpoint may go by chance at the same correlationWindow. Reckoned for engines that crash 1.5 times a second
// in four zones: one more of a zone's does so in a third of the cases, and two in one of twenty.
constexpr std::size_t othersByZone = 2;
// Of a service without zones of any size, half of the others.
constexpr std::size_t leastOthersByService = 2;
// Losses are kept for as long as a judgement looks back, and never more than a fleet of engines. No endpoint is back
// within this time: whatever is sent to one until then meets it as it was lost.
constexpr Milliseconds keptFor { 3 * EndpointLosses::correlationWindow };
constexpr std::size_t mostDigests = 16;
constexpr std::size_t mostKept = 4096;

Milliseconds distance(Milliseconds a, Milliseconds b) { return a > b ? a - b : b - a; }

} // namespace

void EndpointLosses::note(EndpointLoss loss, Milliseconds lastAliveAt)
{
    while (!m_losses.empty() && (loss.at - m_losses.front().first.at > keptFor || m_losses.size() >= mostKept))
        m_losses.pop_front();
    const auto known = std::find_if(m_losses.begin(), m_losses.end(),
        [&](const Lost& lost) { return lost.first.endpointId == loss.endpointId && lost.first.at >= lastAliveAt; });
    if (known == m_losses.end())
        m_losses.push_back({ loss, { loss.digest } });
    else if (known->digests.size() < mostDigests)
        known->digests.push_back(loss.digest);
}

bool EndpointLosses::wasLostBefore(const std::string& endpointId, Milliseconds instant, Milliseconds lastAliveAt) const
{
    return std::any_of(m_losses.begin(), m_losses.end(), [&](const Lost& lost) {
        const auto at = lost.first.at;
        return lost.first.endpointId == endpointId && at < instant && at >= lastAliveAt && instant - at < keptFor;
    });
}

bool EndpointLosses::isCorrelatedLoss(const EndpointLoss& loss, const OtherEndpointCounts& others) const
{
    std::size_t inZone = 0;
    std::size_t inService = 0;
    for (const auto& lost : m_losses) {
        const auto& other = lost.first;
        const bool isOwn = other.endpointId == loss.endpointId
            || std::find(lost.digests.begin(), lost.digests.end(), loss.digest) != lost.digests.end();
        if (isOwn || other.service != loss.service || distance(other.at, loss.at) > correlationWindow)
            continue;
        ++inService;
        inZone += other.zone == loss.zone;
    }
    const bool hasZoneGone = others.inZone > 0 && inZone >= std::min(othersByZone, others.inZone);
    const bool hasServiceGone = inService >= std::max(leastOthersByService, (others.inService + 1) / 2);
    return hasZoneGone || hasServiceGone;
}

} // namespace lupinknot::internal
