#include "relay/EndpointDirectory.h"
#include "health/StallDetector.h"
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
    std::uint64_t version { 0 };

    void setup() override
    {
        settings.availabilityZone = "a";
        directory = std::make_unique<EndpointDirectory>(ioContext, settings);
        placement = std::make_unique<Placement>(*directory, settings, 1);
    }

    EndpointEntry entry(const std::string& id, std::int64_t port, const std::string& zone = "a")
    {
        return { .id = id,
            .service = "s",
            .address = { "127.0.0.1", port },
            .availabilityZone = zone,
            .slots = 4,
            .writtenAt = { 1, ++version } };
    }

    void drain(EndpointEntry draining)
    {
        draining.isDraining = true;
        directory->upsert(std::move(draining), now);
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

// An endpoint that announces that it shuts down must not be used even as a last resort. A repeatable call with only
// this endpoint left untried was sent there, and a late update added to the grace time as a last resort let requests
// reach endpoints after their shutdown.
TEST(EndpointDirectory, GivesNoWorkToADrainingEndpointEvenWhenItIsTheLastOne)
{
    directory->replaceAll({ entry("e1", 1) }, now);
    drain(entry("e1", 1));
    STRCMP_EQUAL("none", chosen().c_str());
}

TEST(EndpointDirectory, ARemovedEndpointIsALastResortDuringTheGraceTime)
{
    directory->replaceAll({ entry("e1", 1) }, now);
    directory->remove("e1", now);
    now += settings.removedEndpointGrace;
    STRCMP_EQUAL("e1", chosen().c_str());
    now += Milliseconds { 1 };
    STRCMP_EQUAL("none", chosen().c_str());
}

TEST(EndpointDirectory, GivesNoWorkToADrainingEndpointAfterItsRemoval)
{
    directory->replaceAll({ entry("e1", 1) }, now);
    drain(entry("e1", 1));
    directory->remove("e1", now);
    STRCMP_EQUAL("none", chosen().c_str());
}

TEST(EndpointDirectory, ListsAnEndpointAgainAfterItsEntryExpired)
{
    directory->replaceAll({ entry("e1", 1) }, now);
    directory->remove("e1", now);
    now += settings.removedEndpointGrace + Milliseconds { 1 };
    STRCMP_EQUAL("none", chosen().c_str());
    directory->upsert(entry("e1", 1), now);
    STRCMP_EQUAL("e1", chosen().c_str());
}

TEST(EndpointDirectory, RemovesEndpointsThatAFullListLacks)
{
    directory->replaceAll({ entry("e1", 1), entry("e2", 2) }, now);
    directory->replaceAll({ entry("e2", 2) }, now);
    STRCMP_EQUAL("e2", chosen().c_str());
    now += settings.removedEndpointGrace + Milliseconds { 1 };
    directory->dropExpired(now);
    LONGS_EQUAL(1, directory->size());
}

TEST(EndpointDirectory, AMovedEndpointIsNotReplacedAtItsOldAddress)
{
    directory->replaceAll({ entry("e1", 1) }, now);
    directory->upsert(entry("e1", 2), now);
    directory->upsert(entry("e2", 1), now);
    CHECK_TEXT(directory->find("e2") != nullptr, "the new endpoint should be known");
    LONGS_EQUAL_TEXT(2, directory->size(), "e1 must remain at its new address");
    directory->upsert(entry("e3", 2), now);
    CHECK_TEXT(directory->find("e1") == nullptr, "e1 must be replaced at its latest address");
}

TEST(EndpointDirectory, ANewIncarnationAtAnAddressReplacesThePreviousOne)
{
    directory->replaceAll({ entry("old", 1), entry("other", 2) }, now);
    directory->upsert(entry("new", 1), now);
    LONGS_EQUAL(2, directory->size());
}

TEST(EndpointDirectory, FindsTheEndpointListedAtAnAddress)
{
    const SocketAddress address { "127.0.0.1", 1 };
    directory->upsert(entry("e1", 1), now);
    directory->upsert(entry("e2", 1), now);
    STRCMP_EQUAL("e2", directory->findAt("s", address)->entry().id.c_str());
    CHECK_TEXT(!directory->findAt("other", address), "an endpoint of another service must not be found at the address");
    directory->remove("e2", now);
    STRCMP_EQUAL_TEXT("e1", directory->findAt("s", address)->entry().id.c_str(), "e1 is still listed");
    directory->remove("e1", now);
    CHECK_FALSE(directory->findAt("s", address));
}

TEST(EndpointDirectory, AvoidsAZoneAfterSeveralOfItsEndpointsFailed)
{
    directory->replaceAll({ entry("e1", 1), entry("e2", 2), entry("e3", 3), entry("far", 4, "b") }, now);
    const auto endpoints = directory->endpointsOf("s");
    directory->noteFailure(*endpoints[0], now);
    directory->noteFailure(*endpoints[0], now);
    CHECK_FALSE_TEXT(
        directory->isZoneAvoided("s", "a", now), "two failures of one endpoint must not make its zone a failing one");
    directory->noteFailure(*endpoints[1], now);
    CHECK(directory->isZoneAvoided("s", "a", now));
    STRCMP_EQUAL("far", chosen().c_str());
    now += settings.avoidZone;
    CHECK_FALSE(directory->isZoneAvoided("s", "a", now));
}

TEST(EndpointDirectory, FailuresFarApartDoNotMakeAZoneFail)
{
    directory->replaceAll({ entry("e1", 1), entry("e2", 2) }, now);
    const auto endpoints = directory->endpointsOf("s");
    directory->noteFailure(*endpoints[0], now);
    now += settings.zoneFailureWindow + Milliseconds { 1 };
    directory->noteFailure(*endpoints[1], now);
    CHECK_FALSE(directory->isZoneAvoided("s", "a", now));
}

// Runs were moved to engines of a zone that had just failed, whose entries were still listed, and had to start over.
TEST(EndpointDirectory, SuspectsEndpointsOfAFailedZoneUntilTheyAnswer)
{
    directory->replaceAll({ entry("e1", 1), entry("e2", 2), entry("e3", 3), entry("e4", 4) }, now);
    now += Milliseconds { 10 };
    const auto endpoints = directory->endpointsOf("s");
    directory->noteFailure(*endpoints[0], now);
    directory->noteFailure(*endpoints[1], now);
    now += settings.avoidZone + Milliseconds { 1 };
    endpoints[3]->noteAlive(now);
    directory->upsert(entry("e5", 5), now);
    CHECK(directory->isSuspected(*endpoints[2], now));
    CHECK_FALSE_TEXT(
        directory->isSuspected(*endpoints[3], now), "an endpoint that has answered since the failure is alive");
    CHECK_FALSE_TEXT(directory->isSuspected(*directory->find("e5"), now),
        "an endpoint that was first listed after the failure is alive");
    now += settings.suspectAfterZoneFailure;
    CHECK_FALSE(directory->isSuspected(*endpoints[2], now));
}

// Guards against prompts that are sent to engines by ids of before their restart while the store is unreachable: each
// is rejected, which costs a retry.
TEST(EndpointDirectory, SuspectsEndpointsOfAFailedZoneUntilTheListIsNewerThanTheirRestart)
{
    directory->replaceAll({ entry("e1", 1), entry("e2", 2), entry("e3", 3) }, now);
    directory->listConfirmed(now);
    now += Milliseconds { 10 };
    const auto endpoints = directory->endpointsOf("s");
    directory->noteFailure(*endpoints[0], now);
    directory->noteFailure(*endpoints[1], now);
    const auto listedAgainBy = now + settings.suspectAfterZoneFailure;
    now = listedAgainBy + Milliseconds { 1000 };
    CHECK(directory->isSuspected(*endpoints[2], now));
    endpoints[1]->noteAlive(now);
    CHECK_FALSE(directory->isSuspected(*endpoints[1], now));
    directory->listConfirmed(listedAgainBy);
    CHECK_FALSE(directory->isSuspected(*endpoints[2], now));
}

// Guards against copies that are given up although their holders answer.
TEST(EndpointDirectory, WhatAnEndpointHoldsIsNotLostIfItHasAnsweredSinceItsZoneFailed)
{
    directory->replaceAll({ entry("e1", 1), entry("e2", 2), entry("e3", 3), entry("e4", 4, "b") }, now);
    const auto copiedAt = now += Milliseconds { 10 };
    const auto endpoints = directory->endpointsOf("s");
    now += Milliseconds { 300 };
    directory->noteFailure(*endpoints[0], now);
    directory->noteFailure(*endpoints[1], now);
    CHECK(directory->applyZoneFailure({ "s", "a", now, now, 3 }, now));
    now += Milliseconds { 500 };
    endpoints[2]->noteAlive(now);
    CHECK_TEXT(directory->isLostWithZone(*endpoints[2], copiedAt), "a later incarnation answers probes as well");
    endpoints[2]->confirmAlive(now);
    CHECK_FALSE(directory->isLostWithZone(*endpoints[2], copiedAt));
    CHECK(directory->isLostWithZone(*endpoints[1], copiedAt));
}

// Guards against a zone that is avoided, and engines that are suspected, after its silent engines speak again.
TEST(EndpointDirectory, TheFailureOfAZoneEndsWhenHalfOfItsFailedEndpointsAnswer)
{
    directory->replaceAll({ entry("e1", 1), entry("e2", 2), entry("e3", 3), entry("e4", 4, "b") }, now);
    const auto since = now += Milliseconds { 300 };
    const auto endpoints = directory->endpointsOf("s");
    for (std::size_t i = 0; i < 3; ++i)
        directory->noteSilence(*endpoints[i], ++now);
    CHECK(directory->isZoneAvoided("s", "a", now));
    now += Milliseconds { 200 };
    endpoints[0]->confirmAlive(now);
    CHECK_TEXT(directory->isZoneAvoided("s", "a", now), "a few engines of a failed zone remain");
    endpoints[1]->confirmAlive(now);
    CHECK_FALSE(directory->isZoneAvoided("s", "a", now));
    CHECK_FALSE(directory->hasZoneFailedSince("s", "a", since));
    CHECK_FALSE(directory->isSuspected(*endpoints[2], now));
}

// Guards against all zones being avoided when all engines pause at once.
TEST(EndpointDirectory, SilenceInMostZonesAtOnceIsNotTheFailureOfEach)
{
    directory->replaceAll({ entry("a1", 1), entry("a2", 2), entry("b1", 3, "b"), entry("b2", 4, "b"),
                              entry("c1", 5, "c"), entry("c2", 6, "c") },
        now);
    for (const auto* const id : { "a1", "b1", "a2", "b2", "c1", "c2" })
        directory->noteSilence(*directory->find(id), now += Milliseconds { 10 });
    for (const auto* const zone : { "a", "b", "c" })
        CHECK_FALSE_TEXT(directory->isZoneAvoided("s", zone, now), zone);
    for (const auto* const id : { "a1", "b1", "a2" })
        directory->noteFailure(*directory->find(id), now += Milliseconds { 500 }, FailureEvidence::Failed);
    CHECK_FALSE(directory->isZoneAvoided("s", "a", now));
    directory->noteFailure(*directory->find("a1"), now, FailureEvidence::Failed);
    CHECK_TEXT(directory->isZoneAvoided("s", "a", now), "engines that refuse connections have failed");
}

// Guards against a frozen VM that, when it wakes up, takes its own pause for the failure of zones.
TEST(EndpointDirectory, AVmThatStoodStillConcludesNothingFromTheSilenceThatItFinds)
{
    StallDetector stalls;
    directory->setStalls(stalls);
    directory->replaceAll({ entry("a1", 1), entry("a2", 2), entry("b1", 3, "b") }, now);
    const auto noteSilence = [this] {
        for (const auto* const id : { "a1", "a2" })
            directory->noteSilence(*directory->find(id), now);
    };
    stalls.noteTick(now);
    now += Milliseconds { 1200 };
    noteSilence();
    stalls.noteTick(now);
    noteSilence();
    CHECK_FALSE(directory->isZoneAvoided("s", "a", now));
    for (int i = 0; i < 4; ++i)
        stalls.noteTick(now += StallDetector::interval);
    noteSilence();
    CHECK(directory->isZoneAvoided("s", "a", now));
}

// With one log line per endpoint, a zone of 64 engines that fails and returns would write at least 128 lines on each
// VM.
TEST(EndpointDirectory, CountsAChangeOfTheListAsAWhole)
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
    LONGS_EQUAL_TEXT(0, counts.removed, "a replaced endpoint must not count as removed as well");
    directory->remove("new0", now);
    LONGS_EQUAL_TEXT(
        1, directory->change({}, now).removed, "a removal after an answer must count with the next change");
}

