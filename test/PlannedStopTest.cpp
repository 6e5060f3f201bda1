// Requests that a VM has taken when it is stopped as planned.
#include "RawConnection.h"
#include "RelayHarness.h"
#include "limits/PermitSource.h"
#include "quarantine/RequestDigest.h"
#include "quarantine/TrialSource.h"
#include "relay/CrashGuard.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/steady_timer.hpp>
#include <thread>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr Milliseconds acceptsFor { 100 };
constexpr Milliseconds stopsWithin { 800 };
const std::string turnedAway = "X-Not-Executed: 1\r\n";

// Grants a permit for a slot that is a minute away.
class LatePermits final : public PermitSource {
public:
    void ask(const PermitRequest&, std::function<void(const PermitAnswer&)> callback) override
    {
        ++asked;
        m_callbacks.push_back(std::move(callback));
    }
    void reportLimit(const std::string&, const LimitReport&) override { }

    void answerAll()
    {
        for (const auto& callback : std::exchange(m_callbacks, {}))
            callback({ true, Milliseconds { 60000 }, {} });
    }

    int asked { 0 };

private:
    std::vector<std::function<void(const PermitAnswer&)>> m_callbacks;
};

// Never decides about a trial.
class SilentTrials final : public TrialSource {
public:
    void ask(const std::string&, Callback callback) override { m_callbacks.push_back(std::move(callback)); }

    void grantAll()
    {
        for (const auto& callback : std::exchange(m_callbacks, {}))
            callback({ TrialAnswer::Granted, Milliseconds { 0 } });
    }

    std::size_t asked() const { return m_callbacks.size(); }

private:
    std::vector<Callback> m_callbacks;
};

// Lets the time pass while the event loop stands still.
void standStill(Milliseconds time) { std::this_thread::sleep_for(time); }

} // namespace

// Guards against requests that are cut without an answer when the process ends.
TEST_GROUP(PlannedStop)
{
    LatePermits permits;
    SilentTrials trials;
    std::unique_ptr<RelayHarness> relay;
    std::unique_ptr<boost::asio::steady_timer> timer;

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        relay->settings.minHedgeDelay = relay->settings.maxHedgeDelay = Milliseconds { 100000 };
        relay->settings.stopAcceptsFor = acceptsFor;
        relay->settings.stopWithin = stopsWithin;
        relay->addRoute("once", RequestKind::NonIdempotent, 1);
        relay->addRoute("again", RequestKind::Idempotent, 2);
        relay->addRoute("stream", RequestKind::EventStream, 3);
    }

    void teardown() override
    {
        timer.reset();
        relay.reset();
    }

    void ready()
    {
        relay->configure();
        relay->list();
    }

    static std::string request(const std::string& path, const std::string& body = "")
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 60000\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void after(Milliseconds time, std::function<void()> action)
    {
        timer = std::make_unique<boost::asio::steady_timer>(relay->daemon().ioContext());
        timer->expires_after(time);
        timer->async_wait([action = std::move(action)](boost::system::error_code error) {
            if (!error)
                action();
        });
    }

    // Stops the daemon, runs it to its end and destroys it.
    void stop()
    {
        relay->daemon().requestStop();
        relay->daemon().run();
        timer.reset();
        relay.reset();
    }

    // Sends a first request, whose answer lets the caller keep the connection.
    std::unique_ptr<RawConnection> keptConnection(ScriptedEndpoint & endpoint)
    {
        endpoint.onRequest([](ScriptedConnection& client, const std::string& text) {
            client.answer(200, signedHeadFor(text), "first answer");
        });
        ready();
        auto caller = std::make_unique<RawConnection>(relay->daemon().frontPort());
        caller->send(request("/once/1"));
        CHECK(relay->runUntil([&] { return caller->hasInput(); }));
        STRCMP_CONTAINS("200 ", caller->readUntil("first answer").c_str());
        caller->forgetReceived();
        return caller;
    }

    // A request that was held because endpoints crashed under it, and whose hold has ended.
    void endHold(const std::string& path)
    {
        auto& guard = relay->daemon().crashGuard();
        const auto digest = digestOf({ "POST", path, { { "Host", "h" } }, "" }, "");
        for (int i = 0; i < 3; ++i) {
            const auto name = std::to_string(i);
            const auto lostAt = relay->daemon().clock().now() - Milliseconds { 120000 - 1000 * i };
            guard.addReportedCrash({ { .digest = digest,
                                         .endpointId = "lost" + name,
                                         .address = "127.0.0.1:" + name,
                                         .weight = 1,
                                         .sentAt = 0,
                                         .lostAt = 100,
                                         .zone = "zone " + name },
                lostAt });
        }
        CHECK_TEXT(guard.trialFrom(digest) != Milliseconds { 0 }, "the request has not been held");
    }

    static void checkStatus(int expected, RawConnection& caller)
    {
        const auto answer = caller.readAll();
        STRCMP_CONTAINS(("HTTP/1.1 " + std::to_string(expected) + " ").c_str(), answer.c_str());
        STRCMP_CONTAINS(expected == 503 ? "not-run" : "unknown", answer.c_str());
        if (expected == 503)
            STRCMP_CONTAINS("Retry-After", answer.c_str());
    }

    void checkIsAnsweredAtEnd(const std::string& path, ScriptedEndpoint& endpoint, int status)
    {
        ready();
        RawConnection caller(relay->daemon().frontPort());
        caller.send(request(path));
        CHECK(relay->runUntil([&] { return !endpoint.requests().empty(); }));
        stop();
        checkStatus(status, caller);
    }
};

