#include "quarantine/EndpointLosses.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// One other endpoint may be lost by chance at the same time. For engines that crash 1.5 times a second in four zones,
// the probability of one more loss in the zone is a third, and of two more 5 %.
constexpr std::size_t othersByZone = 2;
// A loss is also correlated if half of the service's other endpoints were lost, and at least this many. This covers
// services whose zones have too few endpoints to tell.
constexpr std::size_t leastOthersByService = 2;
// Losses are kept for as long as an evaluation looks back. No endpoint restarts within this time: a request sent to it
// until then finds it lost. `mostKept` is more than the engines of a fleet.
constexpr Milliseconds keptFor { 3 * EndpointLosses::moment };
constexpr std::size_t mostDigests = 16;
constexpr std::size_t mostKept = 4096;

Milliseconds distance(Milliseconds a, Milliseconds b) { return a > b ? a - b : b - a; }

} // namespace

void EndpointLosses::note(EndpointLoss loss, Milliseconds lastLife)
{
    while (!m_losses.empty() && (loss.at - m_losses.front().first.at > keptFor || m_losses.size() >= mostKept))
        m_losses.pop_front();
    const auto known = std::find_if(m_losses.begin(), m_losses.end(),
        [&](const Lost& lost) { return lost.first.endpointId == loss.endpointId && lost.first.at >= lastLife; });
    if (known == m_losses.end())
        m_losses.push_back({ loss, { loss.digest } });
    else if (known->digests.size() < mostDigests)
        known->digests.push_back(loss.digest);
}

bool EndpointLosses::wasLostBefore(const std::string& endpointId, Milliseconds instant, Milliseconds lastLife) const
{
    return std::any_of(m_losses.begin(), m_losses.end(), [&](const Lost& lost) {
        const auto at = lost.first.at;
        return lost.first.endpointId == endpointId && at < instant && at >= lastLife && instant - at < keptFor;
    });
}

bool EndpointLosses::wentWithOthers(const EndpointLoss& loss, const OtherEndpoints& others) const
{
    std::size_t inZone = 0;
    std::size_t inService = 0;
    for (const auto& lost : m_losses) {
        const auto& other = lost.first;
        const bool isOwn = other.endpointId == loss.endpointId
            || std::find(lost.digests.begin(), lost.digests.end(), loss.digest) != lost.digests.end();
        if (isOwn || other.service != loss.service || distance(other.at, loss.at) > moment)
            continue;
        ++inService;
        inZone += other.zone == loss.zone;
    }
    const bool hasZoneGone = others.inZone > 0 && inZone >= std::min(othersByZone, others.inZone);
    const bool hasServiceGone = inService >= std::max(leastOthersByService, (others.inService + 1) / 2);
    return hasZoneGone || hasServiceGone;
}

} // namespace lupinknot::internal
