#include "relay/EndpointDirectory.h"
#include "relay/Placement.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(EndpointDirectory)
{
    boost::asio::io_context ioContext;
    RelaySettings settings;
    std::unique_ptr<EndpointDirectory> directory;
    std::unique_ptr<Placement> placement;
    Milliseconds now { 100000 };

    void setup() override
    {
        settings.availabilityZone = "a";
        directory = std::make_unique<EndpointDirectory>(ioContext, settings);
        placement = std::make_unique<Placement>(*directory, settings, 1);
    }

    EndpointEntry entry(const std::string& id, std::int64_t port, const std::string& zone = "a")
    {
        return { id, "s", { "127.0.0.1", port }, zone, 4, false };
    }

    void drain(EndpointEntry leaving)
    {
        leaving.isDraining = true;
        directory->upsert(std::move(leaving), now);
    }

    std::string chosen(PlacementRequest request = {})
    {
        request.service = "s";
        const auto endpoint = placement->choose(request, now);
        return endpoint ? endpoint->entry().id : "none";
    }
};

TEST(EndpointDirectory, GivesNoWorkToADrainingEndpointWhileAnotherIsLeft)
{
    directory->replaceAll({ entry("e1", 1), entry("e2", 2) }, now);
    drain(entry("e1", 1));
    for (int i = 0; i < 20; ++i)
        STRCMP_EQUAL("e2", chosen().c_str());
}

// Found by veilgate trouble-1 with seed 12 (a call that may run again had one endpoint left that it had not tried) and
// by hunts on veilgate-grown (late news and the time as a last resort added up): an endpoint that says that it leaves
// is no last resort at all.
TEST(EndpointDirectory, GivesNoWorkToADrainingEndpointEvenWhenItIsTheLastOne)
{
    directory->replaceAll({ entry("e1", 1) }, now);
    drain(entry("e1", 1));
    STRCMP_EQUAL("none", chosen().c_str());
}

TEST(EndpointDirectory, AnEndpointWhoseEntryHasGoneIsALastResortForAShortWhile)
{
    directory->replaceAll({ entry("e1", 1) }, now);
    directory->remove("e1", now);
    now += settings.leavingEndpointGrace;
    STRCMP_EQUAL("e1", chosen().c_str());
    now += Milliseconds { 1 };
    STRCMP_EQUAL("none", chosen().c_str());
}

TEST(EndpointDirectory, ADrainingEndpointGetsNoWorkAfterItsEntryHasGoneEither)
{
    directory->replaceAll({ entry("e1", 1) }, now);
    drain(entry("e1", 1));
    directory->remove("e1", now);
    STRCMP_EQUAL("none", chosen().c_str());
}

TEST(EndpointDirectory, TakesAnEndpointBackWhoseEntryHadLapsed)
{
    directory->replaceAll({ entry("e1", 1) }, now);
    directory->remove("e1", now);
    now += settings.leavingEndpointGrace + Milliseconds { 1 };
    STRCMP_EQUAL("none", chosen().c_str());
    directory->upsert(entry("e1", 1), now);
    STRCMP_EQUAL("e1", chosen().c_str());
}

TEST(EndpointDirectory, TakesEndpointsThatAreMissingFromAWholeListForGone)
{
    directory->replaceAll({ entry("e1", 1), entry("e2", 2) }, now);
    directory->replaceAll({ entry("e2", 2) }, now);
    STRCMP_EQUAL("e2", chosen().c_str());
    now += settings.leavingEndpointGrace + Milliseconds { 1 };
    directory->dropExpired(now);
    LONGS_EQUAL(1, directory->size());
}

TEST(EndpointDirectory, AnEndpointThatHasMovedIsNotEndedByANewOneAtItsOldAddress)
{
    directory->replaceAll({ entry("e1", 1) }, now);
    directory->upsert(entry("e1", 2), now);
    directory->upsert(entry("e2", 1), now);
    CHECK_TEXT(directory->find("e2") != nullptr, "the new endpoint should be known");
    LONGS_EQUAL_TEXT(2, directory->size(), "e1 lives on at its new address");
    directory->upsert(entry("e3", 2), now);
    CHECK_TEXT(directory->find("e1") == nullptr, "e1 has been replaced at the address that it had last");
}

