#include "relay/Placement.h"
#include "placement/EnginePaces.h"
#include "relay/CallProtocol.h"
#include "relay/EndpointDirectory.h"

#include <CppUTest/TestHarness.h>
#include <map>
#include <set>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(Placement)
{
    boost::asio::io_context ioContext;
    RelaySettings settings;
    std::unique_ptr<EndpointDirectory> directory;
    const Milliseconds now { 100000 };

    void setup() override
    {
        settings.availabilityZone = "a";
        directory = std::make_unique<EndpointDirectory>(ioContext, settings);
        std::vector<EndpointEntry> entries;
        entries.reserve(16);
        for (int i = 0; i < 8; ++i)
            entries.push_back({ "a" + std::to_string(i), "s", { "127.0.0.1", 1 + i }, "a", 4, false });
        for (int i = 0; i < 8; ++i)
            entries.push_back({ "b" + std::to_string(i), "s", { "127.0.0.1", 11 + i }, "b", 4, false });
        directory->replaceAll(std::move(entries), now);
    }

    std::shared_ptr<RelayEndpoint> choose(PlacementRequest request, std::uint64_t seed = 1)
    {
        request.service = "s";
        return Placement(*directory, settings, seed).choose(request, now);
    }
};

TEST(Placement, PrefersTheOwnZoneAmongEquals)
{
    for (std::uint64_t seed = 0; seed < 30; ++seed)
        STRCMP_EQUAL("a", choose({}, seed)->entry().availabilityZone.c_str());
}

TEST(Placement, PrefersAnotherZoneToABusyEndpoint)
{
    for (const auto& endpoint : directory->endpointsOf("s")) {
        if (endpoint->entry().availabilityZone == "a")
            endpoint->callStarted();
    }
    STRCMP_EQUAL("b", choose({})->entry().availabilityZone.c_str());
}

TEST(Placement, SpreadsRequestsWithoutAPromptOverEquals)
{
    std::set<std::string> seen;
    for (std::uint64_t seed = 0; seed < 100; ++seed)
        seen.insert(choose({}, seed)->entry().id);
    LONGS_EQUAL(8, seen.size());
}

TEST(Placement, SendsOnePromptToOneEndpointFromEveryVm)
{
    const auto first = choose({ .promptId = "91bd3f06", .preference = 2.5 }, 1);
    for (std::uint64_t seed = 2; seed < 30; ++seed)
        POINTERS_EQUAL(first.get(), choose({ .promptId = "91bd3f06", .preference = 2.5 }, seed).get());
}

TEST(Placement, SkipsThePreferredEndpointWhenItIsTooBusy)
{
    const auto first = choose({ .promptId = "91bd3f06", .preference = 1.5 });
    first->callStarted();
    first->callStarted();
    CHECK(choose({ .promptId = "91bd3f06", .preference = 1.5 }) != first);
    POINTERS_EQUAL(first.get(), choose({ .promptId = "91bd3f06", .preference = 100 }).get());
}

TEST(Placement, PutsACopyIntoAnotherZone)
{
    for (std::uint64_t seed = 0; seed < 30; ++seed)
        STRCMP_EQUAL(
            "b", choose({ .zonesToAvoid = { "a" }, .mustBeHealthy = true }, seed)->entry().availabilityZone.c_str());
}

TEST(Placement, PutsNoCopyAtAnAvoidedEndpoint)
{
    for (const auto& endpoint : directory->endpointsOf("s"))
        endpoint->avoidUntil(now + Milliseconds { 1 });
    CHECK(!choose({ .mustBeHealthy = true }));
    CHECK_TEXT(choose({}) != nullptr, "an avoided endpoint must still be chosen when there is no other");
}

TEST(Placement, ChoosesTheEngineThatReportsTheLeastLoad)
{
    const auto busy = directory->find("a0");
    const auto idle = directory->find("a1");
    busy->noteReport({ .promptsWaiting = 2 }, now);
    idle->noteReport({}, now);
    Placement placement(*directory, settings, 1);
    POINTERS_EQUAL(idle.get(), placement.chooseReported({ busy, idle }, { 5000, 1000 }, {}, now).get());
}

