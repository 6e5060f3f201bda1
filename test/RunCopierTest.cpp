#include "copies/RunCopier.h"
#include "RelayHarness.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(RunCopier)
{
    std::unique_ptr<RelayHarness> relay;
    // The engine of the run, in zone a. It sends event 1 and continues when the test says so.
    ScriptedEndpoint* engine { nullptr };
    std::shared_ptr<ScriptedConnection> running;
    std::vector<std::string> orders;
    std::vector<std::string> releases;
    std::function<void(ScriptedConnection&)> answerOrder;
    // The configuration's builder is empty once it has been applied.
    bool isConfigured { false };
    std::shared_ptr<TestCaller> caller;

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        relay->useCopyingService();
        relay->addRoute("stream", RequestKind::EventStream, 5);
        relay->settings.probeAfterSilenceWhenSuspected = Milliseconds { 5 };
        // The engine answers probes; its pauses, which depend on the test's machine, are no failure.
        relay->settings.moveAfterPauseShare = 1000;
        relay->settings.retrySlackShare = 1;
        relay->settings.copies.copyOrderSpread = Milliseconds { 0 };
        relay->settings.copies.copyRetryInterval = Milliseconds { 10 };
        answerOrder = [this](ScriptedConnection& asker) {
            asker.answer(200, "", R"({"handle":"h)" + std::to_string(orders.size()) + R"(","create-rev":1})");
        };
    }

    // The relay takes over its settings with the first endpoint.
    void addEngine()
    {
        engine = &relay->addEndpoint("e1", "a");
        engine->onRequest([this](ScriptedConnection& asker, const std::string& request) {
            if (request.find("POST /stream/") == 0) {
                asker.beginStream(signedHead);
                asker.sendEvent(1);
                running = asker.shared_from_this();
            } else if (request.find("POST /api/kv-move") == 0) {
                orders.push_back(request);
                answerOrder(asker);
            } else if (request.find("DELETE ") == 0) {
                releases.push_back(request.substr(0, request.find("\r\n")));
                asker.answer(200, "", "");
            } else {
                asker.answer(200, "", "{}");
            }
        });
    }

    void teardown() override
    {
        running.reset();
        caller.reset();
        relay.reset();
    }

    static void continues(ScriptedConnection & asker, const std::string&)
    {
        asker.beginStream(signedHead);
        asker.sendEvent(2);
        asker.endStream();
    }

    // Begins a stream at the engine and returns the id of the engine that gets its growing copy.
    std::string begin()
    {
        if (!std::exchange(isConfigured, true)) {
            relay->configure();
            relay->list();
        }
        caller = relay->call("/stream/1");
        CHECK(relay->runUntil([&] { return !caller->body.empty(); }));
        for (const char* const id : { "e2", "e3", "e4", "e5", "e6" }) {
            const auto endpoint = relay->daemon().directory().find(id);
            if (endpoint && engine->hasReceived(0, "X-Kv-Backup: " + endpoint->entry().address.text() + "\r\n"))
                return id;
        }
        return "";
    }

    void wait(Milliseconds time)
    {
        const auto& clock = relay->daemon().clock();
        relay->runUntil([&clock, end = clock.now() + time] { return clock.now() >= end; });
    }
    // A zone's failure must be later than the copies, by the milliseconds of the relay's clock.
    void awaitNextMillisecond()
    {
        const auto& clock = relay->daemon().clock();
        CHECK(relay->runUntil([&clock, start = clock.now()] { return clock.now() > start; }));
    }
    void failTogether(const std::vector<std::string>& ids)
    {
        auto& directory = relay->daemon().directory();
        for (const auto& id : ids)
            directory.noteFailure(*directory.find(id), relay->daemon().clock().now());
    }
    void expectNoneResumedFromACopy()
    {
        const auto metrics = relay->daemon().metrics().exposition();
        STRCMP_CONTAINS("\nlupinknot_relay_resumed_from_copy_total 0\n", metrics.c_str());
    }
    void remove(const std::string& id) { relay->daemon().directory().remove(id, relay->daemon().clock().now()); }
    bool awaitCopies(std::size_t count)
    {
        return relay->runUntil([&] { return orders.size() >= count && metric("renewed") == std::to_string(count); });
    }
    std::string metric(const std::string& kind)
    {
        const auto text = relay->daemon().metrics().exposition();
        const auto name = "\nlupinknot_relay_copies_" + kind + "_total ";
        const auto begin = text.find(name) + name.size();
        return text.substr(begin, text.find('\n', begin) - begin);
    }
    void expectWhole()
    {
        CHECK_TEXT(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }), "the stream did not end");
        STRCMP_EQUAL("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", caller->body.c_str());
    }
};