// An engine that returned after a crash and was withdrawn 0.4 s later was listed and removed within one answer of the
// store. It stayed in use and received a request 3.3 s after its shutdown.
TEST(EndpointDirectory, AnEndpointListedAndRemovedInOneChangeIsRemoved)
{
    directory->replaceAll({ entry("e1", 1) }, now);
    directory->change({ { entry("new", 2), false }, { { .id = "new" }, true } }, now);
    CHECK(directory->find("new")->isRemoved());
    now += settings.removedEndpointGrace + Milliseconds { 1 };
    for (int i = 0; i < 20; ++i)
        STRCMP_EQUAL("e1", chosen().c_str());
}

TEST(EndpointDirectory, AppliesChangesOfOneEndpointInOrder)
{
    directory->replaceAll({ entry("e1", 1), entry("e2", 2) }, now);
    directory->change({ { entry("e1", 1), false }, { entry("e1", 1), true } }, now);
    CHECK_TEXT(directory->find("e1")->isRemoved(), "e1 was listed again and then removed");
    directory->change({ { entry("e2", 2), true }, { entry("e2", 2), false } }, now);
    CHECK_FALSE_TEXT(directory->find("e2")->isRemoved(), "e2 was removed and then listed again");
}

// An endpoint may restart under the same id; it has then lost all state of its earlier runs.
TEST(EndpointDirectory, ALaterIncarnationWithTheSameIdIsANewEndpoint)
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
    CHECK_TEXT(later != earlier, "the later incarnation must not inherit the state of the earlier one");
    CHECK(earlier->isRemoved());
    CHECK_FALSE(later->isAvoided(now));
    CHECK(directory->findAt("s", { "127.0.0.1", 1 }) == later);
    LONGS_EQUAL(1, directory->size());
    STRCMP_EQUAL("e1", chosen().c_str());
}

