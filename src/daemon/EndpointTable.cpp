#include "daemon/EndpointTable.h"

#include "common/Log.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

bool isAvoided(const EndpointState& endpoint, const RouteQuery& query)
{
    return std::find(query.avoid.begin(), query.avoid.end(), endpoint.settings().name) != query.avoid.end();
}

} // namespace

EndpointTable::EndpointTable(const DaemonSettings& settings, const Clock& clock)
    : m_clock(clock)
    , m_zone(settings.vm.zone)
{
    for (const auto& endpoint : settings.endpoints) {
        auto state = std::make_shared<EndpointState>(endpoint, settings.silence.liveness(), settings.ejection);
        m_endpoints.push_back(state);
        m_byName.emplace(endpoint.name, state);
        for (const auto& model : endpoint.models)
            m_byModel[model].push_back(state);
    }
}

std::shared_ptr<EndpointState> EndpointTable::chooseForModel(const std::string& model, const RouteQuery& query) const
{
    const auto entry = m_byModel.find(model);
    return entry == m_byModel.end() ? nullptr : choose(entry->second, query);
}

std::shared_ptr<EndpointState> EndpointTable::chooseAmong(
    const std::vector<std::string>& names, const RouteQuery& query) const
{
    Endpoints candidates;
    for (const auto& name : names) {
        if (auto endpoint = find(name))
            candidates.push_back(std::move(endpoint));
    }
    return choose(candidates, query);
}

std::shared_ptr<EndpointState> EndpointTable::find(const std::string& name) const
{
    const auto entry = m_byName.find(name);
    return entry == m_byName.end() ? nullptr : entry->second;
}

void EndpointTable::applyListing(const std::vector<EndpointListingEntry>& entries)
{
    for (const auto& entry : entries) {
        const auto endpoint = find(entry.name);
        if (!endpoint || endpoint->listing() == entry.listing)
            continue;
        endpoint->setListing(entry.listing);
        logInfo(LogComponent::Membership,
            "endpoint " + entry.name + " is now listed as " + std::string(nameIn(endpointListingNames, entry.listing))
                + ".");
    }
}

std::shared_ptr<EndpointState> EndpointTable::choose(const Endpoints& candidates, const RouteQuery& query) const
{
    const auto now = m_clock.now();
    std::shared_ptr<EndpointState> best;
    std::size_t eligible = 0;
    for (const auto& candidate : candidates) {
        if (!candidate->isEligible(now))
            continue;
        ++eligible;
        if (!best || isBetter(*candidate, *best, query))
            best = candidate;
    }
    if (!best)
        return probe(candidates, query);
    logInfo(LogComponent::Route,
        query.subject + " is sent to " + best->settings().name + ": " + std::to_string(best->inFlight())
            + " in flight, zone " + best->settings().zone + ", " + std::to_string(eligible) + " of "
            + std::to_string(candidates.size()) + " eligible.");
    return best;
}

std::shared_ptr<EndpointState> EndpointTable::probe(const Endpoints& candidates, const RouteQuery& query) const
{
    for (const auto& candidate : candidates) {
        if (isAvoided(*candidate, query) || !candidate->reserveProbe(m_clock.now()))
            continue;
        logInfo(LogComponent::Route,
            query.subject + " probes " + candidate->settings().name + ": none of " + std::to_string(candidates.size())
                + " is eligible.");
        return candidate;
    }
    logDebug(LogComponent::Route,
        query.subject + " has no endpoint: none of " + std::to_string(candidates.size()) + " is eligible.");
    return nullptr;
}

bool EndpointTable::isBetter(const EndpointState& a, const EndpointState& b, const RouteQuery& query) const
{
    if (isAvoided(a, query) != isAvoided(b, query))
        return !isAvoided(a, query);
    const bool isLocalA = a.settings().zone == m_zone;
    const bool isLocalB = b.settings().zone == m_zone;
    if (isLocalA != isLocalB)
        return isLocalA;
    return a.inFlight() < b.inFlight();
}

} // namespace lupinknot::internal