// Guards against renewals that stop the run or spend a retry, and against copies that hold memory after their stream.
TEST(RunCopier, TheRunGoesOnWhileItIsCopiedAndTheHandleIsDeletedAtItsEnd)
{
    relay->settings.retryRatio = 0;
    relay->settings.retrySlack = 0;
    addEngine();
    relay->addEndpoint("e2", "b");
    relay->addEndpoint("e3", "c");
    const auto holder = begin();
    remove(holder);
    CHECK(awaitCopies(1));
    STRCMP_EQUAL("1", metric("lost").c_str());
    CHECK_TEXT(orders[0].find("\"last\"") == std::string::npos, "the run must not be stopped");
    const auto target = relay->daemon().directory().find(holder == "e2" ? "e3" : "e2")->entry().address.text();
    STRCMP_CONTAINS(target.c_str(), orders[0].c_str());
    CHECK(releases.empty());
    running->sendEvent(2);
    running->endStream();
    expectWhole();
    CHECK(relay->runUntil([&] { return !releases.empty(); }));
    STRCMP_EQUAL("DELETE /api/kv-handle/h1 HTTP/1.1", releases[0].c_str());
}

// Guards against a stream that starts over although an ordered copy of it exists.
TEST(RunCopier, ContinuesFromTheOrderedCopyWhenTheEngineIsLost)
{
    addEngine();
    auto& second = relay->addEndpoint("e2", "b");
    auto& third = relay->addEndpoint("e3", "c");
    second.onRequest(continues);
    third.onRequest(continues);
    const auto holder = begin();
    remove(holder);
    CHECK(awaitCopies(1));
    running->reset();
    expectWhole();
    const auto source = relay->daemon().directory().find("e1")->entry().address.text();
    CHECK((holder == "e2" ? third : second).hasReceived(0, "Kv-From: " + source + "/h1\r\n"));
    // The lost run was stopped, which leaves a handle of its own.
    for (const auto& release : releases)
        STRCMP_EQUAL_TEXT("DELETE /api/kv-handle/h2 HTTP/1.1", release.c_str(), "the copy in use must not be freed");
}

// Guards against continuing at an engine that ended after it had received the ordered copy.
TEST(RunCopier, OrdersAnotherCopyWhenTheHolderEndsBeforeItIsUsed)
{
    addEngine();
    auto& second = relay->addEndpoint("e2", "b");
    auto& third = relay->addEndpoint("e3", "c");
    auto& fourth = relay->addEndpoint("e4", "c");
    for (auto* const endpoint : { &second, &third, &fourth })
        endpoint->onRequest(continues);
    remove(begin());
    CHECK(awaitCopies(1));
    const auto has = [this](const std::string& id, std::size_t order) {
        return orders[order].find(relay->daemon().directory().find(id)->entry().address.text()) != std::string::npos;
    };
    const std::string holder = has("e2", 0) ? "e2" : has("e3", 0) ? "e3" : "e4";
    remove(holder);
    CHECK(awaitCopies(2));
    CHECK_FALSE(has(holder, 1));
    CHECK_TEXT(relay->runUntil([&] { return !releases.empty(); }), "the first copy must be freed");
    STRCMP_EQUAL("2", metric("lost").c_str());
    running->reset();
    expectWhole();
    auto& last = has("e2", 1) ? second : has("e3", 1) ? third : fourth;
    CHECK(last.hasReceived(0, "/h2\r\n"));
}

// Guards against giving up the cover of a run, or asking for the same full target again, after a 503.
TEST(RunCopier, OrdersACopyAtAnotherTargetAfterEachRejection)
{
    addEngine();
    for (const std::string id : { "e2", "e3", "e4", "e5", "e6" })
        relay->addEndpoint(id, "b");
    answerOrder
        = [this](ScriptedConnection& asker) { asker.answer(orders.size() < 4 ? 503 : 200, "", R"({"handle":"h"})"); };
    remove(begin());
    CHECK(relay->runUntil([&] { return orders.size() == 4; }));
    CHECK_TEXT(std::set<std::string>(orders.begin(), orders.end()).size() == 4, "each order must name another target");
    running->sendEvent(2);
    running->endStream();
    expectWhole();
}

