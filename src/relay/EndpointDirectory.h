// The endpoints that this VM knows, and which availability zones fail right now.
//
//     directory.change(changes, now);
//     directory.replaceAll(entries, now);        // After a gap in the list's changes.
//     directory.remove("i-1", now);              // An answer shows that it has gone; kept as a last resort for a
//     while.
//     directory.listRestored(now);               // The next lists come from an older copy of the list's source.
//
// A source that comes back from an older copy names endpoints that have gone since, lacks some that have come, and
// shows as ready who has said that it leaves. So what is known goes before such a list until the endpoints have had the
// time to write there again; that an endpoint leaves is final for its start, whatever a list says later.
//
// One line of the log tells of each list or change that was applied: with hundreds of VMs and engines, a line for each
// endpoint on each VM is three quarters of a log.
// Used on the relay's thread only. Lives for the process.
#pragma once

#include "relay/RelayEndpoint.h"
#include "relay/RelaySettings.h"
#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace lupinknot::internal {

// One change of the list: an endpoint is listed as it is now, or its entry has gone.
struct EndpointChange {
    // Of one that has gone only the id counts.
    EndpointEntry entry;
    bool isRemoval { false };
};

// What a list or a change of it has done, as the log says it.
struct EndpointCounts {
    std::int64_t added { 0 };
    // Leaving now, or listed again.
    std::int64_t changed { 0 };
    // Ended by a new one at their address.
    std::int64_t replaced { 0 };
    std::int64_t removed { 0 };
};

class EndpointDirectory {
public:
    EndpointDirectory(boost::asio::io_context&, const RelaySettings&);

    void upsert(EndpointEntry, Milliseconds now);
    void remove(const std::string& id, Milliseconds now);
    // Changes hold in their order: an endpoint may come and go within one answer of the list's source.
    EndpointCounts change(std::vector<EndpointChange>, Milliseconds now, std::uint64_t version = 0);
    EndpointCounts replaceAll(std::vector<EndpointEntry>, Milliseconds now, std::uint64_t version = 0);
    // The lists that come within a while may be older than what is known: until an endpoint's change is told, or the
    // while is over (RelaySettings), those that they lack stay, and those that are known to have gone do not come back.
    void listRestored(Milliseconds now);
    // The list is as its source has it at the instant: while the source is away nobody can write there.
    void listConfirmed(Milliseconds instant) { m_listConfirmedAt = std::max(m_listConfirmedAt, instant); }
    // True once a list has been taken over, also an empty one.
    bool isKnown() const { return m_isKnown; }
    // Says which services count; an entry of another one takes no endpoint's address. All do as long as nothing is
    // said.
    void setServices(std::function<bool(const std::string& service)> isKnown) { m_isService = std::move(isKnown); }
    // What to call once the first list has been taken over.
    void onFirstList(std::function<void()> callback) { m_onFirstList = std::move(callback); }
    std::size_t size() const { return m_endpointsById.size(); }

    // The endpoint with this id, or null.
    std::shared_ptr<RelayEndpoint> find(const std::string& id) const;
    // The endpoint of the service that is listed at the address, or null.
    std::shared_ptr<RelayEndpoint> findAt(const std::string& service, const SocketAddress&) const;
    const std::vector<std::shared_ptr<RelayEndpoint>>& endpointsOf(const std::string& service) const;
    // Drops endpoints whose entries went longer ago than the grace, and ends the doubt about a list that is over.
    void dropExpired(Milliseconds now);

    // Takes note that an endpoint failed, and that the zone fails when several did.
    void noteFailure(const RelayEndpoint&, Milliseconds now);
    bool isZoneAvoided(const std::string& zone, Milliseconds now) const;
    // True for an endpoint of a zone that failed lately and of which nothing has been heard since.
    bool isDoubtful(const RelayEndpoint&, Milliseconds now) const;
    // True when several endpoints of the zone have failed together since the instant.
    bool hasZoneFailedSince(const std::string& zone, Milliseconds since) const;

private:
    struct Failure {
        std::string endpointId;
        Milliseconds at;
    };
    // A start of an endpoint whose entry has gone.
    struct Departure {
        Milliseconds at;
        EndpointSignals signals;
    };
    // What a list in doubt says otherwise than is known, by id.
    struct Doubt {
        std::set<std::string> missing;
        std::map<std::string, EndpointEntry> returned;
    };
    struct ZoneHealth {
        std::deque<Failure> failures;
        Milliseconds avoidUntil { 0 };
        // When it last began to fail.
        Milliseconds failedAt { 0 };
    };

    // Names an endpoint in the log, if the settings say so.
    void logEndpoint(std::string_view event, const EndpointEntry&) const;
    // Ends a list or a change of it with its line of the log.
    EndpointCounts logCounts(bool isWhole, std::uint64_t version);
    void retireOtherAt(const EndpointEntry&, Milliseconds now);
    // Ends what is believed of an earlier start of the endpoint. False when the entry itself is of an earlier start.
    bool retireEarlierStart(const EndpointEntry&, Milliseconds now);
    void forget(const std::shared_ptr<RelayEndpoint>&);
    // Takes back that the endpoint is ready if this start of it has said that it leaves.
    void keepLeaving(EndpointEntry&) const;
    // True for a start that is known to have gone.
    bool isKnownGone(const EndpointEntry&) const;
    // A list in doubt names a start that is known to have gone: it is listed only if it is still there at the end.
    void takeReturned(EndpointEntry, Milliseconds now);
    // Removes what the list in doubt lacked, and lists what it named although it was known to have gone, each in its
    // time.
    void settleList(Milliseconds now);

    boost::asio::io_context& m_ioContext;
    const RelaySettings& m_settings;
    std::unordered_map<std::string, std::shared_ptr<RelayEndpoint>> m_endpointsById;
    std::unordered_map<std::string, std::vector<std::shared_ptr<RelayEndpoint>>> m_endpointsByService;
    // The newest incarnation at each address.
    std::unordered_map<std::string, std::string> m_idsByAddress;
    std::unordered_map<std::string, ZoneHealth> m_zones;
    // Of the list or the change that is being applied.
    EndpointCounts m_counts;
    // By the start's name.
    std::map<std::string, Departure> m_departures;
    Doubt m_doubt;
    // Until when those that the list lacks stay, and those that have gone do not come back.
    Milliseconds m_missingStayUntil { 0 };
    Milliseconds m_goneStayUntil { 0 };
    Milliseconds m_listConfirmedAt { 0 };
    bool m_isKnown { false };
    std::function<bool(const std::string&)> m_isService;
    std::function<void()> m_onFirstList;
};

} // namespace lupinknot::internal
