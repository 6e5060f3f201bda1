#include "quarantine/EndpointLosses.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// One other endpoint may be lost by chance at the same time. For engines that crash 1.5 times a second in four zones,
// the probability of one more loss in the zone is a third, and of two more 5 %.
constexpr std::size_t correlatedLossesInZone = 2;
// A loss is also correlated if half of the service's other endpoints were lost, and at least this many. This covers
// services whose zones have too few endpoints for the first rule.
constexpr std::size_t minCorrelatedLossesInService = 2;
// Losses are kept for as long as an evaluation looks back. No endpoint restarts within this time: a request sent to it
// until then fails too. `maxLosses` is more than the engines of a fleet.
constexpr Milliseconds lossLifetime { 3 * EndpointLosses::correlationWindow };
constexpr std::size_t maxDigestsPerLoss = 16;
constexpr std::size_t maxLosses = 4096;

Milliseconds timeBetween(Milliseconds a, Milliseconds b) { return a > b ? a - b : b - a; }

} // namespace

void EndpointLosses::note(EndpointLoss loss, Milliseconds lastAliveAt)
{
    while (!m_losses.empty() && (loss.at - m_losses.front().first.at > lossLifetime || m_losses.size() >= maxLosses))
        m_losses.pop_front();
    const auto known = std::find_if(m_losses.begin(), m_losses.end(), [&](const LostEndpoint& lost) {
        return lost.first.endpointId == loss.endpointId && lost.first.at >= lastAliveAt;
    });
    if (known == m_losses.end())
        m_losses.push_back({ loss, { loss.digest } });
    else if (known->digests.size() < maxDigestsPerLoss)
        known->digests.push_back(loss.digest);
}

bool EndpointLosses::wasLostBefore(const std::string& endpointId, Milliseconds instant, Milliseconds lastAliveAt) const
{
    return std::any_of(m_losses.begin(), m_losses.end(), [&](const LostEndpoint& lost) {
        const auto at = lost.first.at;
        return lost.first.endpointId == endpointId && at < instant && at >= lastAliveAt && instant - at < lossLifetime;
    });
}

bool EndpointLosses::isCorrelatedLoss(const EndpointLoss& loss, const OtherEndpointCounts& others) const
{
    std::size_t inZone = 0;
    std::size_t inService = 0;
    for (const auto& lost : m_losses) {
        const auto& other = lost.first;
        const bool isSameRequestOrEndpoint = other.endpointId == loss.endpointId
            || std::find(lost.digests.begin(), lost.digests.end(), loss.digest) != lost.digests.end();
        if (isSameRequestOrEndpoint || other.service != loss.service
            || timeBetween(other.at, loss.at) > correlationWindow)
            continue;
        ++inService;
        inZone += other.zone == loss.zone;
    }
    const bool isZoneLoss = others.inZone > 0 && inZone >= std::min(correlatedLossesInZone, others.inZone);
    const bool isServiceLoss = inService >= std::max(minCorrelatedLossesInService, (others.inService + 1) / 2);
    return isZoneLoss || isServiceLoss;
}

} // namespace lupinknot::internal