// Guards against a stream that starts over although another copy of it is known when the first engine has none.
TEST(RunCopier, TriesTheOtherCopyWhenTheFirstIsRejected)
{
    addEngine();
    auto& second = relay->addEndpoint("e2", "b");
    auto& third = relay->addEndpoint("e3", "c");
    const auto holder = begin();
    auto& growing = holder == "e2" ? second : third;
    auto& ordered = holder == "e2" ? third : second;
    const auto entry = relay->daemon().directory().find(holder)->entry();
    growing.onRequest([](ScriptedConnection& asker, const std::string&) {
        asker.answer(503, "X-Request-Id: r1\r\nX-Not-Executed: 1\r\n", "");
    });
    ordered.onRequest(continues);
    remove(holder);
    CHECK(awaitCopies(1));
    // The list contains the holder again: its entry had only expired.
    relay->daemon().directory().upsert(entry, relay->daemon().clock().now());
    running->reset();
    expectWhole();
    CHECK_TEXT(growing.hasReceived(0, "/r1\r\n"), "the growing copy is the newest one");
    CHECK(ordered.hasReceived(0, "/h1\r\n"));
}

// Guards against memory held at the target when the stream ends while the order is under way.
TEST(RunCopier, DeletesTheHandleOfACopyThatIsMadeAfterTheStreamEnded)
{
    addEngine();
    relay->addEndpoint("e2", "b");
    relay->addEndpoint("e3", "c");
    std::shared_ptr<ScriptedConnection> ordering;
    answerOrder = [&](ScriptedConnection& asker) { ordering = asker.shared_from_this(); };
    remove(begin());
    CHECK(relay->runUntil([&] { return ordering != nullptr; }));
    running->sendEvent(2);
    running->endStream();
    expectWhole();
    ordering->answer(200, "", R"({"handle":"late"})");
    CHECK(relay->runUntil([&] { return !releases.empty(); }));
    STRCMP_EQUAL("DELETE /api/kv-handle/late HTTP/1.1", releases[0].c_str());
    ordering.reset();
}

// Guards against memory held at the target when a silent engine makes the copy after the order has timed out.
TEST(RunCopier, DeletesTheHandleOfACopyThatAnotherHasReplaced)
{
    relay->settings.copies.copyOrderTimeout = Milliseconds { 10 };
    addEngine();
    relay->addEndpoint("e2", "b");
    relay->addEndpoint("e3", "c");
    relay->addEndpoint("e4", "c");
    std::shared_ptr<ScriptedConnection> ordering;
    answerOrder = [&, first = true](ScriptedConnection& asker) mutable {
        if (std::exchange(first, false))
            ordering = asker.shared_from_this();
        else
            asker.answer(200, "", R"({"handle":"second"})");
    };
    remove(begin());
    CHECK(relay->runUntil([&] { return metric("renewed") == "1"; }));
    ordering->answer(200, "", R"({"handle":"late"})");
    CHECK(relay->runUntil([&] { return !releases.empty(); }));
    STRCMP_EQUAL("DELETE /api/kv-handle/late HTTP/1.1", releases[0].c_str());
    ordering.reset();
}

// Guards against a stream that starts over although a silent engine has made the copy after all.
TEST(RunCopier, ContinuesFromACopyThatIsMadeAfterTheOrderTimedOut)
{
    relay->settings.copies.copyOrderTimeout = Milliseconds { 10 };
    relay->settings.copies.copyRetryInterval = Milliseconds { 60000 };
    addEngine();
    auto& second = relay->addEndpoint("e2", "b");
    auto& third = relay->addEndpoint("e3", "c");
    second.onRequest(continues);
    third.onRequest(continues);
    std::shared_ptr<ScriptedConnection> ordering;
    answerOrder = [&](ScriptedConnection& asker) { ordering = asker.shared_from_this(); };
    const auto holder = begin();
    remove(holder);
    CHECK(relay->runUntil([&] { return ordering != nullptr; }));
    wait(Milliseconds { 40 });
    ordering->answer(200, "", R"({"handle":"late"})");
    CHECK(awaitCopies(1));
    running->reset();
    expectWhole();
    CHECK((holder == "e2" ? third : second).hasReceived(0, "/late\r\n"));
    ordering.reset();
}