TEST(PlannedStop, ARequestThatWaitsForCapacityIsRefused)
{
    auto& endpoint = relay->addEndpoint("e1");
    endpoint.onRequest([](ScriptedConnection& client, const std::string& text) {
        client.answer(503, signedHeadFor(text) + turnedAway, "");
    });
    checkIsAnsweredAtEnd("/once/1", endpoint, 503);
}

TEST(PlannedStop, ARequestThatWaitsForTheEndOfABackOffIsRefused)
{
    auto& endpoint = relay->addEndpoint("e1");
    endpoint.onRequest([](ScriptedConnection& client, const std::string& text) {
        client.answer(503, signedHeadFor(text) + turnedAway + "Retry-After: 10\r\n", "");
    });
    checkIsAnsweredAtEnd("/once/1", endpoint, 503);
}

TEST(PlannedStop, ARequestThatWaitsForAPermitIsRefused)
{
    auto& endpoint = relay->addEndpoint("e1");
    endpoint.onRequest([](ScriptedConnection& client, const std::string& text) {
        client.answer(200, signedHeadFor(text) + "Server-Limit: 1\r\n", "ok");
    });
    ready();
    relay->daemon().setPermits(&permits);
    const auto first = relay->call("/once/1", {}, "r0");
    CHECK(relay->runUntil([&] { return first->isWhole; }));
    RawConnection caller(relay->daemon().frontPort());
    caller.send(request("/once/2"));
    CHECK(relay->runUntil([&] { return permits.asked > 0; }));
    permits.answerAll();
    LONGS_EQUAL(1, endpoint.requests().size());
    stop();
    checkStatus(503, caller);
}

TEST(PlannedStop, ARequestThatWaitsForTheQuarantineIsRefused)
{
    auto& endpoint = relay->addEndpoint("e1");
    ready();
    relay->daemon().crashGuard().setTrials(&trials);
    endHold("/once/1");
    RawConnection caller(relay->daemon().frontPort());
    caller.send(request("/once/1"));
    CHECK(relay->runUntil([&] { return trials.asked() > 0; }));
    relay->daemon().requestStop();
    relay->daemon().run();
    trials.grantAll();
    LONGS_EQUAL(0, endpoint.requests().size());
    relay.reset();
    checkStatus(503, caller);
}

TEST(PlannedStop, ARequestThatArrivesOnAKeptConnectionAtTheEndIsRefused)
{
    const auto caller = keptConnection(relay->addEndpoint("e1"));
    after(acceptsFor / 2, [&] {
        caller->send(request("/once/2"));
        standStill(acceptsFor);
    });
    stop();
    checkStatus(503, *caller);
}

TEST(PlannedStop, ARequestThatArrivesAsItsKeptConnectionIsClosedIsRefused)
{
    const auto caller = keptConnection(relay->addEndpoint("e1"));
    // Both timers are due when the event loop goes on, and so is the check that closes connections.
    boost::asio::steady_timer arrival(relay->daemon().ioContext(), acceptsFor / 2);
    arrival.async_wait([&](boost::system::error_code) { caller->send(request("/once/2")); });
    after(acceptsFor / 4, [] { standStill(2 * acceptsFor); });
    relay->daemon().requestStop();
    relay->daemon().run();
    timer.reset();
    relay.reset();
    checkStatus(503, *caller);
}

