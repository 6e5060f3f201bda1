#include "health/ZoneFailureDetector.h"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(ZoneFailureDetector)
{
    ZoneFailureDetector detector;
    std::mt19937 random { 11 };
    int declared = 0;

    int uniform(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random); }

    std::optional<ZoneFailure> fail(
        const std::string& zone, int endpoint, Milliseconds at, std::size_t listed = 40, Milliseconds delay = {})
    {
        auto failure = detector.noteFailure({ "s", zone, zone + std::to_string(endpoint) }, at, listed, at + delay);
        declared += failure.has_value();
        return failure;
    }
};

// Zones a, c and b fail in turn every 3 to 7 s; VMs see the losses of 40 engines over 250 ms, and report each up to
// three times, 5 to 60 ms later.
TEST(ZoneFailureDetector, DeclaresEachFailureOfAZoneOnceAndEarly)
{
    Milliseconds failedAt { 10000 };
    for (int number = 0; number < 200; ++number) {
        const std::string zone(1, "acb"[number % 3]);
        std::vector<std::pair<Milliseconds, std::pair<Milliseconds, int>>> reports;
        for (int i = 0; i < 75; ++i) {
            const auto at = failedAt + Milliseconds { uniform(160, 410) };
            reports.push_back({ at + Milliseconds { uniform(5, 60) }, { at, uniform(0, 37) } });
        }
        std::sort(reports.begin(), reports.end());
        int found = 0;
        for (const auto& [now, report] : reports) {
            const auto failure
                = detector.noteFailure({ "s", zone, zone + std::to_string(report.second) }, report.first, 40, now);
            if (!failure)
                continue;
            ++found;
            STRCMP_EQUAL(zone.c_str(), failure->zone.c_str());
            CHECK_TEXT(now - failedAt <= Milliseconds { 300 }, "most VMs must not lose further runs meanwhile");
        }
        LONGS_EQUAL_TEXT(1, found, "one failure must be declared once");
        failedAt += Milliseconds { uniform(3000, 7000) };
    }
}

// Each of 120 engines fails every two minutes on average, and each failure is seen by several VMs.
TEST(ZoneFailureDetector, DeclaresNoFailureForSingleEnginesThatFailAtRandomTimes)
{
    Milliseconds now { 10000 };
    for (int i = 0; i < 3600; ++i) {
        now += Milliseconds { uniform(1, 2000) };
        const std::string zone(1, "abc"[uniform(0, 2)]);
        const int endpoint = uniform(0, 39);
        for (int vm = 0; vm < 5; ++vm)
            fail(zone, endpoint, now, 40, Milliseconds { uniform(1, 100) });
    }
    LONGS_EQUAL(0, declared);
}

// Engines restart two at a time and break their runs without an announcement.
TEST(ZoneFailureDetector, DeclaresNoFailureForARollingRestart)
{
    Milliseconds now { 10000 };
    for (int endpoint = 0; endpoint < 40; endpoint += 2) {
        for (int vm = 0; vm < 8; ++vm) {
            fail("a", endpoint, now + Milliseconds { vm * 10 });
            fail("a", endpoint + 1, now + Milliseconds { vm * 10 });
        }
        now += Milliseconds { 500 };
    }
    LONGS_EQUAL(0, declared);
}

// One engine with runs of many VMs must not count as many engines.
// Guards against failures of all zones that are declared when all or half of the engines pause at once, and against a
// zone that fails for good while single engines elsewhere are silent.
TEST(ZoneFailureDetector, SilenceInMostZonesIsNoFailureOfEachButThatOfOneZoneIsDeclaredAsEarlyAsARefusal)
{
    ZoneFailureDetector byRefusal;
    for (int number = 0; number < 200; ++number) {
        const Milliseconds begin { 10000 * (number + 1) };
        const bool isPause = number % 2 == 0;
        constexpr int reportCount = 60;
        std::vector<std::pair<Milliseconds, std::string>> reports;
        reports.reserve(reportCount + 1);
        for (int i = 0; i < reportCount; ++i)
            reports.push_back({ begin + Milliseconds { uniform(160, 410) },
                std::string(1, isPause ? "abcd"[uniform(0, 3)] : 'a') + std::to_string(uniform(0, 9)) });
        reports.push_back({ begin + Milliseconds { 200 }, "b1" });
        std::sort(reports.begin(), reports.end());
        std::optional<Milliseconds> declaredAt;
        std::optional<Milliseconds> refusedAt;
        std::size_t open = 0;
        for (const auto& [at, id] : reports) {
            const EndpointFailure silent { "s", id.substr(0, 1), id, FailureEvidence::Silent };
            if (detector.noteFailure(silent, at, 10, at, 4)) {
                ++open;
                declaredAt = declaredAt.value_or(at);
            }
            open -= detector.takeRetractions("s", 4, at).size();
            if (byRefusal.noteFailure({ "s", silent.zone, id }, at, 10, at, 4))
                refusedAt = refusedAt.value_or(at);
        }
        LONGS_EQUAL(isPause ? 0 : 1, open);
        CHECK_TEXT(isPause || declaredAt == refusedAt, "a dead zone must be known as early as before");
    }
}

