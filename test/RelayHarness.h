// A relay with scripted endpoints and a caller, all on one thread that the test runs.
#pragma once

#include "PlatformCallProtocol.h"
#include "ScriptedEndpoint.h"
#include "http/HttpRoundTrip.h"
#include "relay/RelayConfiguration.h"
#include "relay/RelayDaemon.h"
#include "relay/RelaySettings.h"
#include <deque>

namespace lupinknot::internal {

// A caller's request and the part of the response that has been received.
class TestCaller final : public ClientConnectionListener, public std::enable_shared_from_this<TestCaller> {
public:
    void responseHeaderReceived(const HttpResponse& response) override { head = response; }
    void responseBodyReceived(std::string_view piece) override
    {
        const auto now = std::chrono::steady_clock::now();
        if (!body.empty())
            longestPause = std::max(longestPause, std::chrono::duration_cast<Milliseconds>(now - lastPieceAt));
        lastPieceAt = now;
        body.append(piece);
    }
    bool responseEnded() override
    {
        isWhole = true;
        return false;
    }
    void connectionFailed(ClientFailure) override { isBroken = true; }

    std::string header(std::string_view name) const { return std::string(head.headers.find(name).value_or("absent")); }

    HttpResponse head { 0, {}, "" };
    std::string body;
    bool isWhole { false };
    bool isBroken { false };
    std::chrono::steady_clock::time_point lastPieceAt;
    // The longest time between two pieces of the body.
    Milliseconds longestPause { 0 };
    std::shared_ptr<ClientConnection> connection;
};

class RelayHarness {
public:
    RelayHarness();

    // Makes the service's endpoints engines, whose load can be queried.
    void useEngineService();
    // Makes the service's endpoints engines whose runs can be copied on request.
    void useCopyingService(Milliseconds handleTime = Milliseconds { 4000 });
    // Adds a route for the path prefix /PREFIX/ of the host h.
    void addRoute(const std::string& prefix, RequestKind, unsigned maxAttempts, bool isPublic = true);
    // Divides the requests of the routes that are added from now on evenly among these services.
    void divideAmong(std::vector<ServiceShare> services) { m_services = std::move(services); }
    // Adds a non-idempotent route for an organisation, and the API key that it requires.
    void addKeyedRoute(const std::string& prefix, const std::string& key, const std::string& organisation);
    // Sets the rank of the routes that are added from now on.
    void useRank(std::optional<unsigned> rank) { m_rank = rank; }
    // Sets the largest body of a request.
    void allowBodies(std::int64_t bytes);
    // Applies a configuration with the routes added since the last one.
    void configure();
    ScriptedEndpoint& addEndpoint(
        const std::string& id, const std::string& zone = "a", const std::string& version = "v1");
    // Passes the endpoints added so far to the relay's directory.
    void list();
    std::shared_ptr<TestCaller> call(
        const std::string& path, const HttpHeaders& extra = {}, const std::string& id = "r1");
    // Runs the event loop until the condition holds; returns false when it does not within a long time.
    bool runUntil(const std::function<bool()>&);

    RelaySettings settings;
    RelayDaemon& daemon();

private:
    platform::PlatformCallProtocol m_protocol;
    std::unique_ptr<RelayDaemon> m_daemon;
    RelayConfigurationBuilder m_builder;
    std::deque<ScriptedEndpoint> m_endpoints;
    std::vector<EndpointEntry> m_entries;
    std::optional<unsigned> m_rank;
    std::vector<ServiceShare> m_services { { "s", 1 } };
    std::uint64_t m_version { 0 };
};

// Header lines of an endpoint's response to the request, whose text is given.
std::string signedHeadFor(const std::string& request);

// Header lines that make the response to request r1 acceptable.
inline const std::string signedHead = "X-Request-Id: r1\r\nX-Response-Signature: s\r\n";

} // namespace lupinknot::internal