TEST(Placement, ChoosesNoEngineThatStartedToDrainDuringTheProbe)
{
    const auto shuttingDown = directory->find("a0");
    shuttingDown->noteReport({}, now);
    auto entry = shuttingDown->entry();
    entry.isDraining = true;
    directory->upsert(entry, now);
    CHECK(!Placement(*directory, settings, 1).chooseReported({ shuttingDown }, { 5000, 1000 }, {}, now));
}

// Two thirds of the engines take 0.7 of the usual time, one third takes 1.7 of it.
TEST(Placement, AFastEngineWithAShortQueueIsBetterThanAnIdleSlowOne)
{
    EnginePaces paces;
    for (int i = 0; i < 12; ++i)
        paces.noteRun("s", { "127.0.0.1", 1 + i }, i % 3 == 0 ? 47.6 : 19.6, now);
    const auto slow = directory->find("a0");
    const auto fast = directory->find("a1");
    slow->noteReport({}, now);
    fast->noteReport({ .promptsInPrefill = 1 }, now);
    Placement placement(*directory, settings, 1);
    POINTERS_EQUAL_TEXT(slow.get(), placement.chooseReported({ slow, fast }, { 5000, 1000 }, {}, now).get(),
        "without paces the idle engine is the best");
    placement.setPaces(&paces);
    for (int i = 0; i < 30; ++i)
        POINTERS_EQUAL(fast.get(), placement.chooseReported({ slow, fast }, { 5000, 1000 }, {}, now).get());
}

// All idle engines of the zone were probed equally often.
TEST(Placement, SlowEnginesAreProbedLessOftenButNotNever)
{
    EnginePaces paces;
    for (int i = 0; i < 12; ++i)
        paces.noteRun("s", { "127.0.0.1", 1 + i }, i == 0 ? 56 : 28, now);
    Placement placement(*directory, settings, 1);
    placement.setPaces(&paces);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 4000; ++i)
        ++chosen[placement.choose({ .service = "s" }, now)->entry().id];
    CHECK_TEXT(chosen["a0"] > 150 && chosen["a0"] < 380, "an engine of half the speed should get half the share");
}

// Probes stayed in a zone whose demand had risen by half while other zones had idle engines.
TEST(Placement, ProbesEnginesOfEachZone)
{
    for (int i = 0; i < 4; ++i)
        directory->upsert({ "c" + std::to_string(i), "s", { "127.0.0.1", 21 + i }, "c", 4, false }, now);
    std::map<std::string, int> zones;
    for (const auto& engine : Placement(*directory, settings, 1).candidatesOfZones({ .service = "s" }, 4, now))
        ++zones[engine->entry().availabilityZone];
    LONGS_EQUAL(2, zones["a"]);
    LONGS_EQUAL(1, zones["b"]);
    LONGS_EQUAL(1, zones["c"]);
}

TEST(Placement, ProbesTheBestEnginesWhereOtherZonesLackThem)
{
    for (const auto& endpoint : directory->endpointsOf("s")) {
        if (endpoint->entry().availabilityZone == "b")
            endpoint->avoidUntil(now + Milliseconds { 1000 });
    }
    const PlacementRequest healthy { .service = "s", .mustBeHealthy = true };
    const auto engines = Placement(*directory, settings, 1).candidatesOfZones(healthy, 4, now);
    LONGS_EQUAL(4, engines.size());
    for (const auto& engine : engines)
        STRCMP_EQUAL("a", engine->entry().availabilityZone.c_str());
}

