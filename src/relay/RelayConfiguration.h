// One version of the configuration: routes, services, organisations and limits.
//
//     RelayConfigurationBuilder builder;
//     builder.version(7).addRoute(route).addKey("k1", "acme");
//     auto configuration = builder.build();
//     configuration->findRoute("a.example", "/captions/4");
//
// Immutable and shared: a request keeps the version under which it was admitted.
#pragma once

#include "http/HttpServerSettings.h"
#include "relay/Route.h"
#include "relay/ServiceConfiguration.h"
#include <memory>
#include <unordered_map>

namespace lupinknot::internal {

class RelayConfiguration {
public:
    std::uint64_t version() const { return m_version; }
    // The host's route with the longest prefix of the path, or null.
    std::shared_ptr<const Route> findRoute(std::string_view host, std::string_view path) const;
    // The organisation to which the API key belongs, or null.
    const std::string* findOrganisation(const std::string& key) const;
    // The rank that the configuration names for the organisation, if any.
    std::optional<unsigned> rankOfOrganisation(const std::string& name) const;
    // The service's configuration, or null.
    const ServiceConfiguration* findService(const std::string& name) const;
    // True when all routes but the public ones require an API key.
    bool hasOrganisations() const { return m_hasOrganisations; }
    std::size_t routeCount() const { return m_routeCount; }
    const HttpServerSettings& callerLimits() const { return m_callerLimits; }

private:
    friend class RelayConfigurationBuilder;

    std::uint64_t m_version { 0 };
    // The routes of each host by their path prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, std::shared_ptr<const Route>>> m_routesByHost;
    std::unordered_map<std::string, ServiceConfiguration> m_services;
    std::unordered_map<std::string, std::string> m_organisationByKey;
    std::unordered_map<std::string, unsigned> m_rankByOrganisation;
    HttpServerSettings m_callerLimits;
    std::size_t m_routeCount { 0 };
    bool m_hasOrganisations { false };
};

class RelayConfigurationBuilder {
public:
    RelayConfigurationBuilder();

    RelayConfigurationBuilder& version(std::uint64_t);
    RelayConfigurationBuilder& addRoute(Route);
    RelayConfigurationBuilder& addService(ServiceConfiguration);
    // Makes requests require an API key, even if no organisation has one.
    RelayConfigurationBuilder& requireApiKeys();
    RelayConfigurationBuilder& addKey(std::string key, std::string organisation);
    RelayConfigurationBuilder& organisationRank(const std::string& organisation, unsigned rank);
    RelayConfigurationBuilder& callerLimits(const HttpServerSettings&);
    // Returns the configuration and leaves the builder empty.
    std::shared_ptr<const RelayConfiguration> build();

private:
    std::shared_ptr<RelayConfiguration> m_configuration;
};

} // namespace lupinknot::internal