// Guards against a false failure that is never taken back, and against one that is because a few engines survive.
TEST(ZoneFailureDetector, RetractsAFailureOnceHalfOfItsEndpointsHaveAnswered)
{
    const auto alive = [this](int endpoint, Milliseconds at) {
        detector.noteAlive({ "s", "a", "a" + std::to_string(endpoint) }, at);
        return detector.takeRetractions("s", 3, at);
    };
    for (int i = 0; i < 6; ++i)
        fail("a", i, Milliseconds { 1000 + i });
    LONGS_EQUAL(1, declared);
    CHECK(alive(1, Milliseconds { 900 }).empty());
    CHECK(alive(1, Milliseconds { 1900 }).empty());
    CHECK(alive(2, Milliseconds { 1910 }).empty());
    const auto retracted = alive(3, Milliseconds { 3500 });
    LONGS_EQUAL(1, retracted.size());
    LONGS_EQUAL(1000, retracted[0].failure.firstFailureAt.count());
    CHECK(alive(4, Milliseconds { 3600 }).empty());
    for (int i = 0; i < 6; ++i)
        fail("a", i, Milliseconds { 9000 + i });
    LONGS_EQUAL_TEXT(2, declared, "the next failure must be declared");
}

TEST(ZoneFailureDetector, CountsAnEndpointOnce)
{
    for (int vm = 0; vm < 50; ++vm)
        fail("a", 1, Milliseconds { 10000 + vm }, 4);
    LONGS_EQUAL(0, declared);
}

// Guards against a failure of one service's engines that counts for the endpoints of another service.
TEST(ZoneFailureDetector, CountsServicesAndZonesSeparately)
{
    const Milliseconds now { 10000 };
    for (const auto* service : { "s", "t" }) {
        for (const auto* zone : { "a", "b" }) {
            for (int i = 0; i < 2; ++i)
                declared += detector.noteFailure({ service, zone, std::to_string(i) }, now, 4, now).has_value();
        }
    }
    LONGS_EQUAL(0, declared);
    CHECK(detector.noteFailure({ "t", "b", "2" }, now, 4, now).has_value());
    CHECK_FALSE(detector.isDeclared("s", "b", now));
}

// Guards against late messages of a frozen VM that count as failures of the zone's new engines.
TEST(ZoneFailureDetector, IgnoresOldFailures)
{
    for (int endpoint = 0; endpoint < 10; ++endpoint)
        fail("a", endpoint, Milliseconds { 10000 }, 10, Milliseconds { 3000 });
    LONGS_EQUAL(0, declared);
}

// With reports of all endpoints, the messages of a zone failure would grow with the number of endpoints.
TEST(ZoneFailureDetector, CountsASampleOfAVeryLargeZone)
{
    constexpr std::size_t listed = 6667;
    std::size_t counted = 0;
    for (std::size_t i = 0; i < listed; ++i) {
        const auto isCounted = ZoneFailureDetector::isCounted("i-" + std::to_string(i), listed);
        counted += isCounted;
        declared
            += detector
                   .noteFailure({ "s", "a", "i-" + std::to_string(i) }, Milliseconds { 1 }, listed, Milliseconds { 2 })
                   .has_value();
    }
    CHECK_TEXT(counted > 90 && counted < 170, std::to_string(counted).c_str());
    LONGS_EQUAL_TEXT(1, declared, "the failure of all endpoints must be declared from the sample");
}

// Guards against a detector that ignores new services for good once it has seen many others.
TEST(ZoneFailureDetector, ForgetsZonesWithoutRecentFailures)
{
    for (int service = 0; service < 300; ++service)
        detector.noteFailure(
            { "old" + std::to_string(service), "a", "e" }, Milliseconds { 1000 }, 40, Milliseconds { 1000 });
    const Milliseconds now { 60'000 };
    for (int endpoint = 0; endpoint < 6; ++endpoint)
        fail("a", endpoint, now);
    LONGS_EQUAL(1, declared);
}

// Guards against a share that is lower than stated, and against one that is never reached.
TEST(ZoneFailureDetector, DeclaresAtSixOfFortyEndpoints)
{
    for (int endpoint = 0; endpoint < 5; ++endpoint)
        fail("a", endpoint, Milliseconds { 10'000 });
    LONGS_EQUAL(0, declared);
    fail("a", 5, Milliseconds { 10'000 });
    LONGS_EQUAL(1, declared);
}