// Guards against memory held at the target when the engine is silent until after the end of the stream.
TEST(RunCopier, DeletesTheHandleWhenTheEngineAnswersLongAfterTheStreamEnded)
{
    relay->settings.copies.copyOrderTimeout = Milliseconds { 10 };
    addEngine();
    relay->addEndpoint("e2", "b");
    relay->addEndpoint("e3", "c");
    std::shared_ptr<ScriptedConnection> ordering;
    answerOrder = [&](ScriptedConnection& asker) { ordering = asker.shared_from_this(); };
    remove(begin());
    CHECK(relay->runUntil([&] { return ordering != nullptr; }));
    running->sendEvent(2);
    running->endStream();
    expectWhole();
    wait(Milliseconds { 40 });
    ordering->answer(200, "", R"({"handle":"late"})");
    CHECK(relay->runUntil([&] { return !releases.empty(); }));
    STRCMP_EQUAL("DELETE /api/kv-handle/late HTTP/1.1", releases[0].c_str());
    ordering.reset();
}

// Guards against a deletion that is withdrawn before a silent engine has read it.
TEST(RunCopier, TheDeletionOfAHandleReachesAnEngineThatIsSilentForASecond)
{
    addEngine();
    relay->addEndpoint("e2", "b");
    relay->addEndpoint("e3", "c");
    std::shared_ptr<ScriptedConnection> deleting;
    engine->onRequest(
        [this, &deleting, script = engine->script()](ScriptedConnection& asker, const std::string& request) {
            if (request.find("DELETE ") == 0)
                deleting = asker.shared_from_this();
            else
                script(asker, request);
        });
    remove(begin());
    CHECK(awaitCopies(1));
    running->sendEvent(2);
    running->endStream();
    expectWhole();
    CHECK(relay->runUntil([&] { return deleting != nullptr; }));
    wait(Milliseconds { 1000 });
    CHECK_FALSE(deleting->isClosedByPeer());
    deleting.reset();
}

// Guards against a handle that expires during the stream.
TEST(RunCopier, RefreshesTheCopyAtItsHolder)
{
    relay->useCopyingService(Milliseconds { 500 });
    addEngine();
    relay->addEndpoint("e2", "b");
    relay->addEndpoint("e3", "c");
    remove(begin());
    CHECK(relay->runUntil([&] { return orders.size() == 3; }));
    STRCMP_EQUAL(orders[0].c_str(), orders[1].c_str());
    STRCMP_EQUAL(orders[0].c_str(), orders[2].c_str());
    STRCMP_EQUAL_TEXT("1", metric("renewed").c_str(), "a refresh is not a new copy");
    STRCMP_EQUAL_TEXT("1", metric("lost").c_str(), "the copy must be refreshed before it expires");
    CHECK_TEXT(releases.empty(), "the copy must be kept");
}

// Guards against a retry that is spent on a copy whose engine has restarted with its zone.
TEST(RunCopier, DoesNotContinueFromACopyInAZoneThatHasFailedSince)
{
    relay->settings.avoidZone = relay->settings.suspectAfterZoneFailure = Milliseconds { 0 };
    addEngine();
    answerOrder = [](ScriptedConnection& asker) { asker.answer(503, "", ""); };
    for (auto* const endpoint : { &relay->addEndpoint("e2", "b"), &relay->addEndpoint("e3", "b") })
        endpoint->onRequest(continues);
    begin();
    awaitNextMillisecond();
    failTogether({ "e2", "e3" });
    running->reset();
    expectWhole();
    expectNoneResumedFromACopy();
}