// Guards against VMs that all probe the few engines left in a zone, find them idle by old reports, and send their
// prompts there.
TEST(Placement, TheLastHealthyEnginesOfAZoneAreNotProbedByAllVms)
{
    for (int i = 0; i < 32; ++i)
        directory->upsert({ "c" + std::to_string(i), "s", { "127.0.0.1", 21 + i }, "c", 4, false }, now);
    for (int i = 0; i < 31; ++i)
        directory->find("c" + std::to_string(i))->avoidUntil(now + Milliseconds { 1000 });
    const PlacementRequest healthy { .service = "s", .mustBeHealthy = true };
    for (const auto* ownZone : { "a", "c" }) {
        settings.availabilityZone = ownZone;
        Placement placement(*directory, settings, 1);
        int probesOfLastEngine = 0;
        for (int i = 0; i < 1000; ++i) {
            const auto engines = placement.candidatesOfZones(healthy, 4, now);
            LONGS_EQUAL(4, engines.size());
            const auto isLast = [](const auto& engine) { return engine->entry().availabilityZone == "c"; };
            probesOfLastEngine += std::any_of(engines.begin(), engines.end(), isLast) ? 1 : 0;
        }
        // 13 engines are healthy; equal shares of four probes are 308 of 1,000.
        CHECK_TEXT(probesOfLastEngine > 30 && probesOfLastEngine < 620, std::to_string(probesOfLastEngine).c_str());
    }
}

// Calls waited at full endpoints while others of the zone had free slots.
TEST(Placement, ACallGoesToAnEndpointWithFreeSlotsWhileTheStatedLoadIsNew)
{
    for (int i = 0; i < 8; ++i) {
        const std::uint32_t waiting = i == 5 ? 0 : 6;
        directory->find("a" + std::to_string(i))
            ->noteSignals({ .load = { EndpointLoad { i == 5 ? 0U : 4U, waiting, 4 }, "" } }, now);
    }
    Placement placement(*directory, settings, 1);
    const auto chosenAt = [&](Milliseconds at) {
        std::set<std::string> chosen;
        for (int i = 0; i < 100; ++i)
            chosen.insert(placement.choose({ .service = "s" }, at)->entry().id);
        return chosen;
    };
    CHECK(chosenAt(now + Milliseconds { 300 }) == std::set<std::string> { "a5" });
    LONGS_EQUAL_TEXT(8, chosenAt(now + Milliseconds { 301 }).size(), "an old load must not count");
}

// A phase of 2.5 times the usual time lasts some hundred milliseconds.
TEST(Placement, APromptAvoidsAnEngineThatStatesThatItIsSlowAtThisMoment)
{
    EnginePaces paces;
    for (int i = 0; i < 12; ++i)
        paces.noteRun("s", { "127.0.0.1", 1 + i }, 28, now);
    const auto slow = directory->find("a0");
    const auto usual = directory->find("a1");
    for (const auto& engine : { slow, usual }) {
        engine->noteReport({}, now);
        engine->noteSignals({ .load = { EndpointLoad { 0, 0, 4, 1.0 }, "" } }, now - Milliseconds { 1000 });
    }
    slow->noteSignals({ .load = { EndpointLoad { 0, 0, 4, 2.5 }, "" } }, now);
    Placement placement(*directory, settings, 1);
    placement.setPaces(&paces);
    CHECK(placement.paceOf(*slow, now) > 2);
    for (int i = 0; i < 30; ++i)
        POINTERS_EQUAL(usual.get(), placement.chooseReported({ slow, usual }, { 5000, 1000 }, {}, now).get());
    DOUBLES_EQUAL_TEXT(
        1, placement.paceOf(*slow, now + Milliseconds { 301 }), 0.02, "it must not be remembered as slow");
}

// What an endpoint calls usual is its own matter: some state 170 at all times.
TEST(Placement, AnEndpointThatAlwaysStatesTheSamePaceIsNotSlowAtThisMoment)
{
    EnginePaces paces;
    for (int i = 0; i < 12; ++i)
        paces.noteRun("s", { "127.0.0.1", 1 + i }, i == 0 ? 47.6 : 28, now);
    const auto engine = directory->find("a0");
    for (int i = 0; i < 5; ++i)
        engine->noteSignals({ .load = { EndpointLoad { 0, 0, 4, 1.7 }, "" } }, now);
    Placement placement(*directory, settings, 1);
    placement.setPaces(&paces);
    DOUBLES_EQUAL(1.7, placement.paceOf(*engine, now), 0.02);
}

