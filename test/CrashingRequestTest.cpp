// Requests came whose run ended each engine that began them. The relay took every loss for the engine's fault: it sent
// such a request on, up to five times an attempt, and let its caller come back at any VM for the same again. 23
// attempts of callers ended 64 engines in 30 seconds, 1.5 a second at the worst, and 126 of 416 other streams were
// late. What settled it: on 64 of 77 ended engines exactly one run had begun and made no event, on engines that were
// otherwise idle,
//     stream.engine-chosen endpoint=i-e93fb208fc being_read=0 waiting=0 generating=0
//     stream.run-lost endpoint=i-e93fb208fc failure=early-end last_event=0 run_ms=1948
//     stream.sent run=3 ... stream.run-lost run=3 failure=early-end last_event=0 ... stream.sent run=4
// while none of 57 other attempts with three sendings or more ever lost an engine so.
#include "RelayHarness.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(CrashingRequest)
{
    // Three crashes show what a request does; three retries may be under way by then.
    static constexpr std::size_t mostArrivals = 6;

    std::unique_ptr<RelayHarness> relay;
    std::vector<ScriptedEndpoint*> endpoints;

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        // No second sending of a call that is only slow.
        relay->settings.minHedgeDelay = relay->settings.maxHedgeDelay = Milliseconds { 100000 };
        relay->addRoute("stream", RequestKind::EventStream, 5);
        relay->addRoute("again", RequestKind::Idempotent, 2);
        relay->addRoute("once", RequestKind::NonIdempotent, 1);
    }

    void teardown() override
    {
        endpoints.clear();
        relay.reset();
    }

    ScriptedEndpoint& add(const std::string& id, const std::string& zone, ScriptedConnection::OnRequest script)
    {
        auto& endpoint = relay->addEndpoint(id, zone);
        endpoint.onRequest(std::move(script));
        endpoints.push_back(&endpoint);
        return endpoint;
    }

    void addInFourZones(std::size_t count, const ScriptedConnection::OnRequest& script)
    {
        const std::string zones = "abcd";
        for (std::size_t i = 0; i < count; ++i)
            add("e" + std::to_string(i), zones.substr(i % zones.size(), 1), script);
    }

    void ready()
    {
        relay->configure();
        relay->list();
    }

    void await(const std::shared_ptr<TestCaller>& caller)
    {
        CHECK_TEXT(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }), "no end came");
    }

    // The caller comes so often, each time with a request id of its own. Returns the last answer.
    std::shared_ptr<TestCaller> comeBack(const std::string& path, int times)
    {
        std::shared_ptr<TestCaller> caller;
        for (int i = 0; i < times; ++i) {
            caller = relay->call(path, {}, "r" + std::to_string(i));
            await(caller);
        }
        return caller;
    }

    std::size_t arrivals(const std::string& path) const
    {
        std::size_t count = 0;
        for (const auto* endpoint : endpoints) {
            for (const auto& request : endpoint->requests())
                count += request.find(path + " HTTP") != std::string::npos;
        }
        return count;
    }

    // The engine begins the run and ends, as the callers of its other runs see it, too.
    static void beginAndCrash(ScriptedConnection & asker, const std::string&)
    {
        asker.beginStream("X-Response-Signature: s\r\n");
        asker.close();
    }

    static void reset(ScriptedConnection & asker, const std::string&) { asker.reset(); }

    static ScriptedConnection::OnRequest serves()
    {
        return [](ScriptedConnection& asker, const std::string&) {
            asker.beginStream("X-Response-Signature: s\r\n");
            asker.sendEvent(1);
            asker.endStream();
        };
    }
};

TEST(CrashingRequest, IsRefusedAtOnceOnceThreeEnginesHaveEndedUnderIt)
{
    addInFourZones(16, beginAndCrash);
    ready();
    comeBack("/stream/1", 4);
    CHECK_TEXT(arrivals("/stream/1") >= 3, "three engines have to end before it is known");
    const auto before = arrivals("/stream/1");
    CHECK_TEXT(before <= mostArrivals, "a request is sent to engine after engine that it ends");
    const auto caller = comeBack("/stream/1", 1);
    LONGS_EQUAL_TEXT(503, caller->head.status, "this attempt has not run and will not");
    CHECK_TEXT(caller->header("Retry-After") != "absent", "the caller is told when to come back");
    LONGS_EQUAL(before, arrivals("/stream/1"));
}