TEST(EndpointDirectory, ANewIncarnationAtAnAddressEndsTheOneBeforeIt)
{
    directory->replaceAll({ entry("old", 1), entry("other", 2) }, now);
    directory->upsert(entry("new", 1), now);
    LONGS_EQUAL(2, directory->size());
}

TEST(EndpointDirectory, FindsWhoeverIsListedAtAnAddress)
{
    const SocketAddress address { "127.0.0.1", 1 };
    directory->upsert(entry("e1", 1), now);
    directory->upsert(entry("e2", 1), now);
    STRCMP_EQUAL("e2", directory->findAt("s", address)->entry().id.c_str());
    CHECK_TEXT(!directory->findAt("other", address), "an address may be given to an endpoint of another service");
    directory->remove("e2", now);
    CHECK_FALSE(directory->findAt("s", address));
}

TEST(EndpointDirectory, AvoidsAZoneAfterSeveralOfItsEndpointsFailed)
{
    directory->replaceAll({ entry("e1", 1), entry("e2", 2), entry("e3", 3), entry("far", 4, "b") }, now);
    const auto endpoints = directory->endpointsOf("s");
    directory->noteFailure(*endpoints[0], now);
    directory->noteFailure(*endpoints[0], now);
    CHECK_FALSE_TEXT(directory->isZoneAvoided("a", now), "one endpoint that fails twice is no failing zone");
    directory->noteFailure(*endpoints[1], now);
    CHECK(directory->isZoneAvoided("a", now));
    STRCMP_EQUAL("far", chosen().c_str());
    now += settings.avoidZone;
    CHECK_FALSE(directory->isZoneAvoided("a", now));
}

TEST(EndpointDirectory, FailuresFarApartDoNotMakeAZoneFail)
{
    directory->replaceAll({ entry("e1", 1), entry("e2", 2) }, now);
    const auto endpoints = directory->endpointsOf("s");
    directory->noteFailure(*endpoints[0], now);
    now += settings.zoneFailureWindow + Milliseconds { 1 };
    directory->noteFailure(*endpoints[1], now);
    CHECK_FALSE(directory->isZoneAvoided("a", now));
}

// Found by savinja-knot quiet-1: runs were moved to engines of a zone that had just failed, whose entries were still
// listed, and had to begin anew.
TEST(EndpointDirectory, DoubtsEndpointsOfAZoneThatFailedUntilTheyShowLife)
{
    directory->replaceAll({ entry("e1", 1), entry("e2", 2), entry("e3", 3), entry("e4", 4) }, now);
    now += Milliseconds { 10 };
    const auto endpoints = directory->endpointsOf("s");
    directory->noteFailure(*endpoints[0], now);
    directory->noteFailure(*endpoints[1], now);
    now += settings.avoidZone + Milliseconds { 1 };
    endpoints[3]->noteAlive(now);
    directory->upsert(entry("e5", 5), now);
    CHECK(directory->isDoubtful(*endpoints[2], now));
    CHECK_FALSE_TEXT(directory->isDoubtful(*endpoints[3], now), "one that has answered since lives");
    CHECK_FALSE_TEXT(directory->isDoubtful(*directory->find("e5"), now), "one that was listed since lives");
    now += settings.suspectAfterZoneFailure;
    CHECK_FALSE(directory->isDoubtful(*endpoints[2], now));
}

// A zone of 64 engines that fails and comes back would be 128 lines and more on each VM, told one by one.
TEST(EndpointDirectory, AChangeOfTheListIsToldAsOne)
{
    std::vector<EndpointEntry> zone;
    std::vector<EndpointChange> loss;
    std::vector<EndpointChange> returned;
    for (int i = 0; i < 64; ++i) {
        zone.push_back(entry("old" + std::to_string(i), i + 1));
        loss.push_back({ zone.back(), true });
        returned.push_back({ entry("new" + std::to_string(i), i + 1), false });
    }
    LONGS_EQUAL(64, directory->replaceAll(zone, now).added);
    LONGS_EQUAL(64, directory->change(loss, now).removed);
    const auto counts = directory->change(returned, now);
    LONGS_EQUAL(64, counts.added);
    LONGS_EQUAL(64, counts.replaced);
    LONGS_EQUAL_TEXT(0, counts.removed, "what a new one has replaced counts once");
    directory->remove("new0", now);
    LONGS_EQUAL_TEXT(1, directory->change({}, now).removed, "what an answer has shown to be gone comes with the next");
}

