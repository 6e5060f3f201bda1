// The endpoints that this VM knows, and which availability zones are failing now.
//
//     directory.change(changes, now);
//     directory.replaceAll(entries, now);        // After a gap in the list's changes.
//     directory.remove("i-1", now);              // i-1 is no longer listed; it is a last resort for a while.
//     directory.noteMisdirected(endpoint, now);  // An answer shows that another endpoint runs at the address.
//     directory.listRestored(now);               // The store was restored from an older copy.
//
// Several listed endpoints may have one address; AddressClaim decides which of them are in use. The entries of the
// others are kept, and the decision is made again whenever the claims to the address change.
//
// A store that was restored from an older copy lists endpoints that are gone, lacks some that are present, and shows
// endpoints as ready that have announced that they shut down. Until the endpoints have had time to write their entries
// again, local knowledge takes precedence over such a list. An endpoint's announcement that it shuts down is final for
// its incarnation, whatever a later list contains.
//
// Each applied list or change writes one log line: with hundreds of VMs and engines, a line per endpoint on each VM
// would be three quarters of the log.
//
// Used on the relay's thread only. Lives for the process.
#pragma once

#include "health/FailureEvidence.h"
#include "health/RetractionReason.h"
#include "health/ZoneFailureDetector.h"
#include "health/ZoneFailureHistory.h"
#include "health/ZoneFailureSource.h"
#include "relay/AddressClaim.h"
#include "relay/RelayEndpoint.h"
#include "relay/RelaySettings.h"
#include "versions/ServiceVersions.h"
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace lupinknot::internal {

class EndpointConnector;
class StallDetector;
struct CheckedEndpoint;

// One change of the list: an endpoint's current entry, or the removal of an entry.
struct EndpointChange {
    // For a removal only the id is used.
    EndpointEntry entry;
    bool isRemoval { false };
};

// What a list or a change did, as written to the log.
struct EndpointCounts {
    std::int64_t added { 0 };
    // Endpoints that are shutting down now, or are listed again.
    std::int64_t changed { 0 };
    // Endpoints that are no longer in use because a later one is listed under their id or at their address.
    std::int64_t replaced { 0 };
    std::int64_t removed { 0 };
};

class EndpointDirectory {
public:
    EndpointDirectory(boost::asio::io_context&, const RelaySettings&);

    // Sets what provides the paths of connections to the endpoints; it must outlive them. Call it before the first
    // list.
    void setConnector(EndpointConnector&);
    // Sets what states when this VM itself stood still; it must outlive the directory.
    void setStalls(const StallDetector& stalls) { m_stalls = &stalls; }
    // True while this VM reaches no endpoint directly.
    bool isPartitioned() const;
    void upsert(EndpointEntry, Milliseconds now);
    void remove(const std::string& id, Milliseconds now);
    // An answer shows that another endpoint runs at the endpoint's address. The endpoint is a last resort for a while
    // and is not in use again until its entry changes; others that are listed at the address may be. The caller keeps
    // the endpoint alive.
    void noteMisdirected(const RelayEndpoint&, Milliseconds now);
    // Applies the changes in their order: an endpoint may be listed and removed within one answer of the store.
    EndpointCounts change(std::vector<EndpointChange>, Milliseconds now, std::uint64_t version = 0);
    EndpointCounts replaceAll(std::vector<EndpointEntry>, Milliseconds now, std::uint64_t version = 0);
    // For a while, lists may be older than local knowledge. Endpoints that such a list lacks stay, and endpoints that
    // are known to be gone are not listed again, until a change contains the endpoint or the time in RelaySettings has
    // passed.
    void listRestored(Milliseconds now);
    // The list is the store's current one at this time: while the store is unavailable, no VM can write to it.
    void listConfirmed(Milliseconds instant)
    {
        m_listConfirmedAt = std::max(m_listConfirmedAt, instant);
        m_versions.noteListReceived(m_listConfirmedAt);
    }
    // True once a list has been applied, even an empty one.
    bool isKnown() const { return m_isKnown; }
    // Sets which services exist; an entry of another service displaces no endpoint at its address. Without this call,
    // all services do.
    void setServices(std::function<bool(const std::string& service)> isKnown) { m_isKnownService = std::move(isKnown); }
    // Call this when the services that exist have changed.
    void servicesChanged(Milliseconds now);
    // Sets the function to call after the first list has been applied.
    void onFirstList(std::function<void()> callback) { m_onFirstList = std::move(callback); }
    std::size_t size() const { return m_endpointsById.size(); }
    // The number of listed endpoints that are not in use.
    std::size_t unusedCount() const { return m_unused.size(); }

    // Null if no endpoint has this id.
    std::shared_ptr<RelayEndpoint> find(const std::string& id) const;
    // The endpoint of the service that is listed at the address, or null.
    std::shared_ptr<RelayEndpoint> findAt(const std::string& service, const SocketAddress&) const;
    // The endpoint that is listed at the address, given as text, or null.
    std::shared_ptr<RelayEndpoint> findAt(const std::string& address) const;
    const std::vector<std::shared_ptr<RelayEndpoint>>& endpointsOf(const std::string& service) const;
    // The endpoints of the service that were listed in the zone when they were added.
    const std::vector<std::shared_ptr<RelayEndpoint>>& endpointsOf(
        const std::string& service, const std::string& zone) const;
    // The software versions that are listed or were recently; dropExpired() keeps them up to date.
    ServiceVersions& versions() { return m_versions; }
    // Since when no endpoint of the version is listed that takes new work; empty while there is one.
    std::optional<Milliseconds> versionMissingSince(
        const std::string& service, const std::string& version, Milliseconds now) const;
    // Notes the versions of the listed endpoints. Drops endpoints whose removal is older than the grace time, and
    // applies what a restored list left unconfirmed once its time has passed.
    void dropExpired(Milliseconds now);

    // Sets the function to call when an endpoint requests a back-off or a longer one.
    void onBackOff(std::function<void(const RelayEndpoint&)> callback) { m_onBackOff = std::move(callback); }
    // Applies what a previous process of this VM knew about the incarnation, also if it is not listed yet.
    void restoreSignals(const std::string& incarnation, const EndpointSignals&, Milliseconds now);

    // Records a failure of the endpoint; several failing endpoints of a zone make the zone a failing one. Failures that
    // this VM sees because it is partitioned are not recorded.
    void noteFailure(const RelayEndpoint&, Milliseconds now, FailureEvidence = FailureEvidence::Failed);
    // Passes a failure that concerns the endpoint, not only the request, to the function that reports it to other VMs,
    // once it is known that this VM reaches other endpoints.
    void reportFailure(const RelayEndpoint&, FailureEvidence = FailureEvidence::Failed) const;
    void onEndpointFailure(std::function<void(const RelayEndpoint&, FailureEvidence)> callback)
    {
        m_onFailure = std::move(callback);
    }
    // The endpoint answers nothing, which shows only later whether it has failed: records it, and reports it to other
    // VMs, unless this VM itself has just stood still.
    void noteSilence(const RelayEndpoint&, Milliseconds now, FailureEvidence = FailureEvidence::Silent);
    // Sets the function that reports to other VMs that an endpoint which was seen to fail has answered since.
    void onSignOfLife(std::function<void(const RelayEndpoint&)> callback) { m_onSignOfLife = std::move(callback); }
    // Applies a failure of a service's endpoints in a zone that other VMs have detected together with this one. Returns
    // false if it is known already.
    bool applyZoneFailure(const ZoneFailure&, Milliseconds now);
    // The failure that began at this time was none: the zone's endpoints have not lost what they held. Returns false if
    // the failure is not known.
    bool retractZoneFailure(const ZoneFailure&, RetractionReason, Milliseconds now);
    // Sets the function to call when this VM or the collectors have retracted the failure of a zone.
    void onZoneRetraction(std::function<void(ZoneFailureSource, RetractionReason)> callback)
    {
        m_onZoneRetraction = std::move(callback);
    }
    // Sets the function to call when this VM or the collectors have detected the failure of a zone.
    void onZoneFailure(std::function<void(ZoneFailureSource, FailureEvidence)> callback)
    {
        m_onZoneFailure = std::move(callback);
    }
    bool isZoneAvoided(const std::string& service, const std::string& zone, Milliseconds now) const;
    // True for an endpoint of a zone that failed if no sign of life has arrived from the endpoint since and the list is
    // too old to show whether it has restarted under another id. Without confirmations of the list, only a time counts.
    bool isSuspected(const RelayEndpoint&, Milliseconds now) const;
    // True when several endpoints of the zone have failed together since that time, those of the service if the
    // failure was detected with other VMs.
    bool hasZoneFailedSince(const std::string& service, const std::string& zone, Milliseconds since) const;
    // True when the endpoint's zone has failed since that time and the endpoint has not answered since, so that what it
    // held then is lost.
    bool isLostWithZone(const RelayEndpoint&, Milliseconds since) const;
    // The failures of zones of the service that the collectors have declared.
    const ZoneFailureHistory& zoneFailures(const std::string& service) const;
    // The zones in which the service has endpoints.
    std::vector<std::string> zonesOf(const std::string& service) const;
    // Adds earlier failures, of which another VM notified this one.
    void addToHistory(const std::string& service, const std::vector<ZoneFailureHistory::Failure>&);

private:
    struct Failure {
        std::string endpointId;
        std::string service;
        Milliseconds at;
        FailureEvidence evidence;
    };
    // A listed endpoint that is not in use.
    struct UnusedEntry {
        EndpointEntry entry;
        // True after an answer has shown that another endpoint runs at the address.
        bool isMisdirected { false };
    };
    // An incarnation whose entry was removed or is not in use.
    struct Removal {
        Milliseconds at;
        EndpointSignals signals;
    };
    // Differences between a restored list and local knowledge that are not applied yet, by id.
    struct UnconfirmedChanges {
        std::set<std::string> missing;
        std::map<std::string, EndpointEntry> relisted;
    };
    struct ZoneHealth {
        std::deque<Failure> failures;
        Milliseconds avoidUntil { 0 };
        // When it last started to fail, and when it did before that, in case the failure is retracted.
        Milliseconds failedAt { 0 };
        Milliseconds previouslyFailedAt { 0 };
        // The present failure, the endpoints that were seen to fail, and whether they have answered since.
        std::optional<ZoneFailure> failure;
        std::map<std::string, bool> hasAnswered;
    };

    // When a failure began, and when this VM was notified of it.
    struct FailureTimes {
        Milliseconds firstFailureAt { 0 };
        Milliseconds appliedAt { 0 };
    };
    // A failure of a service's endpoints in a zone that the collectors declared.
    struct DeclaredFailure {
        Milliseconds avoidUntil { 0 };
        FailureTimes times;
        // Those of the failure before, in case this one is retracted.
        FailureTimes previous;
        std::optional<Milliseconds> retractedAt;
    };

    // What the log last stated about a service's next failure.
    struct LoggedEstimate {
        bool isEqual { true };
        std::int64_t percent { 0 };
    };

    void recordFailure(const RelayEndpoint&, Milliseconds now, FailureEvidence);
    void noteZoneFailed(const ZoneFailure&, ZoneFailureSource);
    void noteRetraction(const ZoneFailure&, ZoneFailureSource, RetractionReason, Milliseconds now) const;
    // True if endpoints have become silent in most zones of the service.
    bool isSilenceSpread(const std::string& service, Milliseconds now) const;
    // Begins a failure of the zone that this VM has seen alone.
    void declareOwn(ZoneHealth&, ZoneFailure);
    void retractOwn(ZoneHealth&, RetractionReason, Milliseconds now);
    // Retracts the failures of the service's zones that this VM concluded from silence alone.
    void retractSpreadSilence(const std::string& service, Milliseconds now);
    void noteSignOfLife(const RelayEndpoint&, Milliseconds now);
    // Notices when an endpoint that was seen to fail turns out to be alive.
    void awaitSignOfLife(const RelayEndpoint&, Milliseconds now, FailureEvidence);
    // Logs which zone is expected to fail next if that has changed much.
    void logEstimate(const std::string& service, Milliseconds now);
    // Null if there is none.
    const DeclaredFailure* declaredFailure(const std::string& service, const std::string& zone) const;
    // Logs an event for one endpoint if RelaySettings::logsEndpoints is set.
    void logEndpoint(std::string_view event, const EndpointEntry&) const;
    // Writes the log line of an applied list or change and resets the counts.
    EndpointCounts logCounts(bool isWhole, std::uint64_t version);
    // Records a listed entry. Returns the addresses whose claims have to be decided again.
    std::vector<std::string> put(EndpointEntry, Milliseconds now);
    // Records that an entry is no longer listed. Returns the address whose claims have to be decided again, if any.
    std::optional<std::string> withdraw(const std::string& id, Milliseconds now);
    // Applies a changed entry to the endpoint in use.
    void update(const std::shared_ptr<RelayEndpoint>&, EndpointEntry, Milliseconds now);
    // Begins to use a listed endpoint.
    void add(EndpointEntry, Milliseconds now);
    // Records the entry as listed but not in use.
    void putUnused(EndpointEntry);
    // Ends the use of an endpoint, except as a last resort.
    void retire(const std::shared_ptr<RelayEndpoint>&, Milliseconds now);
    // Decides which of the endpoints that are listed at the address are in use.
    void decideAt(const std::string& address, Milliseconds now);
    std::vector<AddressClaim> claimsOf(const std::vector<std::string>& ids) const;
    // Ends the use of an endpoint that another one at its address displaces.
    void displace(const std::string& id, Milliseconds now);
    void addAddress(const EndpointEntry&);
    // Forgets that the id is listed at the address.
    void eraseAddress(const std::string& address, const std::string& id);
    // The listed entry, in use or not; null if there is none.
    const EndpointEntry* listedEntry(const std::string& id) const;
    bool isInUse(const std::string& id) const;
    // Removes an earlier incarnation of the endpoint. False when the entry itself is of an earlier incarnation.
    bool removeEarlierIncarnation(const EndpointEntry&, Milliseconds now);
    void drop(const std::shared_ptr<RelayEndpoint>&);
    // Marks the entry as draining if this incarnation has announced that it shuts down.
    void applyAnnouncedShutdown(EndpointEntry&) const;
    // True for an incarnation that is known to be gone.
    bool isKnownGone(const EndpointEntry&) const;
    // Records that a restored list contains an incarnation that is known to be gone. The incarnation is listed only if
    // the list still contains it when the time for that has passed.
    void recordRelisted(EndpointEntry, Milliseconds now);
    // Removes the endpoints that the restored list lacked and lists those that it contained although they were known to
    // be gone, each after its own time.
    void applyUnconfirmed(Milliseconds now);

    // Drops what this VM has concluded from failed connections: they were due to its own partition.
    void forgetFailures();
    void noteListedVersions(Milliseconds now);
    // A random endpoint of each service and zone, without those that are shutting down.
    std::vector<CheckedEndpoint> sample() const;

    boost::asio::io_context& m_ioContext;
    const RelaySettings& m_settings;
    EndpointConnector* m_connector { nullptr };
    std::unordered_map<std::string, std::shared_ptr<RelayEndpoint>> m_endpointsById;
    struct ServiceEndpoints {
        std::vector<std::shared_ptr<RelayEndpoint>> all;
        std::unordered_map<std::string, std::vector<std::shared_ptr<RelayEndpoint>>> byZone;
    };
    std::unordered_map<std::string, ServiceEndpoints> m_endpointsByService;
    // The ids of the endpoints that are listed at each address, or are a last resort there.
    std::unordered_map<std::string, std::vector<std::string>> m_idsByAddress;
    // Listed endpoints that are not in use, by id.
    std::map<std::string, UnusedEntry> m_unused;
    std::unordered_map<std::string, ZoneHealth> m_zones;
    // By service, then by zone.
    std::unordered_map<std::string, std::unordered_map<std::string, DeclaredFailure>> m_declaredFailures;
    std::unordered_map<std::string, ZoneFailureHistory> m_zoneFailures;
    std::unordered_map<std::string, LoggedEstimate> m_loggedEstimates;
    std::function<void(const RelayEndpoint&, FailureEvidence)> m_onFailure;
    std::function<void(ZoneFailureSource, FailureEvidence)> m_onZoneFailure;
    std::function<void(const RelayEndpoint&)> m_onSignOfLife;
    std::function<void(ZoneFailureSource, RetractionReason)> m_onZoneRetraction;
    const StallDetector* m_stalls { nullptr };
    // Counts of the list or change that is being applied.
    EndpointCounts m_counts;
    // By EndpointEntry::incarnationName().
    std::map<std::string, Removal> m_removals;
    // Signals that a previous process of this VM had received, by EndpointEntry::incarnationName().
    std::map<std::string, EndpointSignals> m_restoredSignals;
    std::function<void(const RelayEndpoint&)> m_onBackOff;
    UnconfirmedChanges m_unconfirmed;
    // Until these times, endpoints that the list lacks stay, and endpoints that are gone are not listed again.
    Milliseconds m_keepMissingUntil { 0 };
    Milliseconds m_ignoreGoneUntil { 0 };
    Milliseconds m_listConfirmedAt { 0 };
    ServiceVersions m_versions;
    bool m_isKnown { false };
    Milliseconds m_firstListAt { 0 };
    std::function<bool(const std::string&)> m_isKnownService;
    std::function<void()> m_onFirstList;
};

} // namespace lupinknot::internal
