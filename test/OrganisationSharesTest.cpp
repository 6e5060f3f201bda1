#include "admission/OrganisationShares.h"
#include "health/ZoneExchange.h"
#include "relay/ShareExchange.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

ShareKey keyOf(const std::string& organisation, unsigned rank = 1) { return { "llm", rank, organisation }; }

class TestClock final : public Clock {
public:
    Milliseconds now() const override { return instant; }
    Milliseconds instant { 0 };
};

// Passes what one VM reports to a collector, and what the collector publishes to the VM.
class DirectExchange final : public ZoneExchange {
public:
    void report(std::string_view, std::string body) override
    {
        longestBody = std::max(longestBody, body.size());
        reported = std::move(body);
        if (collector)
            collector->m_onReport(reported);
    }
    void publish(std::string_view, std::string body) override
    {
        longestBody = std::max(longestBody, body.size());
        if (listener)
            listener->m_onNews(body);
    }
    void onReport(std::string_view, Handler handler) override { m_onReport = std::move(handler); }
    void onNews(std::string_view, Handler handler) override { m_onNews = std::move(handler); }

    DirectExchange* collector { nullptr };
    DirectExchange* listener { nullptr };
    std::string reported;
    std::size_t longestBody { 0 };
    Handler m_onReport;
    Handler m_onNews;
};

} // namespace

TEST_GROUP(OrganisationShares)
{
    OrganisationShares shares;
    const Milliseconds start { 0 };

    void noteSmallOnes(int count)
    {
        for (int i = 0; i < count; ++i)
            shares.note(keyOf("o" + std::to_string(i)), 1000, start);
    }
};

TEST(OrganisationShares, OnlyAnOrganisationAboveTwiceItsFairShareIsAboveIt)
{
    noteSmallOnes(9);
    shares.note(keyOf("large"), 10000, start);
    CHECK(shares.isAboveShare(keyOf("large"), start));
    CHECK_FALSE(shares.isAboveShare(keyOf("o1"), start));
    CHECK_FALSE_TEXT(shares.isAboveShare(keyOf("large", 2), start), "ranks do not share");
    CHECK_FALSE_TEXT(shares.isAboveShare(keyOf("unknown"), start), "an organisation without work is below its share");
}

// Guards against a penalty for past work, and against idle organisations that lower the fair share of the others.
TEST(OrganisationShares, WorkIsForgottenWithinSeconds)
{
    noteSmallOnes(9);
    shares.note(keyOf("large"), 10000, start);
    const Milliseconds later { 20000 };
    for (int i = 0; i < 9; ++i)
        shares.note(keyOf("o" + std::to_string(i)), 1000, later);
    CHECK_FALSE(shares.isAboveShare(keyOf("large"), later));
}

TEST(OrganisationShares, TheLeastActiveOrganisationIsEvictedFirst)
{
    shares.note(keyOf("large"), 10000, start);
    noteSmallOnes(5000);
    LONGS_EQUAL(OrganisationShares::maxOrganisations, shares.size());
    CHECK(shares.isAboveShare(keyOf("large"), start));
}

TEST_GROUP(ShareExchange)
{
    TestClock clock;
    OrganisationShares first;
    OrganisationShares second;
    DirectExchange firstLink;
    DirectExchange secondLink;
    ShareExchange collector { first, clock, "vm1", "a" };
    ShareExchange reporter { second, clock, "vm2", "a" };

    void setup() override
    {
        clock.instant = Milliseconds { 1000 };
        collector.connect(&firstLink);
        reporter.connect(&secondLink);
        secondLink.collector = &firstLink;
        firstLink.listener = &secondLink;
    }

    void exchange()
    {
        reporter.tick(clock.instant);
        collector.tick(clock.instant);
        clock.instant += ShareExchange::interval;
    }
};

// Guards against a large organisation that stays unnoticed because it spreads its work over the VMs.
TEST(ShareExchange, TheWorkOfAllVmsOfAZoneCounts)
{
    for (int i = 0; i < 4; ++i)
        second.note(keyOf("o" + std::to_string(i)), 3000, clock.now());
    second.note(keyOf("large"), 3000, clock.now());
    first.note(keyOf("large"), 30000, clock.now());
    CHECK_FALSE(second.isAboveShare(keyOf("large"), clock.now()));
    exchange();
    CHECK(second.isAboveShare(keyOf("large"), clock.now()));
    CHECK(first.isAboveShare(keyOf("large"), clock.now()));
}