// Guards against the same when the zone fails while another copy is tried.
TEST(RunCopier, DoesNotTryACopyWhoseZoneHasFailedInTheMeantime)
{
    relay->settings.avoidZone = relay->settings.suspectAfterZoneFailure = Milliseconds { 0 };
    addEngine();
    auto& growing = relay->addEndpoint("e2", "b");
    relay->addEndpoint("e3", "c").onRequest(continues);
    auto& other = relay->addEndpoint("e4", "c");
    growing.onRequest([this](ScriptedConnection& asker, const std::string&) {
        failTogether({ "e3", "e4" });
        asker.answer(503, "X-Request-Id: r1\r\nX-Not-Executed: 1\r\n", "");
    });
    other.onRequest(continues);
    while (begin() != "e2") {
        running->sendEvent(2);
        running->endStream();
        expectWhole();
        engine->forgetRequests();
    }
    const auto entry = relay->daemon().directory().find("e2")->entry();
    remove("e2");
    CHECK(awaitCopies(1));
    relay->daemon().directory().upsert(entry, relay->daemon().clock().now());
    awaitNextMillisecond();
    running->reset();
    expectWhole();
    CHECK(growing.hasReceived(0, "Kv-From"));
    expectNoneResumedFromACopy();
}

// Guards against a handle of the earlier process that is that of another run after the engine's restart.
TEST(RunCopier, ReleasesNoHandleAtAnEngineWhoseZoneHasFailed)
{
    relay->settings.avoidZone = relay->settings.suspectAfterZoneFailure = Milliseconds { 0 };
    addEngine();
    relay->addEndpoint("e2", "b").onRequest(continues);
    relay->addEndpoint("e3", "c").onRequest(continues);
    remove(begin());
    CHECK(awaitCopies(1));
    awaitNextMillisecond();
    auto& directory = relay->daemon().directory();
    const auto now = relay->daemon().clock().now();
    CHECK(directory.applyZoneFailure({ directory.find("e1")->entry().service, "a", now, now, 5 }, now));
    running->reset();
    expectWhole();
    const auto end = relay->daemon().clock().now() + Milliseconds { 50 };
    relay->runUntil([&] { return relay->daemon().clock().now() > end; });
    // The engine's answer to the request to stop the run names a handle of its own, which is freed.
    CHECK(std::none_of(releases.begin(), releases.end(),
        [](const auto& release) { return release.find("/h1 ") != std::string::npos; }));
}

// Guards against the deletion of a copy whose refresh is answered while the stream is about to continue from it.
TEST(RunCopier, DoesNotDeleteTheCopyThatAContinuationWaitsForWhenItsRefreshIsAnswered)
{
    relay->useCopyingService(Milliseconds { 500 });
    relay->settings.probeAfterSilence = Milliseconds { 10 };
    relay->settings.probeTimeout = Milliseconds { 10 };
    std::shared_ptr<ScriptedConnection> refresh;
    bool isSilent = false;
    bool hasContinued = false;
    answerOrder = [&](ScriptedConnection& asker) {
        if (orders.size() == 1) {
            asker.answer(200, "", R"({"handle":"h1","create-rev":1})");
        } else if (!refresh) {
            refresh = asker.shared_from_this();
            isSilent = true;
        }
    };
    engine = &relay->addEndpoint("e1", "a");
    engine->onRequest([&](ScriptedConnection& asker, const std::string& request) {
        if (request.find("POST /stream/") == 0) {
            asker.beginStream(signedHead);
            asker.sendEvent(1);
            running = asker.shared_from_this();
        } else if (request.find("POST /api/kv-move") == 0) {
            orders.push_back(request);
            answerOrder(asker);
        } else if (request.find("DELETE ") == 0) {
            releases.push_back(request.substr(0, request.find("\r\n")));
            asker.answer(200, "", "");
        } else if (!isSilent) {
            asker.answer(200, "", "{}");
        }
    });
    const auto hold = [&](ScriptedConnection& asker, const std::string& request) {
        if (request.find("Kv-From: ") != std::string::npos)
            hasContinued = true;
        else if (request.find("POST /stream/") != 0)
            asker.answer(200, "", "{}");
    };
    relay->addEndpoint("e2", "b").onRequest(hold);
    relay->addEndpoint("e3", "c").onRequest(hold);
    remove(begin());
    CHECK_TEXT(relay->runUntil([&] { return hasContinued; }), "the copy was not tried");
    wait(Milliseconds { 250 });
    refresh->answer(200, "", R"({"handle":"h1","create-rev":1})");
    wait(Milliseconds { 100 });
    for (const auto& release : releases)
        CHECK_TEXT(release.find("/h1 ") == std::string::npos, "the copy in use must not be freed");
}