TEST(Placement, NeverChoosesAnExcludedEndpoint)
{
    PlacementRequest request;
    for (int i = 0; i < 16; ++i)
        request.excluded.push_back(choose(request));
    CHECK(!choose(request));
}

TEST_GROUP(LargePlacement)
{
    boost::asio::io_context ioContext;
    RelaySettings settings;
    const Milliseconds now { 100000 };

    // A service of five zones.
    std::unique_ptr<EndpointDirectory> directoryOf(int count)
    {
        settings.availabilityZone = "z0";
        auto directory = std::make_unique<EndpointDirectory>(ioContext, settings);
        std::vector<EndpointEntry> entries;
        entries.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            entries.push_back({ "e" + std::to_string(i), "s", { "10.0." + std::to_string(i / 250) + ".1", 1 + i % 250 },
                "z" + std::to_string(i % 5), 4, false });
        directory->replaceAll(std::move(entries), now);
        return directory;
    }

    static PlacementRequest request(const std::string& promptId = "")
    {
        PlacementRequest request;
        request.service = "s";
        request.promptId = promptId;
        request.preference = 100;
        return request;
    }
};

// A choice examined all endpoints of the service.
TEST(LargePlacement, AChoiceExaminesNoMoreEndpointsInALargerService)
{
    for (const int count : { 1000, 10000, 20000 }) {
        const auto directory = directoryOf(count);
        Placement placement(*directory, settings, 1);
        for (int i = 0; i < 20; ++i) {
            const auto best = placement.candidates(request("p" + std::to_string(i)), 4, now);
            LONGS_EQUAL(4, best.size());
            CHECK_TEXT(placement.lastExamined() <= 400, "a choice should examine a sample");
            STRCMP_EQUAL("z0", best.front()->entry().availabilityZone.c_str());
            LONGS_EQUAL(4, (std::set<std::shared_ptr<RelayEndpoint>>(best.begin(), best.end()).size()));
        }
    }
}

TEST(LargePlacement, SpreadsRequestsOverAllEndpointsOfTheZone)
{
    const auto directory = directoryOf(10000);
    Placement placement(*directory, settings, 1);
    std::set<std::string> seen;
    for (int i = 0; i < 4000; ++i)
        seen.insert(placement.choose(request(), now)->entry().id);
    CHECK_TEXT(seen.size() > 1200, "most of the 2,000 endpoints of the zone should get requests");
}

TEST(LargePlacement, SendsAPromptToTheSameEndpoint)
{
    const auto directory = directoryOf(10000);
    Placement one(*directory, settings, 1);
    Placement other(*directory, settings, 2);
    for (int i = 0; i < 20; ++i)
        STRCMP_EQUAL(one.choose(request("p" + std::to_string(i)), now)->entry().id.c_str(),
            other.choose(request("p" + std::to_string(i)), now)->entry().id.c_str());
}

TEST(LargePlacement, FindsTheOnlyEndpointThatIsNotAvoided)
{
    const auto directory = directoryOf(10000);
    for (const auto& endpoint : directory->endpointsOf("s")) {
        if (endpoint->entry().id != "e7777")
            endpoint->avoidUntil(now + Milliseconds { 1000 });
    }
    Placement placement(*directory, settings, 1);
    STRCMP_EQUAL("e7777", placement.choose(request(), now)->entry().id.c_str());
}

TEST(LargePlacement, ForgetsEndpointsThatWereRemoved)
{
    const auto directory = directoryOf(1000);
    std::vector<EndpointChange> changes;
    for (int i = 0; i < 1000; ++i) {
        if (i != 5)
            changes.push_back({ { .id = "e" + std::to_string(i) }, true });
    }
    directory->change(std::move(changes), now);
    directory->dropExpired(now + Milliseconds { 60000 });
    LONGS_EQUAL(1, directory->endpointsOf("s").size());
    LONGS_EQUAL(1, directory->endpointsOf("s", "z0").size());
    LONGS_EQUAL(0, directory->endpointsOf("s", "z1").size());
}
