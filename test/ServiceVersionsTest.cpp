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
