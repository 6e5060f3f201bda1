#include "quarantine/EndpointLosses.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(EndpointLosses)
{
    EndpointLosses losses;

    static EndpointLoss loss(const std::string& id, const std::string& zone, int at)
    {
        return { id, "s", zone, Milliseconds { at } };
    }

    // Six engines in each of four zones.
    static constexpr OtherEndpoints manyOthers { 5, 23 };
};

TEST(EndpointLosses, AZonesEndpointsThatGoTogetherExplainEachOther)
{
    losses.note(loss("a1", "a", 1000));
    losses.note(loss("a2", "a", 1300));
    losses.note(loss("a3", "a", 1450));
    CHECK(losses.wentWithOthers(loss("a1", "a", 1000), manyOthers, {}));
    CHECK(losses.wentWithOthers(loss("a3", "a", 1450), manyOthers, {}));
}

TEST(EndpointLosses, OneOtherMayGoByChance)
{
    losses.note(loss("a1", "a", 1000));
    losses.note(loss("a2", "a", 1100));
    losses.note(loss("b1", "b", 1100));
    CHECK_FALSE(losses.wentWithOthers(loss("a1", "a", 1000), manyOthers, {}));
}

TEST(EndpointLosses, TheOnlyOtherOfAZoneIsAllOfIt)
{
    losses.note(loss("a1", "a", 1000));
    losses.note(loss("a2", "a", 1100));
    CHECK(losses.wentWithOthers(loss("a1", "a", 1000), { 1, 23 }, {}));
}

TEST(EndpointLosses, HalfOfAServiceIsMoreThanChance)
{
    losses.note(loss("a1", "a", 1000));
    losses.note(loss("b1", "b", 1100));
    losses.note(loss("c1", "c", 1100));
    CHECK(losses.wentWithOthers(loss("a1", "a", 1000), { 0, 3 }, {}));
    CHECK_FALSE(losses.wentWithOthers(loss("a1", "a", 1000), { 0, 5 }, {}));
}

TEST(EndpointLosses, WhatOneRequestLosesInARowIsNoZone)
{
    losses.note(loss("a1", "a", 1000));
    losses.note(loss("a2", "a", 1060));
    losses.note(loss("a3", "a", 1120));
    CHECK_FALSE(losses.wentWithOthers(loss("a1", "a", 1000), manyOthers, { "a1", "a2", "a3" }));
}

TEST(EndpointLosses, OthersOfAnotherMomentOrServiceExplainNothing)
{
    losses.note(loss("a1", "a", 1000));
    losses.note({ "t1", "t", "a", Milliseconds { 1000 } });
    losses.note({ "t2", "t", "a", Milliseconds { 1000 } });
    losses.note(loss("a2", "a", 1501));
    losses.note(loss("a3", "a", 1501));
    CHECK_FALSE(losses.wentWithOthers(loss("a1", "a", 1000), manyOthers, {}));
}
