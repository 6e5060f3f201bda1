// Guards against streams that end because engines are silent for a time and then go on, as suspended processes do.
#include "PartitionedFleet.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using lupinknot::platform::PartitionedFleet;

namespace {

struct EngineFleetTest : Utest {
    static constexpr std::size_t vmCount = 4;
    static constexpr std::size_t engineCount = 9;
    static constexpr std::size_t streamCount = 24;
    static constexpr std::uint64_t eventCount = 50;
    // The platform's limit on a second run of a request.
    static constexpr Milliseconds maxDoubleRun { 400 };
    static constexpr Milliseconds midStream { 600 };

    PartitionedFleet fleet { vmCount, 2 };
    std::vector<std::shared_ptr<TestCaller>> callers;

    void setup() override
    {
        fleet.useEngines({ "" }, eventCount);
        fleet.useEngineCount(engineCount);
        CHECK_TEXT(fleet.start(), "the fleet did not start");
    }

    // Each stream has a content of its own unless one is given.
    void openStreams(std::size_t count, const std::string& content = "")
    {
        for (std::size_t i = 0; i < count; ++i) {
            const auto id = "s" + std::to_string(callers.size());
            callers.push_back(
                fleet.openStream(callers.size() % vmCount, id, id, {}, content.empty() ? "body of " + id : content));
        }
    }

    static bool hasAllEvents(const TestCaller& caller)
    {
        std::size_t position = 0;
        std::uint64_t events = 0;
        while ((position = caller.body.find("id: ", position)) != std::string::npos) {
            if (caller.body.compare(
                    position, 4 + std::to_string(events + 1).size() + 1, "id: " + std::to_string(events + 1) + "\n")
                != 0)
                return false;
            ++events;
            ++position;
        }
        return caller.isWhole && events == eventCount;
    }

    void checkStreamsAreWhole()
    {
        const auto isOver = [](const auto& caller) { return caller->isWhole || caller->isBroken; };
        CHECK(fleet.runUntil([&] { return std::all_of(callers.begin(), callers.end(), isOver); }));
        const auto whole
            = std::count_if(callers.begin(), callers.end(), [](const auto& caller) { return hasAllEvents(*caller); });
        LONGS_EQUAL_TEXT(callers.size(), whole, "streams ended early");
        const auto doubleRun = fleet.longestDoubleRun();
        CHECK_TEXT(doubleRun <= maxDoubleRun,
            ("a request went on at two engines for " + std::to_string(doubleRun.count()) + " ms").c_str());
    }
};

} // namespace

TEST_GROUP_BASE(SilentEngineFleet, EngineFleetTest) {};

TEST(SilentEngineFleet, StreamsEndWhenAllEnginesAreSilent)
{
    openStreams(streamCount);
    fleet.runFor(midStream);
    fleet.silenceEngines(0, engineCount, Milliseconds { 1200 });
    checkStreamsAreWhole();
}

TEST(SilentEngineFleet, StreamsEndWhenAllEnginesAreSilentRepeatedly)
{
    for (int i = 0; i < 3; ++i) {
        openStreams(streamCount / 3);
        fleet.runFor(Milliseconds { 500 });
        fleet.silenceEngines(0, engineCount, Milliseconds { 500 });
        fleet.runFor(Milliseconds { 500 });
    }
    checkStreamsAreWhole();
}

TEST(SilentEngineFleet, StreamsEndWhenHalfOfTheEnginesAreSilent)
{
    openStreams(streamCount);
    fleet.runFor(midStream);
    fleet.silenceEngines(0, engineCount / 2, Milliseconds { 1500 });
    checkStreamsAreWhole();
}

TEST(SilentEngineFleet, StreamsEndWhenAThirdOfTheEnginesIsSilentInTurn)
{
    for (std::size_t i = 0; i < 6; ++i) {
        openStreams(streamCount / 6);
        fleet.runFor(Milliseconds { 600 });
        fleet.silenceEngines(i % 3 * (engineCount / 3), engineCount / 3, Milliseconds { 800 });
    }
    checkStreamsAreWhole();
}

TEST(SilentEngineFleet, RequestsOfOneContentAreHeldAsCrashing)
{
    for (std::size_t i = 0; i < 6; ++i) {
        openStreams(streamCount / 6, "one content");
        fleet.runFor(Milliseconds { 600 });
        fleet.silenceEngines(i % 3 * (engineCount / 3), engineCount / 3, Milliseconds { 800 });
    }
    checkStreamsAreWhole();
}

TEST(SilentEngineFleet, StreamsEndWhenAllEnginesAreSilentInThePrefill)
{
    openStreams(streamCount);
    fleet.runFor(Milliseconds { 50 });
    fleet.silenceEngines(0, engineCount, Milliseconds { 1200 });
    checkStreamsAreWhole();
}

// VMs that have not just started, and may therefore use the fixed number of retries.
TEST_GROUP_BASE(SilentEngineFleetWithRetries, EngineFleetTest) {
    void setup() override { fleet.useRetryWindow(Milliseconds { 1000 });
EngineFleetTest::setup();
}
}
;

// Engines that are gone must be left as soon as engines whose connections break.
TEST(SilentEngineFleetWithRetries, StreamsPauseLongWhenAThirdOfTheEnginesIsGone)
{
    openStreams(streamCount);
    fleet.runFor(midStream);
    fleet.silenceEnginesForGood(0, engineCount / 3);
    checkStreamsAreWhole();
    // A stream whose engine and copy holder are both gone starts over elsewhere, which takes longer.
    const auto pausesAtMost = [this](Milliseconds pause) {
        return std::count_if(
            callers.begin(), callers.end(), [pause](const auto& caller) { return caller->longestPause <= pause; });
    };
    CHECK_TEXT(4 * pausesAtMost(PartitionedFleet::gapAim) >= 3 * static_cast<std::ptrdiff_t>(streamCount),
        "over a quarter of the streams paused for longer than the gap aim");
    LONGS_EQUAL_TEXT(streamCount, pausesAtMost(2 * PartitionedFleet::gapAim), "a pause was over twice the gap aim");
}
