#include "admission/WaitingRequestLimit.h"

#include <utility>

namespace lupinknot::internal {

bool WaitingRequestLimit::fits(std::size_t bytes, std::size_t heldCount, std::size_t heldBytes) const
{
    return heldCount < maxRequests && bytes <= maxBytes - heldBytes;
}

WaitingRequestLimit::HeldRequests::iterator WaitingRequestLimit::findDisplaceable(
    const RankedWait& newcomer, Milliseconds now)
{
    auto leastUrgent = m_held.end();
    unsigned lowest = 0;
    for (auto held = m_held.begin(); held != m_held.end(); ++held) {
        const auto& urgency = held->second.request.urgency;
        if (!isMoreUrgent(newcomer, urgency, now, m_ageingTime))
            continue;
        const auto rank = agedRank(urgency.rank, now - urgency.since, m_ageingTime).value;
        if (leastUrgent == m_held.end() || rank >= lowest) {
            leastUrgent = held;
            lowest = rank;
        }
    }
    return leastUrgent;
}

std::optional<WaitingRequestLimit::Place> WaitingRequestLimit::enter(
    const WaitingRequest& request, Milliseconds now, OnDisplaced onDisplaced)
{
    OnDisplaced displaced;
    if (!fits(request.bytes, m_held.size(), m_bytes)) {
        const auto found = findDisplaceable(request.urgency, now);
        if (found == m_held.end() || !fits(request.bytes, m_held.size() - 1, m_bytes - found->second.request.bytes))
            return std::nullopt;
        displaced = std::move(found->second.onDisplaced);
        leave(found->first);
    }
    const auto place = m_nextPlace++;
    m_held.emplace(place, Held { request, std::move(onDisplaced) });
    m_bytes += request.bytes;
    // Called last, because it may enter or leave itself.
    if (displaced)
        displaced();
    return place;
}

void WaitingRequestLimit::leave(Place place)
{
    const auto found = m_held.find(place);
    if (found == m_held.end())
        return;
    m_bytes -= found->second.request.bytes;
    m_held.erase(found);
}

} // namespace lupinknot::internal
