#include "relay/Placement.h"

#include "relay/EndpointDirectory.h"

#include <algorithm>
#include <xxhash.h>

namespace lupinknot::internal {

namespace {

// Costs, in calls under way. A call to another zone costs bytes between zones; docs/ROUTING.md has the trials.
constexpr double otherZoneCost = 0.6;
constexpr double randomCost = 0.3;
// Costs of an engine that has reported its load, in times of reading the prompt: what another zone has to gain, and by
// how much VMs differ that read the same reports, so that they do not all choose the same engine.
constexpr double otherZoneReads = 0.3;
constexpr double randomReads = 0.3;
// A limited endpoint gets work once the others have so many calls more, the more of them there are: it is in need. One
// whose limit has not been heard for a while gets as much as the others, within its limit, because only its answers
// tell that the limit has ended.
constexpr double limitedCost = 2;
constexpr Milliseconds limitBelievedFor { 2000 };
// An endpoint that failed lately is worse than any load, one in a failing zone too, and a leaving one is the last
// resort.
constexpr double failingZoneCost = 1000;
constexpr double avoidedCost = 3000;
constexpr double zoneToLeaveCost = 10000;
constexpr double leavingCost = 100000;

// Whether an endpoint comes into question with the limit that it may have.
bool isOpen(const RelayEndpoint& endpoint, LimitedEndpoints wanted, Milliseconds now)
{
    return !endpoint.isLimited() || (wanted == LimitedEndpoints::Admitted && now >= endpoint.noPermitUntil());
}

// True while the endpoint is believed to be better off with less work.
bool isInNeed(const RelayEndpoint& endpoint, Milliseconds now)
{
    return endpoint.isLimited() && now - endpoint.limit().heardAt() < limitBelievedFor;
}

} // namespace

Placement::Placement(const EndpointDirectory& directory, const RelaySettings& settings, std::uint64_t seed)
    : m_directory(directory)
    , m_settings(settings)
    , m_random(seed)
{
}

std::shared_ptr<RelayEndpoint> Placement::choose(const PlacementRequest& request, Milliseconds now)
{
    const auto best = candidates(request, 1, now);
    return best.empty() ? nullptr : best.front();
}

std::vector<std::shared_ptr<RelayEndpoint>> Placement::candidates(
    const PlacementRequest& request, std::size_t count, Milliseconds now)
{
    const auto* const favourite = preferred(request, now);
    std::vector<Candidate> found;
    for (const auto& endpoint : m_directory.endpointsOf(request.service)) {
        if (!isEligible(*endpoint, request, now))
            continue;
        const auto sum = cost(*endpoint, request, now) - (endpoint.get() == favourite ? request.preference : 0.0);
        if (!request.mustBeHealthy || sum < failingZoneCost)
            found.push_back({ sum, endpoint });
    }
    auto best = cheapest(found, count);
    // Limits only make endpoints dearer or leave them out: without one among the best the others do not matter.
    if (std::any_of(best.begin(), best.end(), [](const auto& endpoint) { return endpoint->isLimited(); })) {
        applyLimits(found, request.limited, now);
        best = cheapest(found, count);
    }
    return best;
}

// Takes out endpoints that are not open and makes those dearer that are better off with less work.
void Placement::applyLimits(std::vector<Candidate>& found, LimitedEndpoints wanted, Milliseconds now)
{
    if (wanted == LimitedEndpoints::NotSent)
        return;
    const auto isFree = [](const Candidate& candidate) { return !candidate.endpoint->isLimited(); };
    const auto freeCount = std::count_if(found.begin(), found.end(), isFree);
    const auto extra = limitedCost * static_cast<double>(freeCount) / static_cast<double>(found.size());
    std::erase_if(
        found, [wanted, now](const Candidate& candidate) { return !isOpen(*candidate.endpoint, wanted, now); });
    for (auto& candidate : found) {
        if (isInNeed(*candidate.endpoint, now))
            candidate.cost += extra;
    }
}

std::vector<std::shared_ptr<RelayEndpoint>> Placement::cheapest(std::vector<Candidate>& found, std::size_t count)
{
    const auto end = found.begin() + static_cast<std::ptrdiff_t>(std::min(count, found.size()));
    std::partial_sort(
        found.begin(), end, found.end(), [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
    std::vector<std::shared_ptr<RelayEndpoint>> best;
    std::for_each(found.begin(), end, [&best](const Candidate& candidate) { best.push_back(candidate.endpoint); });
    return best;
}

bool Placement::isInQuestion(const RelayEndpoint& endpoint, const PlacementRequest& request)
{
    const bool isExcluded = std::any_of(request.excluded.begin(), request.excluded.end(),
        [&endpoint](const auto& excluded) { return excluded.get() == &endpoint; });
    return !isExcluded && request.version.admits(endpoint.entry().version);
}

bool Placement::isEligible(const RelayEndpoint& endpoint, const PlacementRequest& request, Milliseconds now) const
{
    return endpoint.mayTakeWork(now, m_settings.leavingEndpointGrace) && isInQuestion(endpoint, request);
}

std::optional<EndpointAvailability> Placement::nextAvailability(const PlacementRequest& request, Milliseconds now) const
{
    std::optional<EndpointAvailability> next;
    for (const auto& endpoint : m_directory.endpointsOf(request.service)) {
        if (endpoint->isLeaving() || !isInQuestion(*endpoint, request))
            continue;
        const bool isInBackOff = endpoint->isInBackOff(now);
        // One that is only full or out of reach may have a place sooner.
        if (!isInBackOff && !endpoint->isLimited())
            return std::nullopt;
        const auto at = std::max({ endpoint->noPermitUntil(), endpoint->signals().backOffUntil(), now });
        if (!next || at < next->at)
            next = EndpointAvailability { at, isInBackOff };
    }
    return next;
}

std::shared_ptr<RelayEndpoint> Placement::chooseReported(const std::vector<std::shared_ptr<RelayEndpoint>>& engines,
    const EngineWork& work, const EnginePace& pace, Milliseconds now)
{
    std::shared_ptr<RelayEndpoint> best;
    double lowest = 0;
    const auto unit = static_cast<double>(readTime(work, pace).count());
    for (const auto& engine : engines) {
        // It may have begun to leave while it was asked.
        if (!engine->mayTakeWork(now, m_settings.leavingEndpointGrace))
            continue;
        auto delay = static_cast<double>(forecastDelay(work, *engine, pace).count()) + randomReads * unit * random();
        if (engine->entry().availabilityZone != m_settings.availabilityZone)
            delay += otherZoneReads * unit;
        if (!best || delay < lowest) {
            best = engine;
            lowest = delay;
        }
    }
    return best;
}

const RelayEndpoint* Placement::preferred(const PlacementRequest& request, Milliseconds now) const
{
    if (request.promptId.empty())
        return nullptr;
    const RelayEndpoint* best = nullptr;
    std::uint64_t highest = 0;
    const auto seed = XXH64(request.promptId.data(), request.promptId.size(), 0);
    for (const auto& endpoint : m_directory.endpointsOf(request.service)) {
        const auto& entry = endpoint->entry();
        if (entry.availabilityZone != m_settings.availabilityZone || endpoint->isLeaving() || endpoint->isAvoided(now)
            || endpoint->isInBackOff(now) || !request.version.admits(entry.version))
            continue;
        const auto score = XXH64(entry.id.data(), entry.id.size(), seed);
        if (!best || score > highest) {
            best = endpoint.get();
            highest = score;
        }
    }
    return best;
}

double Placement::cost(const RelayEndpoint& endpoint, const PlacementRequest& request, Milliseconds now)
{
    const auto& zone = endpoint.entry().availabilityZone;
    double sum = endpoint.inFlight() + randomCost * random();
    if (zone != m_settings.availabilityZone)
        sum += otherZoneCost;
    if (m_directory.isZoneAvoided(zone, now) || m_directory.isDoubtful(endpoint, now))
        sum += failingZoneCost;
    if (endpoint.isAvoided(now))
        sum += avoidedCost;
    const auto& left = request.zonesToLeave;
    if (std::find(left.begin(), left.end(), zone) != left.end())
        sum += zoneToLeaveCost;
    if (endpoint.isLeaving())
        sum += leavingCost;
    return sum;
}

} // namespace lupinknot::internal