TEST(CrashingRequest, IsNotSentOnToPlainServicesEither)
{
    addInFourZones(8, reset);
    ready();
    comeBack("/again/1", 6);
    CHECK_TEXT(arrivals("/again/1") >= 3, "three endpoints have to end before it is known");
    CHECK_TEXT(arrivals("/again/1") <= mostArrivals, "a call is sent to endpoint after endpoint that it ends");
}

TEST(CrashingRequest, ThatMayRunOnlyOnceAnAttemptIsNotSentAtItsNextAttempts)
{
    addInFourZones(12, reset);
    ready();
    comeBack("/once/1", 12);
    CHECK_TEXT(arrivals("/once/1") <= mostArrivals, "a call is sent to endpoint after endpoint that it ends");
}

TEST(CrashingRequest, HoldsNoOtherRequestBack)
{
    const auto script = [](ScriptedConnection& asker, const std::string& request) {
        if (request.find("/stream/1 ") != std::string::npos)
            beginAndCrash(asker, request);
        else
            serves()(asker, request);
    };
    addInFourZones(8, script);
    ready();
    comeBack("/stream/1", 4);
    LONGS_EQUAL(200, comeBack("/stream/2", 1)->head.status);
}

// Zone after zone loses all its engines at once, each time just after this request has begun there.
TEST(CrashingRequest, IsNotWhatARequestIsThatLosesItsEnginesWithTheirZones)
{
    constexpr std::size_t enginesInAZone = 3;
    const std::string zones = "abc";
    const auto begin
        = [](ScriptedConnection& asker, const std::string&) { asker.beginStream("X-Response-Signature: s\r\n"); };
    for (std::size_t i = 0; i < zones.size() * enginesInAZone; ++i)
        add("e" + std::to_string(i), zones.substr(i / enginesInAZone, 1), begin);
    ready();
    std::vector<std::shared_ptr<TestCaller>> others;
    for (std::size_t i = 0; i < endpoints.size(); ++i)
        others.push_back(relay->call("/stream/other" + std::to_string(i), {}, "o" + std::to_string(i)));
    const auto caller = relay->call("/stream/1");
    for (std::size_t lost = 0; lost < zones.size(); ++lost) {
        std::size_t zone = 0;
        const auto hasBegun = [&] {
            for (zone = 0; zone < zones.size(); ++zone) {
                std::size_t busy = 0;
                bool isThere = false;
                for (std::size_t i = 0; i < enginesInAZone; ++i) {
                    const auto& engine = *endpoints[zone * enginesInAZone + i];
                    busy += !engine.requests().empty();
                    for (const auto& request : engine.requests())
                        isThere = isThere || request.find("/stream/1 ") != std::string::npos;
                }
                if (isThere && busy == enginesInAZone)
                    return true;
            }
            return false;
        };
        CHECK_TEXT(relay->runUntil(hasBegun), "the request did not reach the next zone");
        for (std::size_t i = 0; i < enginesInAZone; ++i) {
            auto& engine = *endpoints[zone * enginesInAZone + i];
            engine.crash();
            engine.forgetRequests();
        }
        if (lost + 1 == zones.size()) {
            add("last", "d", serves());
            relay->list();
        }
    }
    await(caller);
    LONGS_EQUAL(200, caller->head.status);
}

