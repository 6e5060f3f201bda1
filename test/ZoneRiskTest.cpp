#include "placement/ZoneRisk.h"
#include "relay/EndpointDirectory.h"
#include "relay/Placement.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(ZoneRisk)
{
    boost::asio::io_context ioContext;
    RelaySettings settings;
    std::unique_ptr<EndpointDirectory> directory;
    const Milliseconds now { 200000 };
    const EngineWork work { 8000, 560 };
    const EnginePace pace { 0.15, 8000 };

    void setup() override
    {
        settings.availabilityZone = "a";
        directory = std::make_unique<EndpointDirectory>(ioContext, settings);
        std::vector<EndpointEntry> entries;
        for (const auto* zone : { "a", "b", "c" }) {
            for (int i = 0; i < 4; ++i) {
                const auto port = 1 + static_cast<std::int64_t>(entries.size());
                entries.push_back({ zone + std::to_string(i), "s", { "127.0.0.1", port }, zone, 4, false });
            }
        }
        directory->replaceAll(std::move(entries), Milliseconds { 0 });
    }

    // The zones of the order fail in turn, the last one 4.9 s ago.
    void failInTurn(const std::string& order, int count)
    {
        std::vector<ZoneFailureHistory::Failure> failures;
        failures.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            failures.push_back({ std::string(1, order[static_cast<std::size_t>(i) % order.size()]),
                now - Milliseconds { 4900 + 5000 * (count - 1 - i) } });
        directory->addToHistory("s", failures);
    }

    std::string zoneOf(const std::shared_ptr<RelayEndpoint>& endpoint) const
    {
        return endpoint ? endpoint->entry().availabilityZone : "none";
    }

    std::string choose(PlacementRequest request, std::uint64_t seed)
    {
        request.service = "s";
        return zoneOf(Placement(*directory, settings, seed).choose(request, now));
    }
};

// Guards against prompts that are sent to the zone that is likely to fail next.
TEST(ZoneRisk, AnIdleEngineOfASafeZoneIsPreferredToOneOfAZoneAtRisk)
{
    failInTurn("acb", 12);
    const auto atRisk = directory->find("b0");
    const auto safe = directory->find("c0");
    // Both are in other zones; a is next in turn.
    settings.availabilityZone = "d";
    int inSafeZone = 0;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        inSafeZone += zoneOf(Placement(*directory, settings, seed)
                                 .chooseReported({ directory->find("a0"), safe }, work, pace, now))
            == "c";
        CHECK(choose({ .excluded = { atRisk } }, seed) != "a");
    }
    CHECK_TEXT(inSafeZone > 90, std::to_string(inSafeZone).c_str());
}

// Guards against sending all prompts to the safe zone, which would overload it.
TEST(ZoneRisk, AnIdleEngineOfAZoneAtRiskIsPreferredToALoadedOneOfASafeZone)
{
    failInTurn("acb", 12);
    settings.availabilityZone = "d";
    const auto atRisk = directory->find("a0");
    const auto loaded = directory->find("c0");
    atRisk->noteReport({}, now);
    loaded->noteReport({ .promptsWaiting = 1, .generating = 3 }, now);
    for (std::uint64_t seed = 0; seed < 100; ++seed)
        STRCMP_EQUAL("a",
            zoneOf(Placement(*directory, settings, seed).chooseReported({ atRisk, loaded }, work, pace, now)).c_str());
    for (const auto& endpoint : directory->endpointsOf("s")) {
        for (int i = 0; i < 3 && endpoint->entry().availabilityZone != "a"; ++i)
            endpoint->callStarted();
    }
    STRCMP_EQUAL("a", choose({}, 1).c_str());
}

// Guards against a copy in the zone that is likely to fail next.
TEST(ZoneRisk, ACopyIsPutIntoTheSafestOfTheOtherZones)
{
    failInTurn("acb", 12);
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        const PlacementRequest fromB { .zonesToAvoid = { "b" }, .mustBeHealthy = true, .prefersSafestZone = true };
        STRCMP_EQUAL("c", choose(fromB, seed).c_str());
        const PlacementRequest fromC { .zonesToAvoid = { "c" }, .mustBeHealthy = true, .prefersSafestZone = true };
        STRCMP_EQUAL("b", choose(fromC, seed).c_str());
    }
}

// Guards against a changed order of endpoints where zones never fail, or fail at random.
TEST(ZoneRisk, WithoutAPreferenceTheOrderOfEndpointsIsAsWithoutTheHistory)
{
    const auto chosen = [this](bool isCopy) {
        std::vector<std::string> ids;
        for (std::uint64_t seed = 0; seed < 50; ++seed) {
            Placement placement(*directory, settings, seed);
            for (const auto& endpoint : placement.candidates({ .service = "s", .prefersSafestZone = isCopy }, 12, now))
                ids.push_back(endpoint->entry().id);
            ids.push_back(placement.chooseReported(directory->endpointsOf("s"), work, pace, now)->entry().id);
        }
        return ids;
    };
    const auto before = chosen(false);
    const auto beforeCopy = chosen(true);
    CHECK(before == beforeCopy);
    failInTurn("abbcaacbccab", 12);
    CHECK_FALSE(directory->zoneFailures("s").isEmpty());
    CHECK(before == chosen(false));
    CHECK(beforeCopy == chosen(true));
}
