// The endpoints that this VM knows, and which availability zones fail right now.
//
//     directory.upsert(entry, now);
//     directory.remove("i-1", now);              // Kept as a last resort for a while.
//     directory.replaceAll(entries, now);        // After a gap in the list's changes.
//
// Used on the relay's thread only. Lives for the process.
#pragma once

#include "relay/RelayEndpoint.h"
#include "relay/RelaySettings.h"
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

namespace lupinknot::internal {

class EndpointDirectory {
public:
    EndpointDirectory(boost::asio::io_context&, const RelaySettings&);

    void upsert(EndpointEntry, Milliseconds now);
    void remove(const std::string& id, Milliseconds now);
    void replaceAll(std::vector<EndpointEntry>, Milliseconds now);
    // True once a list has been taken over, also an empty one.
    bool isKnown() const { return m_isKnown; }
    // What to call once the first list has been taken over.
    void onFirstList(std::function<void()> callback) { m_onFirstList = std::move(callback); }
    std::size_t size() const { return m_endpointsById.size(); }

    // The endpoint with this id, or null.
    std::shared_ptr<RelayEndpoint> find(const std::string& id) const;
    const std::vector<std::shared_ptr<RelayEndpoint>>& endpointsOf(const std::string& service) const;
    // Drops endpoints whose entries went longer ago than the grace.
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
    struct ZoneHealth {
        std::deque<Failure> failures;
        Milliseconds avoidUntil { 0 };
        // When it last began to fail.
        Milliseconds failedAt { 0 };
    };

    void retireOtherAt(const EndpointEntry&, Milliseconds now);
    void forget(const std::shared_ptr<RelayEndpoint>&);

    boost::asio::io_context& m_ioContext;
    const RelaySettings& m_settings;
    std::unordered_map<std::string, std::shared_ptr<RelayEndpoint>> m_endpointsById;
    std::unordered_map<std::string, std::vector<std::shared_ptr<RelayEndpoint>>> m_endpointsByService;
    // The newest incarnation at each address.
    std::unordered_map<std::string, std::string> m_idsByAddress;
    std::unordered_map<std::string, ZoneHealth> m_zones;
    bool m_isKnown { false };
    std::function<void()> m_onFirstList;
};

} // namespace lupinknot::internal