TEST(PlannedStop, AStreamThatWaitsForAnEngineIsRefused)
{
    relay->settings.waitForEndpoint = Milliseconds { 60000 };
    relay->addEndpoint("e1").refuseConnections();
    ready();
    RawConnection caller(relay->daemon().frontPort());
    caller.send(request("/stream/1"));
    after(acceptsFor, [this] { relay->daemon().requestStop(); });
    relay->daemon().run();
    timer.reset();
    relay.reset();
    checkStatus(503, caller);
}

TEST(PlannedStop, ARequestThatWaitsForTheConfigurationIsRefused)
{
    RawConnection caller(relay->daemon().frontPort());
    caller.send(request("/once/1"));
    after(acceptsFor, [this] { relay->daemon().requestStop(); });
    relay->daemon().run();
    timer.reset();
    relay.reset();
    checkStatus(503, caller);
}

TEST(PlannedStop, ABodyThatArrivesSlowlyAcrossTheStopIsRefused)
{
    auto& endpoint = relay->addEndpoint("e1");
    ready();
    const auto whole = request("/once/1", std::string(1000, 'x'));
    RawConnection caller(relay->daemon().frontPort());
    caller.send(whole.substr(0, whole.size() / 2));
    // Another request in progress keeps the process from ending before the rest arrives.
    RawConnection other(relay->daemon().frontPort());
    other.send(request("/again/1"));
    CHECK(relay->runUntil([&] { return !endpoint.requests().empty(); }));
    after(2 * acceptsFor, [&] { caller.send(whole.substr(whole.size() / 2)); });
    stop();
    checkStatus(503, caller);
    checkStatus(502, other);
}

TEST(PlannedStop, ARequestThatAnEndpointStillWorksOnIsAnsweredAsUnknown)
{
    checkIsAnsweredAtEnd("/once/1", relay->addEndpoint("e1"), 502);
}

TEST(PlannedStop, AnIdempotentRequestThatAnEndpointStillWorksOnIsAnsweredAsUnknown)
{
    checkIsAnsweredAtEnd("/again/1", relay->addEndpoint("e1"), 502);
}

TEST(PlannedStop, AStreamWithoutAnEventIsAnsweredAsUnknown)
{
    checkIsAnsweredAtEnd("/stream/1", relay->addEndpoint("e1"), 502);
}

// A request that the endpoint would still work on when the process ends.
TEST(PlannedStop, ARequestThatTakesLongerThanTheRestOfTheGraceIsNotPassedOn)
{
    relay->settings.stopWithin = Milliseconds { 120 };
    auto& endpoint = relay->addEndpoint("e1");
    ready();
    RawConnection caller(relay->daemon().frontPort());
    caller.send(request("/once/1"));
    relay->daemon().requestStop();
    relay->daemon().run();
    LONGS_EQUAL(0, endpoint.requests().size());
    relay.reset();
    checkStatus(503, caller);
}

TEST(PlannedStop, ARequestThatIsPassedOnInTimeGetsItsAnswer)
{
    auto& endpoint = relay->addEndpoint("e1");
    ready();
    RawConnection caller(relay->daemon().frontPort());
    caller.send(request("/once/1"));
    CHECK(relay->runUntil([&] { return !endpoint.requests().empty(); }));
    after(stopsWithin / 2, [&] { endpoint.connections().front()->answer(200, signedHead, "whole"); });
    stop();
    const auto answer = caller.readAll();
    STRCMP_CONTAINS("HTTP/1.1 200 ", answer.c_str());
    STRCMP_CONTAINS("whole", answer.c_str());
}

TEST(PlannedStop, AStreamThatEndsWithinTheGraceIsWhole)
{
    auto& endpoint = relay->addEndpoint("e1");
    endpoint.onRequest([](ScriptedConnection& client, const std::string& text) {
        // A question whether the engine is alive.
        if (text.find("X-Request-Id") == std::string::npos) {
            client.answer(200, "", "{}");
            return;
        }
        client.beginStream(signedHeadFor(text));
        client.sendEvent(1);
    });
    ready();
    RawConnection caller(relay->daemon().frontPort());
    caller.send(request("/stream/1"));
    CHECK(relay->runUntil([&] { return !endpoint.requests().empty(); }));
    after(stopsWithin / 4, [&] {
        endpoint.connections().front()->sendEvent(2);
        endpoint.connections().front()->endStream();
    });
    stop();
    const auto answer = caller.readAll();
    STRCMP_CONTAINS("data: e2", answer.c_str());
    STRCMP_CONTAINS("\r\n0\r\n\r\n", answer.c_str());
}
