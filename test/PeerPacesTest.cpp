#include "PeerPaces.h"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

class TestClock final : public Clock {
public:
    Milliseconds now() const override { return m_now; }
    void advance(Milliseconds time) { m_now += time; }

private:
    Milliseconds m_now { 1'000'000 };
};

// Two collectors of one zone receive each report, and all VMs all news; nothing is sent while it is cut off.
class TestZone {
public:
    class Exchange final : public ZoneExchange {
    public:
        Exchange(TestZone& zone, bool isCollector)
            : m_zone(zone)
            , m_isCollector(isCollector)
        {
            zone.m_exchanges.push_back(this);
        }
        void report(std::string_view, std::string body) override { m_zone.send(body, true); }
        void publish(std::string_view, std::string body) override { m_zone.send(body, false); }
        void onReport(std::string_view, Handler handler) override { m_onReport = std::move(handler); }
        void onNews(std::string_view, Handler handler) override { m_onNews = std::move(handler); }

        Handler m_onReport;
        Handler m_onNews;
        TestZone& m_zone;
        bool m_isCollector;
    };

    void send(const std::string& body, bool isReport)
    {
        largest = std::max(largest, body.size());
        (isReport ? reportedBytes : publishedBytes) += body.size() + PeerPaces::messageOverhead;
        ++messages;
        for (auto* const exchange : m_exchanges) {
            if (!isCutOff && (!isReport || exchange->m_isCollector))
                (isReport ? exchange->m_onReport : exchange->m_onNews)(body);
        }
    }

    std::vector<Exchange*> m_exchanges;
    bool isCutOff { false };
    std::size_t largest { 0 };
    std::size_t reportedBytes { 0 };
    std::size_t publishedBytes { 0 };
    std::size_t messages { 0 };
};

struct TestVm {
    TestVm(boost::asio::io_context& ioContext, const Clock& clock, TestZone& zone, bool isCollector)
        : exchange(zone, isCollector)
        , peerPaces(ioContext, clock, paces, exchange)
    {
    }
    EnginePaces paces;
    TestZone::Exchange exchange;
    PeerPaces peerPaces;
};

} // namespace

TEST_GROUP(PeerPaces)
{
    boost::asio::io_context ioContext;
    TestClock clock;
    TestZone zone;
    std::vector<std::unique_ptr<TestVm>> vms;

    void addVms(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            vms.push_back(std::make_unique<TestVm>(ioContext, clock, zone, i < 2));
            vms.back()->peerPaces.setZoneVmCount(count);
        }
    }

    static SocketAddress engine(std::size_t number)
    {
        return { "10.0." + std::to_string(number / 250) + ".1", static_cast<std::int64_t>(1 + number % 250) };
    }

    static double intervalOf(std::size_t number) { return number % 3 == 0 ? 47.6 : 19.6; }

    // Each VM finishes a stream at some of the engines in each second.
    void runFor(int seconds, std::size_t engines, std::size_t streamsOfVm)
    {
        std::minstd_rand random(1);
        for (int second = 0; second < seconds; ++second) {
            for (const auto& vm : vms) {
                for (std::size_t i = 0; i < streamsOfVm; ++i) {
                    const auto chosen = random() % engines;
                    vm->paces.noteRun("s", engine(chosen), intervalOf(chosen), clock.now());
                }
            }
            for (const auto& vm : vms)
                vm->peerPaces.step();
            clock.advance(Milliseconds { 1000 });
        }
    }

    double worstError(std::size_t engines) const
    {
        double worst = 0;
        for (const auto& vm : vms) {
            for (std::size_t i = 0; i < engines; ++i)
                worst = std::max(
                    worst, std::abs(vm->paces.paceOf("s", engine(i), clock.now()) / (intervalOf(i) / 19.6) - 1));
        }
        return worst;
    }
};

// A VM sends each engine a stream every few minutes, so that alone it knows the pace of hardly any engine.
TEST(PeerPaces, EachVmLearnsTheEnginesThatTheOthersUse)
{
    addVms(25);
    runFor(30, 40, 1);
    CHECK_TEXT(worstError(40) < 0.35, "every VM should know every engine");
    zone.isCutOff = true;
    runFor(60, 40, 0);
    CHECK_TEXT(worstError(40) > 0.4, "what is not renewed should be forgotten");
}

TEST(PeerPaces, WithoutTheExchangeAVmUsesItsOwnSamples)
{
    addVms(3);
    zone.isCutOff = true;
    runFor(20, 12, 4);
    CHECK(worstError(12) < 0.35);
}

TEST(PeerPaces, StopsFollowingACollectorThatNoLongerPublishes)
{
    addVms(3);
    runFor(20, 12, 4);
    for (const auto& vm : vms)
        vm->paces.applyPublishedUsual("s", 1000, clock.now());
    zone.isCutOff = true;
    clock.advance(EnginePaces::decayTime + Milliseconds { 1000 });
    for (const auto& vm : vms)
        DOUBLES_EQUAL(19.6, vm->paces.usualInterval("s", clock.now()).value_or(0), 0.1);
}

