#include "relay/RelayConfiguration.h"

#include <algorithm>
#include <utility>

namespace lupinknot::internal {

namespace {

// Host names are case-insensitive, and a port is not part of the name.
std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
        [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

} // namespace

std::shared_ptr<const Route> RelayConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = m_routesByHost.find(normalizedHost(host));
    if (routes == m_routesByHost.end())
        return nullptr;
    // Prefixes end with a slash, so only the slashes of the path are candidates.
    std::string prefix(path);
    for (auto slash = prefix.rfind('/'); slash != std::string::npos; slash = prefix.rfind('/')) {
        prefix.resize(slash + 1);
        const auto found = routes->second.find(prefix);
        if (found != routes->second.end())
            return found->second;
        prefix.pop_back();
    }
    return nullptr;
}

const std::string* RelayConfiguration::findOrganisation(const std::string& key) const
{
    const auto found = m_organisationByKey.find(key);
    return found == m_organisationByKey.end() ? nullptr : &found->second;
}

std::optional<unsigned> RelayConfiguration::rankOfOrganisation(const std::string& name) const
{
    const auto found = m_rankByOrganisation.find(name);
    return found == m_rankByOrganisation.end() ? std::nullopt : std::optional(found->second);
}

const ServiceConfiguration* RelayConfiguration::findService(const std::string& name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

RelayConfigurationBuilder::RelayConfigurationBuilder()
    : m_configuration(std::make_shared<RelayConfiguration>())
{
}

RelayConfigurationBuilder& RelayConfigurationBuilder::version(std::uint64_t version)
{
    m_configuration->m_version = version;
    return *this;
}

RelayConfigurationBuilder& RelayConfigurationBuilder::addRoute(Route route)
{
    auto& routes = m_configuration->m_routesByHost[normalizedHost(route.host)];
    const auto prefix = route.pathPrefix;
    const bool isNew = routes.insert_or_assign(prefix, std::make_shared<const Route>(std::move(route))).second;
    m_configuration->m_routeCount += isNew ? 1 : 0;
    return *this;
}

RelayConfigurationBuilder& RelayConfigurationBuilder::addService(ServiceConfiguration service)
{
    const auto name = service.name;
    m_configuration->m_services.insert_or_assign(name, std::move(service));
    return *this;
}

RelayConfigurationBuilder& RelayConfigurationBuilder::requireApiKeys()
{
    m_configuration->m_hasOrganisations = true;
    return *this;
}

RelayConfigurationBuilder& RelayConfigurationBuilder::addKey(std::string key, std::string organisation)
{
    m_configuration->m_organisationByKey.insert_or_assign(std::move(key), std::move(organisation));
    return requireApiKeys();
}

RelayConfigurationBuilder& RelayConfigurationBuilder::organisationRank(const std::string& organisation, unsigned rank)
{
    m_configuration->m_rankByOrganisation.insert_or_assign(organisation, rank);
    return *this;
}

RelayConfigurationBuilder& RelayConfigurationBuilder::callerLimits(const HttpServerSettings& limits)
{
    m_configuration->m_callerLimits = limits;
    return *this;
}

std::shared_ptr<const RelayConfiguration> RelayConfigurationBuilder::build()
{
    return std::exchange(m_configuration, std::make_shared<RelayConfiguration>());
}

} // namespace lupinknot::internal
