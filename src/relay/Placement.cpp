#include "relay/Placement.h"

#include "placement/EnginePaces.h"
#include "relay/EndpointDirectory.h"

#include <algorithm>
#include <xxhash.h>

namespace lupinknot::internal {

namespace {

// Costs, in calls in flight. A call to another zone causes traffic between zones; see docs/ROUTING.md.
constexpr double otherZoneCost = 0.6;
constexpr double randomCost = 0.3;
// Costs of an engine that has reported its load, in prefill times of the prompt: the surcharge for another zone, and
// the random spread between VMs that read the same reports, so that they do not all choose the same engine.
constexpr double otherZonePrefills = 0.3;
constexpr double randomPrefills = 0.3;
// How many times as often as the others the endpoints of a zone with few of them may be probed.
constexpr double maxProbeConcentration = 2;
// Converts prefills, the unit of a zone's risk, into calls in flight: the surcharges for another zone have this ratio.
constexpr double callsPerPrefill = otherZoneCost / otherZonePrefills;
// For a copy, the difference between the zones with the highest and the lowest risk: more than any load.
constexpr double zoneRiskCostOfCopy = 500;
constexpr double millisecondsInSecond = 1000;
// A rate-limited endpoint is overloaded, so that it gets work only when the other endpoints have this many more calls,
// scaled by their share of all. When its limit has not been confirmed for a while, it is treated like the others,
// within its limit, because only its answers show that the limit has ended.
constexpr double limitedCost = 2;
constexpr Milliseconds limitTrustedFor { 2000 };
// A recently failed endpoint is worse than any load, as is one in a failing zone; one that is shutting down is the last
// resort.
constexpr double failingZoneCost = 1000;
constexpr double avoidedCost = 3000;
constexpr double zoneToAvoidCost = 10000;
constexpr double shutdownCost = 100000;

// Services with more endpoints are sampled, with the first number from this VM's zone and up to the second from other
// zones. Several times what the busiest service of a small deployment has, so that those are examined completely.
constexpr std::size_t maxExaminedEndpoints = 512;
constexpr std::size_t sampleOfOwnZone = 256;
constexpr std::size_t sampleOfOtherZones = 128;

// True unless the endpoint's rate limit excludes it.
bool isAllowedByLimit(const RelayEndpoint& endpoint, LimitedEndpoints treatment, Milliseconds now)
{
    return !endpoint.isLimited() || (treatment == LimitedEndpoints::Admitted && now >= endpoint.noPermitUntil());
}

// True while the endpoint is probably overloaded and should get less work.
bool isOverloaded(const RelayEndpoint& endpoint, Milliseconds now)
{
    return endpoint.mayReject()
        || (endpoint.limit().perSecond() && now - endpoint.limit().statedAt() < limitTrustedFor);
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
    auto found = collect(request, count, now);
    if (request.mustBeHealthy)
        eraseUnhealthy(found);
    auto best = cheapest(found, count);
    // Limits only raise costs or exclude endpoints: without a limited endpoint among the best, they do not matter.
    if (std::any_of(best.begin(), best.end(), [](const auto& endpoint) { return endpoint->isLimited(); })) {
        applyLimits(found, request.limited, now);
        best = cheapest(found, count);
    }
    return best;
}

std::vector<std::shared_ptr<RelayEndpoint>> Placement::candidatesOfZones(
    const PlacementRequest& request, std::size_t count, Milliseconds now)
{
    auto found = collect(request, count, now);
    auto zones = countByZone(found);
    assignProbes(zones, request.service, count);
    if (request.mustBeHealthy)
        eraseUnhealthy(found);
    if (std::any_of(found.begin(), found.end(), [](const auto& candidate) { return candidate.endpoint->isLimited(); }))
        applyLimits(found, request.limited, now);
    spreadOverZones(found, std::move(zones));
    std::vector<std::shared_ptr<RelayEndpoint>> chosen;
    for (std::size_t i = 0; i < std::min(count, found.size()); ++i)
        chosen.push_back(found[i].endpoint);
    return chosen;
}

std::vector<Placement::ZoneCandidates> Placement::countByZone(const std::vector<Candidate>& found) const
{
    // This VM's zone is one of them also without candidates.
    std::vector<ZoneCandidates> zones { { m_settings.availabilityZone } };
    for (const auto& candidate : found) {
        const std::string_view name = candidate.endpoint->entry().availabilityZone;
        auto zone = std::find_if(zones.begin(), zones.end(), [name](const auto& known) { return known.zone == name; });
        if (zone == zones.end())
            zone = zones.insert(zones.end(), { name });
        ++zone->examined;
        zone->healthy += candidate.cost < failingZoneCost;
    }
    return zones;
}

void Placement::assignProbes(std::vector<ZoneCandidates>& zones, const std::string& service, std::size_t count)
{
    const auto listed = static_cast<double>(m_directory.endpointsOf(service).size());
    const auto meanListed = std::max(listed / static_cast<double>(zones.size()), 1.0);
    double total = 0;
    for (auto& zone : zones) {
        const auto listedInZone = static_cast<double>(m_directory.endpointsOf(service, std::string(zone.zone)).size());
        const auto examined = static_cast<double>(std::max<std::size_t>(zone.examined, 1));
        const auto healthyShare = static_cast<double>(zone.healthy) / examined;
        zone.weight = healthyShare * std::min(1.0, maxProbeConcentration * listedInZone / meanListed);
        if (zone.zone == m_settings.availabilityZone)
            zone.weight *= static_cast<double>(std::max<std::size_t>(zones.size() - 1, 1));
        total += zone.weight;
    }
    const auto step = total / static_cast<double>(count);
    if (step <= 0)
        return;
    double next = random() * step;
    double end = 0;
    for (auto& zone : zones) {
        end += zone.weight;
        for (; next < end; next += step)
            ++zone.probes;
    }
}

void Placement::spreadOverZones(std::vector<Candidate>& found, std::vector<ZoneCandidates> zones)
{
    std::sort(found.begin(), found.end(), [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
    std::stable_partition(found.begin(), found.end(), [&zones](const Candidate& candidate) {
        const std::string_view name = candidate.endpoint->entry().availabilityZone;
        const auto zone
            = std::find_if(zones.begin(), zones.end(), [name](const auto& known) { return known.zone == name; });
        return zone->probes > 0 && zone->probes-- > 0;
    });
}

std::vector<Placement::Candidate> Placement::collect(
    const PlacementRequest& request, std::size_t count, Milliseconds now)
{
    const auto& all = m_directory.endpointsOf(request.service);
    const auto preferredEndpoint = preferred(request, now);
    std::vector<Candidate> found;
    m_examined = 0;
    m_zoneRisk = zoneRisk(request.service, now);
    if (all.size() > maxExaminedEndpoints) {
        const auto& ownZone = m_settings.availabilityZone;
        addSample(m_directory.endpointsOf(request.service, ownZone), sampleOfOwnZone, "", request, now, found);
        addSample(all, sampleOfOtherZones, ownZone, request, now, found);
        const auto isGood = [](const Candidate& candidate) {
            return candidate.cost < failingZoneCost && !candidate.endpoint->isLimited();
        };
        if (static_cast<std::size_t>(std::count_if(found.begin(), found.end(), isGood)) < count)
            found.clear();
        else if (preferredEndpoint && !contains(found, preferredEndpoint)
            && isEligible(*preferredEndpoint, request, now))
            add(preferredEndpoint, request, now, found);
    }
    if (found.empty()) {
        for (const auto& endpoint : all) {
            if (isEligible(*endpoint, request, now))
                add(endpoint, request, now, found);
        }
    }
    for (auto& candidate : found) {
        if (candidate.endpoint == preferredEndpoint)
            candidate.cost -= request.preference;
    }
    return found;
}

void Placement::eraseUnhealthy(std::vector<Candidate>& found)
{
    std::erase_if(found, [](const Candidate& candidate) { return candidate.cost >= failingZoneCost; });
}

bool Placement::contains(const std::vector<Candidate>& found, const std::shared_ptr<RelayEndpoint>& endpoint)
{
    return std::any_of(
        found.begin(), found.end(), [&endpoint](const Candidate& candidate) { return candidate.endpoint == endpoint; });
}

void Placement::add(const std::shared_ptr<RelayEndpoint>& endpoint, const PlacementRequest& request, Milliseconds now,
    std::vector<Candidate>& found)
{
    ++m_examined;
    found.push_back({ cost(*endpoint, request, now), endpoint });
}

void Placement::addSample(const std::vector<std::shared_ptr<RelayEndpoint>>& endpoints, std::size_t count,
    std::string_view zoneToSkip, const PlacementRequest& request, Milliseconds now, std::vector<Candidate>& found)
{
    const auto first
        = endpoints.empty() ? 0 : std::uniform_int_distribution<std::size_t>(0, endpoints.size() - 1)(m_random);
    for (std::size_t i = 0; i < std::min(count, endpoints.size()); ++i) {
        const auto& endpoint = endpoints[(first + i) % endpoints.size()];
        if (endpoint->entry().availabilityZone != zoneToSkip && isEligible(*endpoint, request, now))
            add(endpoint, request, now, found);
    }
}

// Removes the candidates that their limit excludes, and adds a surcharge to those that should get less work.
void Placement::applyLimits(std::vector<Candidate>& found, LimitedEndpoints treatment, Milliseconds now)
{
    if (treatment == LimitedEndpoints::Unrestricted)
        return;
    const auto isFree = [](const Candidate& candidate) { return !candidate.endpoint->isLimited(); };
    const auto freeCount = std::count_if(found.begin(), found.end(), isFree);
    const auto extra = limitedCost * static_cast<double>(freeCount) / static_cast<double>(found.size());
    std::erase_if(found, [treatment, now](const Candidate& candidate) {
        return !isAllowedByLimit(*candidate.endpoint, treatment, now);
    });
    for (auto& candidate : found) {
        if (isOverloaded(*candidate.endpoint, now))
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

bool Placement::isCandidate(const RelayEndpoint& endpoint, const PlacementRequest& request)
{
    const bool isExcluded = std::any_of(request.excluded.begin(), request.excluded.end(),
        [&endpoint](const auto& excluded) { return excluded.get() == &endpoint; });
    return !isExcluded && request.version.admits(endpoint.entry().version);
}

bool Placement::isEligible(const RelayEndpoint& endpoint, const PlacementRequest& request, Milliseconds now) const
{
    return endpoint.mayTakeWork(now, m_settings.removedEndpointGrace) && isCandidate(endpoint, request);
}

std::optional<EndpointAvailability> Placement::nextAvailability(const PlacementRequest& request, Milliseconds now) const
{
    std::optional<EndpointAvailability> next;
    for (const auto& endpoint : m_directory.endpointsOf(request.service)) {
        if (endpoint->isShuttingDown() || !isCandidate(*endpoint, request))
            continue;
        const bool isInBackOff = endpoint->isInBackOff(now);
        // An endpoint that is only full or unreachable may accept a request sooner.
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
    const auto unit = static_cast<double>(prefillTime(work, pace).count());
    const auto risk = engines.empty() ? ZoneRisk() : zoneRisk(engines.front()->entry().service, now);
    const RunTimes times { .untilFirstEvent = unit / millisecondsInSecond };
    for (const auto& engine : engines) {
        // The engine may have started to shut down while it was probed.
        if (!engine->mayTakeWork(now, m_settings.removedEndpointGrace))
            continue;
        const auto forecast = forecastDelay(work, *engine, pace.scaledBy(paceOf(*engine, now)));
        auto delay = static_cast<double>(forecast.count()) + randomPrefills * unit * random();
        if (engine->entry().availabilityZone != m_settings.availabilityZone)
            delay += otherZonePrefills * unit;
        delay += risk.surcharge(engine->entry().availabilityZone, times) * unit;
        if (!best || delay < lowest) {
            best = engine;
            lowest = delay;
        }
    }
    return best;
}

std::shared_ptr<RelayEndpoint> Placement::preferred(const PlacementRequest& request, Milliseconds now) const
{
    if (request.promptId.empty())
        return nullptr;
    std::shared_ptr<RelayEndpoint> best;
    std::uint64_t highest = 0;
    const auto seed = XXH64(request.promptId.data(), request.promptId.size(), 0);
    for (const auto& endpoint : m_directory.endpointsOf(request.service, m_settings.availabilityZone)) {
        const auto& entry = endpoint->entry();
        const auto score = XXH64(entry.id.data(), entry.id.size(), seed);
        if (best && score <= highest)
            continue;
        if (endpoint->isShuttingDown() || endpoint->isAvoided(now) || endpoint->isInBackOff(now)
            || !request.version.admits(entry.version))
            continue;
        best = endpoint;
        highest = score;
    }
    return best;
}

ZoneRisk Placement::zoneRisk(const std::string& service, Milliseconds now) const
{
    const auto& history = m_directory.zoneFailures(service);
    return history.isEmpty() ? ZoneRisk() : ZoneRisk(history, m_directory.zonesOf(service), now);
}

double Placement::paceOf(const RelayEndpoint& endpoint, Milliseconds now) const
{
    const auto& entry = endpoint.entry();
    const auto* const load = endpoint.statedLoad(now);
    const auto learned = m_paces ? m_paces->paceOf(entry.service, entry.address, now) : 1;
    if (!load || !load->pace)
        return learned;
    // Whether an endpoint calls its own usual pace or that of its service usual is not specified. Where its own pace is
    // learned from runs, only its momentary deviation is added.
    if (m_paces && !m_paces->knows(entry.service, entry.address))
        return m_paces->relativeToService(entry.service, *load->pace);
    return learned * endpoint.statedSlowdown();
}

double Placement::cost(const RelayEndpoint& endpoint, const PlacementRequest& request, Milliseconds now)
{
    const auto& zone = endpoint.entry().availabilityZone;
    // Among idle engines, the random part makes the chance of each proportional to its speed.
    double sum = (endpoint.inFlight() + randomCost * random()) * paceOf(endpoint, now);
    if (const auto* const load = endpoint.statedLoad(now))
        sum += load->queueAhead();
    if (zone != m_settings.availabilityZone)
        sum += otherZoneCost;
    sum += request.prefersSafestZone ? zoneRiskCostOfCopy * m_zoneRisk.relativeExcess(zone)
                                     : callsPerPrefill * m_zoneRisk.surcharge(zone, request.times);
    if (m_directory.isZoneAvoided(request.service, zone, now) || m_directory.isSuspected(endpoint, now))
        sum += failingZoneCost;
    if (endpoint.isAvoided(now))
        sum += avoidedCost;
    const auto& toAvoid = request.zonesToAvoid;
    if (std::find(toAvoid.begin(), toAvoid.end(), zone) != toAvoid.end())
        sum += zoneToAvoidCost;
    if (endpoint.isShuttingDown())
        sum += shutdownCost;
    return sum;
}

} // namespace lupinknot::internal
