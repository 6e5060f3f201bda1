#include "quarantine/EndpointLosses.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// One other endpoint may go by chance at the same moment: while engines crash 1.5 times a second in four zones, one
// more of a zone's does so in a third of the cases, and two in one of twenty.
constexpr std::size_t othersByZone = 2;
// Of a service without zones of any size, half of the others.
constexpr std::size_t leastOthersByService = 2;
// Losses are kept for as long as a judgement may look back, and never more than a fleet of engines.
constexpr Milliseconds keptFor { 3 * EndpointLosses::moment };
constexpr std::size_t mostKept = 4096;

Milliseconds distance(Milliseconds a, Milliseconds b) { return a > b ? a - b : b - a; }

} // namespace

void EndpointLosses::note(EndpointLoss loss)
{
    while (!m_losses.empty() && (loss.at - m_losses.front().at > keptFor || m_losses.size() >= mostKept))
        m_losses.pop_front();
    const auto isKnown = std::any_of(m_losses.begin(), m_losses.end(),
        [&loss](const EndpointLoss& known) { return known.endpointId == loss.endpointId; });
    if (!isKnown)
        m_losses.push_back(std::move(loss));
}

bool EndpointLosses::wentWithOthers(
    const EndpointLoss& loss, const OtherEndpoints& others, const std::vector<std::string>& excludedIds) const
{
    std::size_t inZone = 0;
    std::size_t inService = 0;
    for (const auto& other : m_losses) {
        const bool isExcluded = other.endpointId == loss.endpointId
            || std::find(excludedIds.begin(), excludedIds.end(), other.endpointId) != excludedIds.end();
        if (isExcluded || other.service != loss.service || distance(other.at, loss.at) > moment)
            continue;
        ++inService;
        inZone += other.zone == loss.zone;
    }
    const bool hasZoneGone = others.inZone > 0 && inZone >= std::min(othersByZone, others.inZone);
    const bool hasServiceGone = inService >= std::max(leastOthersByService, (others.inService + 1) / 2);
    return hasZoneGone || hasServiceGone;
}

} // namespace lupinknot::internal
