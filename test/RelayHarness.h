// A relay with scripted endpoints and a caller, all on one thread that the test drives.
#pragma once

#include "PlatformCallProtocol.h"
#include "ScriptedEndpoint.h"
#include "http/HttpRoundTrip.h"
#include "relay/RelayConfiguration.h"
#include "relay/RelayDaemon.h"
#include "relay/RelaySettings.h"
#include <deque>

namespace lupinknot::internal {

// A caller's request and what has come back so far.
class TestCaller final : public ClientConnectionListener, public std::enable_shared_from_this<TestCaller> {
public:
    void responseHeaderReceived(const HttpResponse& response) override { head = response; }
    void responseBodyReceived(std::string_view piece) override { body.append(piece); }
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
    std::shared_ptr<ClientConnection> connection;
};

class RelayHarness {
public:
    RelayHarness();

    // The service's endpoints are engines that can be asked for their load.
    void useEngineService();
    // Adds a route at /PREFIX/ of the host h.
    void addRoute(const std::string& prefix, RequestKind, unsigned maxAttempts, bool isPublic = true);
    // Adds a route for plain calls of an organisation, and the key that it wants.
    void addKeyedRoute(const std::string& prefix, const std::string& key, const std::string& organisation);
    // Puts the routes in force.
    void configure();
    ScriptedEndpoint& addEndpoint(
        const std::string& id, const std::string& zone = "a", const std::string& version = "v1");
    // Tells the relay of the endpoints.
    void list();
    std::shared_ptr<TestCaller> call(
        const std::string& path, const HttpHeaders& extra = {}, const std::string& id = "r1");
    // Runs until the condition holds; false when it has not come true for very long.
    bool runUntil(const std::function<bool()>&);

    RelaySettings settings;
    RelayDaemon& daemon();

private:
    platform::PlatformCallProtocol m_protocol;
    std::unique_ptr<RelayDaemon> m_daemon;
    RelayConfigurationBuilder m_builder;
    std::deque<ScriptedEndpoint> m_endpoints;
    std::vector<EndpointEntry> m_entries;
};

// What a good answer carries.
inline const std::string signedHead = "X-Request-Id: r1\r\nX-Response-Signature: s\r\n";

} // namespace lupinknot::internal
