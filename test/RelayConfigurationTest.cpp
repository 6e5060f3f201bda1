#include "relay/RelayConfiguration.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(RelayConfiguration)
{
    RelayConfigurationBuilder builder;

    void addRoute(const std::string& name, const std::string& host, const std::string& prefix)
    {
        Route route;
        route.name = name;
        route.host = host;
        route.pathPrefix = prefix;
        route.services = { { "s", 1 } };
        builder.addRoute(route);
    }

    static std::string routeNameFor(const RelayConfiguration& configuration, const char* host, const char* path)
    {
        const auto route = configuration.findRoute(host, path);
        return route ? route->name : "none";
    }
};

TEST(RelayConfiguration, FindsTheHostsRouteWithTheLongestPrefix)
{
    addRoute("short", "a.example", "/x/");
    addRoute("long", "a.example", "/x/y/");
    addRoute("other", "b.example", "/x/y/z/");
    const auto configuration = builder.version(3).build();
    STRCMP_EQUAL("short", routeNameFor(*configuration, "a.example", "/x/1").c_str());
    STRCMP_EQUAL("long", routeNameFor(*configuration, "a.example", "/x/y/z/1").c_str());
    STRCMP_EQUAL("long", routeNameFor(*configuration, "A.Example:80", "/x/y/").c_str());
    STRCMP_EQUAL("other", routeNameFor(*configuration, "b.example", "/x/y/z/1").c_str());
    LONGS_EQUAL(3, configuration->routeCount());
}

TEST(RelayConfiguration, FindsNoRouteForUnmatchedPathsAndHosts)
{
    addRoute("r", "a.example", "/x/");
    const auto configuration = builder.build();
    STRCMP_EQUAL("none", routeNameFor(*configuration, "a.example", "/x").c_str());
    STRCMP_EQUAL("none", routeNameFor(*configuration, "a.example", "/xy/1").c_str());
    STRCMP_EQUAL("none", routeNameFor(*configuration, "b.example", "/x/1").c_str());
    STRCMP_EQUAL("none", routeNameFor(*configuration, "", "").c_str());
}

TEST(RelayConfiguration, ARouteForTheWholeHostMatchesEveryPath)
{
    addRoute("all", "a.example", "/");
    STRCMP_EQUAL("all", routeNameFor(*builder.build(), "a.example", "/x/y").c_str());
}

TEST(RelayConfiguration, FindsTheOrganisationOfAKey)
{
    const auto configuration = builder.addKey("k1", "acme").addKey("k2", "acme").build();
    CHECK(configuration->hasOrganisations());
    STRCMP_EQUAL("acme", configuration->findOrganisation("k2")->c_str());
    CHECK(!configuration->findOrganisation(""));
    CHECK(!configuration->findOrganisation("k3"));
}

TEST(RelayConfiguration, TheBuilderIsEmptyAfterBuild)
{
    addRoute("r", "a.example", "/x/");
    builder.build();
    LONGS_EQUAL(0, builder.build()->routeCount());
}
