// Remembers which software versions of each service had endpoints recently.
//
// A stream of which no VM knows at which version it began can still continue if only one version of its service can
// have begun it. A VM that has just started has not seen which versions were listed before; until it has read that from
// a history that outlives it, or has run for as long as a stream lasts, it names no version.
//
//     ServiceVersions versions(streamLifetime);
//     versions.awaitHistory(now);                          // This VM has just started.
//     versions.noteListed("s", "v1", now);                 // At each change of the list, and while it is listed.
//     versions.applyHistory({ { "s", "v0" } }, now);
//     if (const auto version = versions.onlyVersion("s", now)) ...
//
// A value without I/O or synchronization.
#pragma once

#include "lupinknot/Clock.h"
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace lupinknot::internal {

// A software version of a service's endpoints.
struct ServiceVersion {
    std::string service;
    std::string version;

    bool operator<(const ServiceVersion& other) const
    {
        return std::tie(service, version) < std::tie(other.service, other.version);
    }
};

class ServiceVersions {
public:
    // streamLifetime is the longest time from a stream's first event to its last one, over all attempts of its caller.
    explicit ServiceVersions(Milliseconds streamLifetime);

    // From now on the versions that were listed before are unknown, until applyHistory() or for the stream lifetime.
    void awaitHistory(Milliseconds now) { m_historyUnknownSince = now; }
    // Adds the versions that were listed before this VM started.
    void applyHistory(const std::vector<ServiceVersion>&, Milliseconds now);
    bool isHistoryKnown(Milliseconds now) const;

    // An endpoint of the version is listed, or has been until now.
    void noteListed(const std::string& service, const std::string& version, Milliseconds now);
    // When the version was last noted; empty if it was not within the stream lifetime.
    std::optional<Milliseconds> lastListedAt(const std::string& service, const std::string& version) const;
    // The version that began every stream of the service that can still run. Empty when there may be several, or none
    // is known.
    std::optional<std::string> onlyVersion(const std::string& service, Milliseconds now) const;
    // The versions of the service that were noted within the stream lifetime.
    std::vector<std::string> versionsOf(const std::string& service, Milliseconds now) const;
    // The versions of all services that were noted within the stream lifetime.
    std::vector<ServiceVersion> recent(Milliseconds now) const;
    // Sets the function to call when a version is noted that is not among the recent ones.
    void onNewVersion(std::function<void(const ServiceVersion&)> callback) { m_onNewVersion = std::move(callback); }

private:
    bool isRecent(Milliseconds listedAt, Milliseconds now) const { return now - listedAt <= m_streamLifetime; }

    const Milliseconds m_streamLifetime;
    std::map<ServiceVersion, Milliseconds> m_listedAt;
    std::optional<Milliseconds> m_historyUnknownSince;
    std::function<void(const ServiceVersion&)> m_onNewVersion;
};

} // namespace lupinknot::internal