// All callers asked for the same while the engines of a zone were gone and what stands before them still took
// connections: each stream lost four engines within a few milliseconds, and all callers were held back for 24 s, later
// for ten minutes (178 to 189 of 286 to 430 tries served where nine tenths have to be). What settled it: 28 of 28
// losses were of this form, on six VMs, most of them within 0.6 s after all VMs had started anew and knew of no loss,
//     quarantine.judged request=c8.2.4 endpoint=llm-7012-1 beginning=hidden worked_ms=0 weight_percent=50
// and the trial that followed met another engine that had gone. A stream's run begins with its prompt being read, which
// takes longer than any of these connections lasted. The store's return in between added nothing: the records came
// back as they were, and the holds ended when they would have ended without it.
TEST(CrashingRequest, IsNotWhatARequestIsThatMeetsEnginesThatHadGoneBeforeIt)
{
    addInFourZones(8, [](ScriptedConnection& asker, const std::string&) { asker.close(); });
    ready();
    comeBack("/stream/1", 4);
    for (std::size_t i = 0; i < 4; ++i)
        add("back" + std::to_string(i), "a", serves());
    relay->list();
    LONGS_EQUAL_TEXT(200, comeBack("/stream/1", 1)->head.status, "it is held for engines that it did not end");
}

// Each engine says that it leaves, and ends, just after the request has begun there.
TEST(CrashingRequest, IsNotWhatARequestIsThatMeetsARollingStop)
{
    constexpr int stops = 4;
    int stopped = 0;
    for (int i = 0; i < stops + 1; ++i) {
        const auto id = "e" + std::to_string(i);
        add(id, "a", [this, id, &stopped](ScriptedConnection& asker, const std::string& request) {
            if (stopped++ == stops) {
                serves()(asker, request);
                return;
            }
            asker.beginStream("X-Response-Signature: s\r\n");
            const auto now = relay->daemon().clock().now();
            auto entry = relay->daemon().directory().find(id)->entry();
            entry.isDraining = true;
            relay->daemon().directory().upsert(std::move(entry), now);
            asker.close();
        });
    }
    ready();
    const auto caller = relay->call("/stream/1");
    await(caller);
    LONGS_EQUAL(200, caller->head.status);
    LONGS_EQUAL(stops + 1, arrivals("/stream/1"));
}

// The only engine crashes and is back again and again, whatever it runs. An attempt waits for it only so long.
TEST(CrashingRequest, IsNotWhatARequestIsThatMeetsAReturningEngine)
{
    int crashes = 0;
    add("e1", "a", [&crashes](ScriptedConnection& asker, const std::string& request) {
        if (++crashes <= 4)
            beginAndCrash(asker, request);
        else
            serves()(asker, request);
    });
    ready();
    auto caller = comeBack("/stream/1", 1);
    for (int i = 0; i < 3 && caller->head.status != 200; ++i)
        caller = comeBack("/stream/1", 1);
    LONGS_EQUAL(200, caller->head.status);
    LONGS_EQUAL(5, crashes);
}

// Engines that end under another request take those with them that wait there for their first token.
TEST(CrashingRequest, IsNotWhatARequestIsThatOnlyWaitedBesideOne)
{
    int lost = 0;
    const auto script = [&lost](ScriptedConnection& asker, const std::string& request) {
        if (request.find("/stream/2 ") != std::string::npos || lost++ >= 4)
            serves()(asker, request);
        else
            asker.reset();
    };
    addInFourZones(8, script);
    ready();
    LONGS_EQUAL(200, comeBack("/stream/2", 1)->head.status);
    LONGS_EQUAL(200, comeBack("/stream/1", 1)->head.status);
    LONGS_EQUAL(5, arrivals("/stream/1"));
}

// Many ask for the same, and its endpoints crash around it; a moment ago it was served.
TEST(CrashingRequest, IsNotWhatARequestIsThatWasServedLately)
{
    int asked = 0;
    addInFourZones(12, [&asked](ScriptedConnection& asker, const std::string&) {
        if (++asked == 1 || asked > 9)
            asker.answer(200, "X-Response-Signature: s\r\n", "whole");
        else
            asker.reset();
    });
    ready();
    LONGS_EQUAL(200, comeBack("/once/1", 1)->head.status);
    comeBack("/once/1", 8);
    LONGS_EQUAL(200, comeBack("/once/1", 1)->head.status);
}
