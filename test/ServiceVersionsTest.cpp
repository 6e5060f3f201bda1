#include "versions/ServiceVersions.h"
#include "versions/VersionSearch.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr Milliseconds lifetime { 60000 };
constexpr Milliseconds start { 1000 };

} // namespace

TEST_GROUP(ServiceVersions)
{
    ServiceVersions versions { lifetime };

    std::string only(Milliseconds now) const { return versions.onlyVersion("s", now).value_or("none"); }
};

// Guards against a stream that continues at the new version because the old one has just left the list.
TEST(ServiceVersions, AVersionThatHasLeftCountsForTheLifeOfAStream)
{
    versions.noteListed("s", "v1", start);
    versions.noteListed("t", "v0", start);
    STRCMP_EQUAL("v1", only(start).c_str());
    versions.noteListed("s", "v2", start);
    STRCMP_EQUAL("none", only(start).c_str());
    versions.noteListed("s", "v2", start + lifetime);
    STRCMP_EQUAL("none", only(start + lifetime).c_str());
    STRCMP_EQUAL("v2", only(start + lifetime + Milliseconds { 1 }).c_str());
}

// Guards against a VM that has just started and takes the listed version for the only one.
TEST(ServiceVersions, AVmThatHasJustStartedNamesNoVersionBeforeItKnowsTheHistory)
{
    versions.awaitHistory(start);
    versions.noteListed("s", "v2", start);
    STRCMP_EQUAL("none", only(start).c_str());
    versions.applyHistory({ { "s", "v2" }, { "other", "v1" } }, start);
    STRCMP_EQUAL("v2", only(start).c_str());
    versions.applyHistory({ { "s", "v1" } }, start);
    STRCMP_EQUAL("none", only(start).c_str());
}

TEST(ServiceVersions, WithoutAHistoryTheLifeOfAStreamIsEnough)
{
    versions.awaitHistory(start);
    versions.noteListed("s", "v2", start + lifetime);
    STRCMP_EQUAL("none", only(start + lifetime).c_str());
    STRCMP_EQUAL("v2", only(start + lifetime + Milliseconds { 1 }).c_str());
}

TEST(ServiceVersions, ReportsAVersionOnceWhileItIsRecent)
{
    std::vector<std::string> reported;
    versions.onNewVersion([&](const ServiceVersion& listed) { reported.push_back(listed.version); });
    versions.noteListed("s", "v1", start);
    versions.noteListed("s", "v1", start + lifetime);
    LONGS_EQUAL(1, reported.size());
    versions.noteListed("s", "v1", start + 3 * lifetime);
    LONGS_EQUAL(2, reported.size());
    LONGS_EQUAL(1, versions.recent(start + 3 * lifetime).size());
}

// Guards against a VM that was cut off and takes the version it still lists for the only one that served meanwhile.
TEST(ServiceVersions, AGapBetweenStatesOfTheListMakesTheHistoryUnknown)
{
    constexpr Milliseconds maxGap { 4000 };
    int requests = 0;
    CHECK(versions.isKnownAsOf(start));
    versions.followList(maxGap, [&requests] { ++requests; });
    CHECK_FALSE(versions.isKnownAsOf(start));
    versions.requestUpdate();
    LONGS_EQUAL(1, requests);
    versions.noteListed("s", "v1", start);
    versions.noteListAsOf(start);
    versions.noteListReceived(start);
    versions.noteListReceived(start + maxGap);
    CHECK(versions.isKnownAsOf(start));
    CHECK_FALSE(versions.isKnownAsOf(start + maxGap));
    STRCMP_EQUAL("v1", only(start + maxGap).c_str());
    const auto end = start + 2 * maxGap + Milliseconds { 1 };
    versions.noteListReceived(end);
    STRCMP_EQUAL("none", only(end).c_str());
    versions.applyHistory({ { "s", "v1" } }, end);
    STRCMP_EQUAL("v1", only(end).c_str());
}

// Guards against a version that counts as gone because this VM's list does not contain it yet.
TEST(ServiceVersions, AVersionKnownToAnotherVmCountsFromThenOn)
{
    versions.noteListed("s", "v1", start);
    versions.noteHeardOf("s", "v2", start);
    STRCMP_EQUAL("none", only(start).c_str());
    versions.noteHeardOf("s", "v2", start + lifetime);
    CHECK(versions.lastListedAt("s", "v2") == start);
}

TEST_GROUP(VersionSearch) {
    static VersionSource sourceOf(const VersionKnowledge& known) { return decideVersion(known).source;
}
}
;

TEST(VersionSearch, ANoteComesBeforeTheOnlyVersion)
{
    const auto decision = decideVersion({ .noted = "v1", .only = "v2" });
    CHECK(decision.source == VersionSource::Note);
    STRCMP_EQUAL("v1", decision.version->c_str());
    CHECK(sourceOf({ .only = "v2" }) == VersionSource::OnlyVersion);
}

// Guards against a VM out of step that takes the only version it has seen for the only one.
TEST(VersionSearch, TheOnlyVersionCountsOnlyIfTheListIsCurrent)
{
    constexpr Milliseconds searchTime { 1500 };
    CHECK(sourceOf({ .only = "v1", .isOnlyCurrent = false, .searchTime = searchTime }) == VersionSource::SearchAgain);
    CHECK(sourceOf({ .only = "v1", .isOnlyCurrent = false, .searchedFor = searchTime, .searchTime = searchTime })
        == VersionSource::Unknown);
    CHECK(sourceOf({ .noted = "v2", .only = "v1", .isOnlyCurrent = false }) == VersionSource::Note);
}

// Replays callers that return to a VM while the store and other VMs do not answer, and after they have.
TEST(VersionSearch, SearchesAgainOnlyWhileAnAnswerMayStillCome)
{
    constexpr Milliseconds searchTime { 1500 };
    for (const auto searchedFor : { Milliseconds { 0 }, Milliseconds { 1499 } }) {
        CHECK(sourceOf({ .isSearchComplete = false, .searchedFor = searchedFor, .searchTime = searchTime })
            == VersionSource::SearchAgain);
        CHECK(sourceOf({ .isHistoryKnown = false, .searchedFor = searchedFor, .searchTime = searchTime })
            == VersionSource::SearchAgain);
    }
    CHECK(sourceOf({ .searchTime = searchTime }) == VersionSource::Unknown);
    CHECK(sourceOf({ .isSearchComplete = false, .searchedFor = searchTime, .searchTime = searchTime })
        == VersionSource::Unknown);
}
