#include "admission/AnswerLateness.h"
#include "RelayHarness.h"
#include "admission/FirstAttemptEstimate.h"
#include "relay/EngineForecast.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(AnswerLateness)
{
    StreamState state { .objective = Milliseconds { 4000 }, .longestPause = Milliseconds { 700 } };

    void check(Lateness expected, int now) const { CHECK(latenessOf(state, Milliseconds { now }) == expected); }
};

TEST(AnswerLateness, BeforeTheFirstEventTheObjectiveDecides)
{
    check(Lateness::InTime, 4000);
    check(Lateness::ObjectivePassed, 4001);
    state.firstAttemptAt = Milliseconds { -500 };
    check(Lateness::ObjectivePassed, 3501);
    state.firstEventForecast = Milliseconds { 3000 };
    check(Lateness::InTime, 500);
    check(Lateness::ByForecast, 501);
}

TEST(AnswerLateness, InMidStreamThePauseAndTheCopyDecide)
{
    state.isMidStream = true;
    state.lastEventAt = Milliseconds { 9000 };
    check(Lateness::WithoutCopy, 9100);
    state.isPromptCached = true;
    check(Lateness::InTime, 9700);
    check(Lateness::PausePassed, 9701);
}

TEST(AnswerLateness, TheServiceLacksRoomAboveHalfOfTheObjective)
{
    CHECK_FALSE(lacksRoom(state));
    state.firstEventForecast = Milliseconds { 2000 };
    CHECK_FALSE(lacksRoom(state));
    state.firstEventForecast = Milliseconds { 2001 };
    CHECK(lacksRoom(state));
}

TEST(AnswerLateness, TheForecastCountsOnlyPromptsThatAreReadBefore)
{
    const EnginePace pace { 0.125, 8000 };
    const EngineReport report { .promptsInPrefill = 1, .promptsWaiting = 4, .generating = 6 };
    LONGS_EQUAL(500 + 1000, forecastFirstEvent({ 8000, 0 }, report, 0, pace, 0).count());
    LONGS_EQUAL(500 + 4000 + 1000, forecastFirstEvent({ 8000, 0 }, report, 0, pace, 1).count());
    LONGS_EQUAL_TEXT(500 + 4000 + 1000 + 1000, forecastFirstEvent({ 8000, 0 }, report, 6, pace, 1).count(),
        "a prompt that this VM sent after the report counts");
}

TEST_GROUP(FirstAttemptEstimate) { FirstAttemptEstimate estimate; };

TEST(FirstAttemptEstimate, AShorterTimeoutShowsARetry)
{
    for (int i = 0; i < 12; ++i)
        LONGS_EQUAL(0, estimate.add(Milliseconds { 25000 - i }).count());
    LONGS_EQUAL(1500, estimate.add(Milliseconds { 23500 }).count());
}

// Guards against treating callers with a shorter timeout as late from the start.
TEST(FirstAttemptEstimate, ATimeoutThatSeveralCallersStateIsASetting)
{
    for (int i = 0; i < 12; ++i)
        estimate.add(Milliseconds { 25000 });
    for (int i = 0; i < 3; ++i)
        estimate.add(Milliseconds { 12000 });
    LONGS_EQUAL(0, estimate.add(Milliseconds { 12000 }).count());
}

// Guards against one caller with a long timeout that makes all others look like retries.
TEST(FirstAttemptEstimate, ASingleLongTimeoutHasNoEffectOnOthers)
{
    for (int i = 0; i < 12; ++i)
        estimate.add(Milliseconds { 10000 + 100 * i });
    estimate.add(Milliseconds { 60000 });
    LONGS_EQUAL(0, estimate.add(Milliseconds { 10050 }).count());
}

TEST_GROUP(PriorityOfLateAnswers)
{
    std::unique_ptr<RelayHarness> relay;

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        relay->useEngineService();
        relay->useRank(0);
        relay->addRoute("stream", RequestKind::EventStream, 5);
    }

    void teardown() override { relay.reset(); }

    // Adds an engine that reports so many waiting prompts and serves events after the last one of the request.
    ScriptedEndpoint& addEngine(const std::string& id, const std::string& zone, int waiting)
    {
        auto& engine = relay->addEndpoint(id, zone);
        engine.onRequest([waiting](ScriptedConnection& client, const std::string& request) {
            if (request.find("/stream/") == std::string::npos) {
                client.answer(200, "",
                    R"({"waiting":)" + std::to_string(waiting) + R"(,"running":0,"kv-used":0,"kv-total":0,"runs":[]})");
                return;
            }
            const auto field = request.find("Last-Event-Id: ");
            const int last = field == std::string::npos ? 0 : std::stoi(request.substr(field + 15));
            client.beginStream(signedHead);
            client.sendEvent(last + 1);
            client.sendEvent(last + 2);
            client.endStream();
        });
        return engine;
    }

    void serve()
    {
        relay->configure();
        relay->list();
        const auto caller = relay->call("/stream/1", { { "X-Token-Usage", "1000,100" } });
        CHECK(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }));
        CHECK(caller->isWhole);
    }

    static bool hasSent(const ScriptedEndpoint& engine, const std::string& text)
    {
        for (const auto& request : engine.requests()) {
            if (request.find("/stream/") != std::string::npos && request.find(text) != std::string::npos)
                return true;
        }
        return false;
    }
};

// Guards against answers that are certain to be late and delay those that can be in time. The objective is 1 s, a
// prompt of usual length takes 1 s.
TEST(PriorityOfLateAnswers, AnAnswerThatIsLateByForecastYields)
{
    auto& first = addEngine("e1", "a", 20);
    auto& second = addEngine("e2", "a", 20);
    serve();
    CHECK(hasSent(first, "X-Request-Priority: 8\r\n") || hasSent(second, "X-Request-Priority: 8\r\n"));
}

TEST(PriorityOfLateAnswers, AnAnswerThatCanBeInTimeGoesToSuchAnEngine)
{
    addEngine("e1", "a", 20);
    auto& idle = addEngine("e2", "b", 0);
    serve();
    CHECK(hasSent(idle, "X-Request-Priority: 0\r\n"));
}

// Guards against a run that repeats its prefill in mid-stream, late already, in front of answers in time.
TEST(PriorityOfLateAnswers, AStreamThatGoesOnWithoutACopyYields)
{
    relay->addEndpoint("e1", "a").onRequest([](ScriptedConnection& client, const std::string& request) {
        if (request.find("/stream/") == std::string::npos) {
            client.answer(200, "", R"({"waiting":0,"running":0,"kv-used":0,"kv-total":0,"runs":[]})");
            return;
        }
        client.beginStream(signedHead);
        client.sendEvent(1);
        client.sendChunk("id: 2\ndata: ha");
        client.endStream();
    });
    relay->settings.policies.switchOff(Policy::GrowingCopies);
    auto& other = addEngine("e2", "a", 3);
    serve();
    CHECK(hasSent(other, "X-Request-Priority: 8\r\n"));
}