// 667 VMs that each sent a full body a second would exceed what a collector may receive.
TEST(PeerPaces, TheBytesOfALargeZoneAreBounded)
{
    addVms(40);
    for (const auto& vm : vms)
        vm->peerPaces.setZoneVmCount(667);
    constexpr int seconds = 60;
    runFor(seconds, 6667, 3);
    // The reports of 40 VMs of 667, and the news of two collectors to each VM; the first bodies of all VMs come at
    // once.
    const auto allowedReports
        = (PeerPaces::receivedBytesPerSecond * seconds / 667.0 + PeerPaces::minBodyBytes + PeerPaces::messageOverhead)
        * 40;
    CHECK(static_cast<double>(zone.reportedBytes) <= allowedReports);
    const auto allowedNews
        = (PeerPaces::sentBytesPerSecond * seconds / 667.0 + PeerPaces::minBodyBytes + PeerPaces::messageOverhead) * 2;
    CHECK(static_cast<double>(zone.publishedBytes) <= allowedNews);
    CHECK(zone.largest <= 16'384);
}

TEST(PeerPaces, ManyEnginesAreSpreadOverSeveralBodies)
{
    std::vector<EnginePaceSample> samples;
    for (std::size_t i = 0; i < 20000; ++i)
        samples.push_back({ "s", engine(i).text(), intervalOf(i), clock.now() });
    std::size_t decoded = 0;
    for (int body = 0; body < 400 && !samples.empty(); ++body) {
        std::vector<EnginePaceSample> left;
        const auto text = encodePaces({ { { "s", 19.6 } }, samples }, PeerPaces::maxBodyBytes, clock.now(), left);
        CHECK(text.size() <= PeerPaces::maxBodyBytes);
        decoded += decodePaces(text, clock.now())->samples.size();
        samples = std::move(left);
    }
    LONGS_EQUAL(20000, decoded);
}

TEST(PeerPaces, InvalidBodiesOfTheExchangeAreRejected)
{
    addVms(1);
    for (const auto* const body : { "", "[]", "{}", "x", R"({"services":{}})", R"({"services":[1]})",
             R"({"services":[{"name":1}]})", R"({"services":[{"name":""}]})",
             R"({"services":[{"name":"s","usual":-1}]})", R"({"services":[{"name":"s","usual":"20"}]})",
             R"({"services":[{"name":"s","engines":{}}]})", R"({"services":[{"name":"s","engines":[["10.0.0.1:1"]]}]})",
             R"({"services":[{"name":"s","engines":[["10.0.0.1:1",0,5]]}]})",
             R"({"services":[{"name":"s","engines":[["10.0.0.1:1",20,-5]]}]})",
             R"({"services":[{"name":"s","engines":[[7,20,5]]}]})",
             R"({"services":[{"name":"s","engines":[["10.0.0.1:1",1e999,5]]}]})" }) {
        CHECK_FALSE_TEXT(decodePaces(body, clock.now()).has_value(), body);
        vms[0]->exchange.m_onReport(body);
        vms[0]->exchange.m_onNews(body);
    }
    CHECK_FALSE(decodePaces(std::string(17'000, ' ') + R"({"services":[]})", clock.now()).has_value());
    LONGS_EQUAL(0, vms[0]->paces.size());
    // An address without a port belongs to no endpoint.
    vms[0]->exchange.m_onNews(R"({"services":[{"name":"s","engines":[["nowhere",20,5],["10.0.0.1:x",20,5]]}]})");
    LONGS_EQUAL(0, vms[0]->paces.size());
}

TEST(PeerPaces, IgnoresUnknownFieldsOfALaterRelease)
{
    const auto message = decodePaces(
        R"({"later":1,"services":[{"name":"s","usual":20,"later":[],"engines":[["10.0.0.1:1",47.6,500,"later"]]}]})",
        clock.now());
    CHECK(message.has_value());
    LONGS_EQUAL(1, message->usual.size());
    DOUBLES_EQUAL(47.6, message->samples.at(0).interval, 0.001);
    LONGS_EQUAL(500, (clock.now() - message->samples.at(0).at).count());
}

TEST(PeerPaces, AnOlderMessageDoesNotReplaceWhatIsNewer)
{
    EnginePaces paces;
    paces.applyPublishedUsual("s", 20, clock.now());
    paces.applyPublished({ "s", "10.0.0.1:1", 40, clock.now() }, clock.now());
    paces.applyPublished({ "s", "10.0.0.1:1", 20, clock.now() - Milliseconds { 2000 } }, clock.now());
    DOUBLES_EQUAL(2, paces.paceOf("s", { "10.0.0.1", 1 }, clock.now()), 0.01);
}
