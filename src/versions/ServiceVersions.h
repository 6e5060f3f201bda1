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
// A VM that follows a list from elsewhere knows only the versions that were listed as of some time: it may be cut off,
// or have stood still. What it concludes from the lack of a version holds only up to that time, and after a gap between
// two states of the list, in which versions may have come and gone, it has to read the history again.
//
//     versions.followList(maxGap, [] { ... });             // Asks for the present list, and for the history.
//     versions.noteListAsOf(askedAt);
//     if (!versions.isKnownAsOf(now)) versions.requestUpdate();
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

    // From now on the versions are known only as of the list's last state. Versions may have come and gone between two
    // states that are further apart than maxGap. `requestUpdate` asks for the list's present state, and for the history
    // if it is unknown; it may be called often.
    void followList(Milliseconds maxGap, std::function<void()> requestUpdate);
    // All changes of the list before this time have been noted.
    void noteListAsOf(Milliseconds instant);
    // The list is the one in force, as far as whoever sent it knows.
    void noteListReceived(Milliseconds now);
    // True when the versions that were listed up to this time are known.
    bool isKnownAsOf(Milliseconds instant) const { return !m_requestUpdate || m_listAsOf >= instant; }
    void requestUpdate() const;

    // Another VM knows an endpoint of the version, which this VM's list need not contain yet.
    void noteHeardOf(const std::string& service, const std::string& version, Milliseconds now);
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
    // Empty while no list is followed.
    std::function<void()> m_requestUpdate;
    Milliseconds m_maxGap { 0 };
    Milliseconds m_listAsOf { 0 };
    std::optional<Milliseconds> m_listReceivedAt;
    std::function<void(const ServiceVersion&)> m_onNewVersion;
};

} // namespace lupinknot::internal