TEST(ShareExchange, OnlyChangesAboveATenthAreReported)
{
    second.note(keyOf("o1"), 10000, clock.now());
    exchange();
    CHECK(!secondLink.reported.empty());
    secondLink.reported.clear();
    second.note(keyOf("o1"), 500, clock.now());
    exchange();
    STRCMP_EQUAL("", secondLink.reported.c_str());
    second.note(keyOf("o1"), 5000, clock.now());
    exchange();
    STRCMP_CONTAINS("o1", secondLink.reported.c_str());
}

// Guards against messages that the exchange drops because they are too long.
TEST(ShareExchange, MessagesStayBelowTheLimit)
{
    for (int i = 0; i < 4000; ++i)
        second.note(keyOf(std::string(40, 'x') + std::to_string(i)), 1000 + i, clock.now());
    exchange();
    CHECK(secondLink.longestBody > 8000 && secondLink.longestBody <= 16384);
    CHECK(firstLink.longestBody > 8000 && firstLink.longestBody <= 16384);
    STRCMP_CONTAINS_TEXT("x3999\"", secondLink.reported.c_str(), "the largest counts come first");
}

// Guards against a VM that fails on a message of another release or of a faulty sender.
TEST(ShareExchange, InvalidMessagesChangeNothing)
{
    for (const std::string work : { "7", "[7]", "[[\"llm\",1,\"large\"]]", "[[\"llm\",10,\"large\",1e9]]",
             "[[\"llm\",1,\"large\",-1]]", "[[\"llm\",1,\"large\",\"x\"]]", "[[\"llm\",4294967297,\"large\",1]]" }) {
        secondLink.m_onNews(R"({"vm":"v","zone":"a","work":)" + work + "}");
        firstLink.m_onReport(R"({"vm":"v","zone":"a","work":)" + work + "}");
    }
    secondLink.m_onNews("nonsense");
    secondLink.m_onNews(R"({"vm":"v","zone":"b","work":[["llm",1,"large",1e9]]})");
    LONGS_EQUAL(0, second.size());
    secondLink.m_onNews(R"({"vm":"v","zone":"a","new":1,"work":[["llm",1,"large",1e9,"new"]]})");
    LONGS_EQUAL_TEXT(1, second.size(), "unknown fields are ignored");
}

// Guards against a VM that depends on the exchange.
TEST(ShareExchange, WithoutAnExchangeAVmUsesItsOwnCounts)
{
    reporter.connect(nullptr);
    second.note(keyOf("large"), 30000, clock.now());
    second.note(keyOf("o1"), 3000, clock.now());
    second.note(keyOf("o2"), 3000, clock.now());
    exchange();
    CHECK(second.isAboveShare(keyOf("large"), clock.now()));
}

// Guards against messages that grow with the number of VMs of a zone.
TEST(ShareExchange, BytesOfAZoneAreBoundedWhateverItsSize)
{
    for (const std::size_t vms : { 1U, 12U, 25U, 154U, 667U }) {
        reporter.setZoneVmCount(vms);
        const auto seconds = static_cast<double>(reporter.messageInterval().count()) / 1000;
        const auto bytes = static_cast<double>(vms * reporter.messageBytes()) / seconds;
        CHECK_TEXT(bytes <= ShareExchange::bytesPerSecond + vms, "a collector must not receive more");
        CHECK_TEXT(reporter.messageBytes() >= ShareExchange::minCountBytes, "a message must hold some counts");
    }
}

TEST(ShareExchange, SendsLessOftenInALargeZone)
{
    reporter.setZoneVmCount(120);
    second.note(keyOf("o1"), 10000, clock.now());
    exchange();
    secondLink.reported.clear();
    for (int i = 0; i < 9; ++i) {
        second.note(keyOf("o1"), 10000, clock.now());
        exchange();
    }
    STRCMP_EQUAL("", secondLink.reported.c_str());
    exchange();
    STRCMP_CONTAINS("o1", secondLink.reported.c_str());
}