TEST(EndpointDirectory, IgnoresALateEntryOfAnEarlierIncarnation)
{
    auto first = entry("e1", 9);
    first.startTime = 100;
    first.isDraining = true;
    auto second = entry("e1", 1);
    second.startTime = 200;
    directory->upsert(second, now);
    const auto present = directory->find("e1");
    // Written earlier, or read from an older copy of the list.
    for (const auto& writtenAt : { first.writtenAt, HistoryPosition { 2, 1 } }) {
        first.writtenAt = writtenAt;
        directory->upsert(first, now);
        CHECK(directory->find("e1") == present);
        CHECK_FALSE(present->isShuttingDown());
        LONGS_EQUAL(1, present->entry().address.port);
    }
}

TEST(EndpointDirectory, AnEntryWithoutAStartTimeIsOfTheKnownIncarnation)
{
    auto first = entry("e1", 1);
    first.startTime = 100;
    directory->upsert(first, now);
    const auto present = directory->find("e1");
    directory->upsert(entry("e1", 1), now);
    CHECK(directory->find("e1") == present);
    LONGS_EQUAL_TEXT(100, present->entry().startTime, "the known start time must be kept");
}

// An entry from another writer may name a service of its own together with an endpoint's address.
TEST(EndpointDirectory, AnEntryOfAnUnknownServiceReplacesNoEndpoint)
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

// Guards against a stream that is refused because its version is gone, by a VM that has no list of endpoints yet.
TEST(EndpointDirectory, NoVersionIsMissingForLongBeforeTheFirstList)
{
    CHECK(directory->versionMissingSince("s", "v1", now) == now);
    directory->replaceAll({}, now);
    const auto later = now + Milliseconds { 5000 };
    CHECK(directory->versionMissingSince("s", "v1", later) == now);
}

TEST(EndpointDirectory, AVersionIsMissingFromTheTimeItsLastEndpointLeft)
{
    auto versioned = entry("e1", 1);
    versioned.version = "v1";
    directory->replaceAll({ versioned }, now);
    CHECK_FALSE(directory->versionMissingSince("s", "v1", now).has_value());
    const auto removedAt = now + Milliseconds { 7000 };
    directory->remove("e1", removedAt);
    CHECK(directory->versionMissingSince("s", "v1", removedAt + Milliseconds { 1000 }) == removedAt);
}