// Found by pwani-pay trouble-1 with seed 301: an engine that came back after a crash and was taken away 0.4 s later was
// listed and removed within one answer of the list's source. It stayed in use, and got a request 3.3 s after it had
// left.
TEST(EndpointDirectory, AnEndpointThatComesAndGoesWithinOneChangeIsGone)
{
    directory->replaceAll({ entry("e1", 1) }, now);
    directory->change({ { entry("new", 2), false }, { { .id = "new" }, true } }, now);
    CHECK(directory->find("new")->isRemoved());
    now += settings.leavingEndpointGrace + Milliseconds { 1 };
    for (int i = 0; i < 20; ++i)
        STRCMP_EQUAL("e1", chosen().c_str());
}

TEST(EndpointDirectory, ChangesOfOneEndpointHoldInTheirOrder)
{
    directory->replaceAll({ entry("e1", 1), entry("e2", 2) }, now);
    directory->change({ { entry("e1", 1), false }, { entry("e1", 1), true } }, now);
    CHECK_TEXT(directory->find("e1")->isRemoved(), "it was listed once more and then removed");
    directory->change({ { entry("e2", 2), true }, { entry("e2", 2), false } }, now);
    CHECK_FALSE_TEXT(directory->find("e2")->isRemoved(), "it was removed and is listed again");
}

// An endpoint may start again under the id that it had; it then knows nothing of what it ran before.
TEST(EndpointDirectory, ALaterStartUnderTheSameIdIsAnotherEndpoint)
{
    auto first = entry("e1", 1);
    first.startTime = 100;
    directory->upsert(first, now);
    const auto earlier = directory->find("e1");
    earlier->avoidUntil(now + Milliseconds { 5000 });
    auto second = first;
    second.startTime = 200;
    directory->upsert(second, now);
    const auto later = directory->find("e1");
    CHECK_TEXT(later != earlier, "what was believed of the earlier start is not believed of this one");
    CHECK(earlier->isRemoved());
    CHECK_FALSE(later->isAvoided(now));
    CHECK(directory->findAt("s", { "127.0.0.1", 1 }) == later);
    LONGS_EQUAL(1, directory->size());
    STRCMP_EQUAL("e1", chosen().c_str());
}

TEST(EndpointDirectory, NewsOfAnEarlierStartThatComesLateChangesNothing)
{
    auto second = entry("e1", 1);
    second.startTime = 200;
    directory->upsert(second, now);
    const auto present = directory->find("e1");
    auto first = entry("e1", 9);
    first.startTime = 100;
    first.isDraining = true;
    directory->upsert(first, now);
    CHECK(directory->find("e1") == present);
    CHECK_FALSE(present->isLeaving());
    LONGS_EQUAL(1, present->entry().address.port);
}

TEST(EndpointDirectory, AnEntryThatDoesNotSayWhenItStartedIsOfTheSameStart)
{
    auto first = entry("e1", 1);
    first.startTime = 100;
    directory->upsert(first, now);
    const auto present = directory->find("e1");
    directory->upsert(entry("e1", 1), now);
    CHECK(directory->find("e1") == present);
    LONGS_EQUAL_TEXT(100, present->entry().startTime, "it is still known which start that is");
}

// Another writer's entry names a service of its own and an endpoint's address.
TEST(EndpointDirectory, AnEntryOfAServiceThatIsNotNamedTakesNoEndpointsAddress)
{
    directory->setServices([](const std::string& service) { return service == "s"; });
    directory->upsert(entry("e1", 1), now);
    auto foreign = entry("x1", 1);
    foreign.service = "unheard-of";
    directory->upsert(foreign, now);
    CHECK_FALSE(directory->find("e1")->isRemoved());
    CHECK(directory->findAt("s", { "127.0.0.1", 1 }) == directory->find("e1"));
    STRCMP_EQUAL("e1", chosen().c_str());
}
