// Changes of the configuration and of the settings while requests are open.
#include "RelayHarness.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

const std::string turnedAway = "X-Not-Executed: 1\r\n";

} // namespace

// Guards against requests that end without an answer when a configuration or settings come into force.
TEST_GROUP(OpenRequestChanges)
{
    RelayHarness relay;
    bool turnsAway = false;

    void setup() override
    {
        relay.settings.minHedgeDelay = relay.settings.maxHedgeDelay = Milliseconds { 100000 };
        relay.addRoute("once", RequestKind::NonIdempotent, 1);
        relay.addRoute("again", RequestKind::Idempotent, 2);
    }

    ScriptedEndpoint& configureWithEndpoint()
    {
        auto& endpoint = relay.addEndpoint("e1");
        relay.configure();
        relay.list();
        return endpoint;
    }

    // The endpoint turns requests away while `turnsAway` is set and answers others.
    void answerUnlessTurnedAway(ScriptedEndpoint & endpoint)
    {
        endpoint.onRequest([this](ScriptedConnection& client, const std::string& text) {
            if (turnsAway)
                client.answer(503, signedHeadFor(text) + turnedAway, "");
            else
                client.answer(200, signedHeadFor(text), "whole");
        });
    }

    // Applies a configuration in which neither the routes nor the service exist.
    void removeAllRoutes() { apply({}); }

    // Applies a configuration in which the routes lead to another service, which has no endpoint.
    void moveAllRoutes() { apply({ "once", "again" }); }

    void apply(const std::vector<std::string>& prefixes)
    {
        RelayConfigurationBuilder builder;
        builder.addService({ "t", 0, true, false, 5 });
        for (const auto& prefix : prefixes) {
            Route route;
            route.name = prefix;
            route.host = "h";
            route.pathPrefix = "/" + prefix + "/";
            route.kind = RequestKind::NonIdempotent;
            route.isPublic = true;
            route.maxAttempts = 1;
            route.services = { { "t", 1 } };
            builder.addRoute(std::move(route));
        }
        CHECK(relay.daemon().applyConfiguration(builder.version(1000).build()));
    }

    void checkIsAnswered(const std::shared_ptr<TestCaller>& caller)
    {
        CHECK_TEXT(relay.runUntil([&] { return caller->isWhole || caller->isBroken; }), "the request is still open");
        CHECK_TEXT(caller->isWhole, "the request ended without an answer");
        LONGS_EQUAL(200, caller->head.status);
        STRCMP_EQUAL("whole", caller->body.c_str());
    }

    template <typename Change> void checkIsAnsweredAfterChangeWhileItRuns(const std::string& path, Change change)
    {
        auto& endpoint = configureWithEndpoint();
        const auto caller = relay.call(path);
        CHECK(relay.runUntil([&] { return !endpoint.requests().empty(); }));
        change();
        endpoint.connections().front()->answer(200, signedHead, "whole");
        checkIsAnswered(caller);
    }

    template <typename Change> void checkIsAnsweredAfterChangeWhileItWaits(const std::string& path, Change change)
    {
        auto& endpoint = configureWithEndpoint();
        answerUnlessTurnedAway(endpoint);
        turnsAway = true;
        const auto caller = relay.call(path);
        CHECK(relay.runUntil([&] { return relay.daemon().waitingCount() > 0; }));
        change();
        turnsAway = false;
        checkIsAnswered(caller);
    }
};

TEST(OpenRequestChanges, ARequestRunsOnWhenItsRouteIsRemoved)
{
    checkIsAnsweredAfterChangeWhileItRuns("/once/1", [this] { removeAllRoutes(); });
}

TEST(OpenRequestChanges, ARequestRunsOnWhenItsRouteIsMoved)
{
    checkIsAnsweredAfterChangeWhileItRuns("/again/1", [this] { moveAllRoutes(); });
}

TEST(OpenRequestChanges, ARequestRunsOnWhenItsRouteIsRemovedAndItsEndpointIsListedAgain)
{
    checkIsAnsweredAfterChangeWhileItRuns("/once/1", [this] {
        removeAllRoutes();
        relay.list();
    });
}

TEST(OpenRequestChanges, ARequestThatWaitsForAPlaceIsServedWhenItsRouteIsRemoved)
{
    checkIsAnsweredAfterChangeWhileItWaits("/once/1", [this] { removeAllRoutes(); });
}

TEST(OpenRequestChanges, ARequestThatWaitsForAPlaceIsServedWhenItsRouteIsMoved)
{
    checkIsAnsweredAfterChangeWhileItWaits("/again/1", [this] { moveAllRoutes(); });
}

TEST(OpenRequestChanges, ARequestThatWaitsForARetryIsServedWhenItsRouteIsRemoved)
{
    relay.settings.retrySlackShare = 1;
    auto& first = relay.addEndpoint("e1");
    auto& second = relay.addEndpoint("e2");
    answerUnlessTurnedAway(second);
    relay.configure();
    relay.list();
    relay.daemon().directory().remove("e2", relay.daemon().clock().now());
    const auto caller = relay.call("/again/1");
    CHECK(relay.runUntil([&] { return !first.requests().empty(); }));
    removeAllRoutes();
    relay.daemon().directory().upsert(
        { "e3", "s", { "127.0.0.1", second.port() }, "a", 4, false, "v1" }, relay.daemon().clock().now());
    first.crash();
    checkIsAnswered(caller);
}

TEST(OpenRequestChanges, ARequestRunsOnWhenSettingsChange)
{
    checkIsAnsweredAfterChangeWhileItRuns("/once/1", [this] { relay.daemon().changeSettings(relay.settings); });
}

// The least memory for requests and answers that the settings can leave.
TEST(OpenRequestChanges, ARequestThatWaitsForAPlaceIsServedWhenSettingsLeaveLessMemory)
{
    checkIsAnsweredAfterChangeWhileItWaits("/once/1", [this] {
        auto settings = relay.settings;
        settings.maxRequestMemory = 0;
        settings.stopWithin = Milliseconds { 1000 };
        relay.daemon().changeSettings(settings);
    });
}
