// A stream continues only at the software version that began it, whoever continues it.

#include "FixedRunLocation.h"
#include "PartitionedFleet.h"
#include "RelayHarness.h"
#include "relay/EventStreamCall.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using lupinknot::platform::PartitionedFleet;
using lupinknot::platform::StoreFault;

TEST_GROUP(StreamVersion)
{
    std::unique_ptr<RelayHarness> relay;
    ScriptedEndpoint* runningEngine { nullptr };
    std::shared_ptr<ScriptedConnection> running;
    // The versions of the engines that got the runs of a stream, in order.
    std::vector<std::string> versionsUsed;

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        relay->settings.minTimeLeftForRelocation = Milliseconds { 0 };
        relay->settings.probeAfterSilenceWhenSuspected = Milliseconds { 5 };
        relay->settings.moveAfterPauseShare = 1000;
        relay->settings.relocationSpread = Milliseconds { 1 };
        relay->settings.relocateAfter = Milliseconds { 1 };
        relay->settings.retrySlackShare = 1;
        relay->settings.copies.copyOrderSpread = Milliseconds { 0 };
        relay->settings.copies.copyRetryInterval = Milliseconds { 10 };
        relay->settings.waitForEndpoint = Milliseconds { 50 };
        relay->settings.endpointRetryInterval = Milliseconds { 10 };
    }

    void teardown() override
    {
        running.reset();
        relay.reset();
    }

    void ready()
    {
        relay->addRoute("stream", RequestKind::EventStream, 5);
        relay->configure();
        relay->list();
    }

    // An engine of version v1 that sends two events and then waits. It accepts orders to copy or move the run.
    ScriptedEndpoint& addRunningEngine(std::vector<std::string> & orders)
    {
        auto& engine = relay->addEndpoint("e1", "a", "v1");
        runningEngine = &engine;
        engine.onRequest([this, &orders](ScriptedConnection& client, const std::string& request) {
            if (request.find("/stream/") != std::string::npos) {
                client.beginStream(signedHead);
                client.sendEvent(1);
                client.sendEvent(2);
                running = client.shared_from_this();
            } else if (request.find("/api/kv-move") != std::string::npos) {
                orders.push_back(request);
                client.answer(200, "", R"({"handle":"h1","create-rev":2})");
            } else {
                client.answer(200, "", "{}");
            }
        });
        return engine;
    }

    ScriptedEndpoint& addContinuingEngine(const std::string& id, const std::string& zone, const std::string& version)
    {
        auto& engine = relay->addEndpoint(id, zone, version);
        engine.onRequest([](ScriptedConnection& client, const std::string& request) {
            if (request.find("/stream/") == std::string::npos) {
                client.answer(200, "", "{}");
                return;
            }
            client.beginStream(signedHead);
            client.sendEvent(3);
            client.endStream();
        });
        return engine;
    }

    // An engine that sends two events of a new stream and then waits, and the third of a stream that continues.
    void addAnyEngine(const std::string& id, const std::string& zone, const std::string& version)
    {
        auto& engine = relay->addEndpoint(id, zone, version);
        engine.onRequest([this, version](ScriptedConnection& client, const std::string& request) {
            if (request.find("/stream/") == std::string::npos) {
                client.answer(200, "", "{}");
                return;
            }
            versionsUsed.push_back(version);
            client.beginStream(signedHead);
            if (request.find("Last-Event-Id: 2\r\n") != std::string::npos) {
                client.sendEvent(3);
                client.endStream();
                return;
            }
            client.sendEvent(1);
            client.sendEvent(2);
            running = client.shared_from_this();
        });
    }

    std::shared_ptr<TestCaller> beginStream()
    {
        auto caller = relay->call("/stream/1");
        CHECK(relay->runUntil([&] { return caller->body.find("id: 2\n") != std::string::npos; }));
        return caller;
    }

    void await(const std::shared_ptr<TestCaller>& caller)
    {
        CHECK_TEXT(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }), "the stream did not end");
    }

    // Removes the one of the engines that receives the copy of the run, or the first when none does.
    void removeCopyHolder(const std::string& first, const std::string& second)
    {
        auto& directory = relay->daemon().directory();
        const auto address = directory.find(second)->entry().address.text();
        const bool isSecond = relayed().find("X-Kv-Backup: " + address + "\r\n") != std::string::npos;
        directory.remove(isSecond ? second : first, relay->daemon().clock().now());
    }

    // The first request that the engine of the run has received.
    std::string relayed() const { return runningEngine->requests().front(); }

    // Waits until an order arrives, or for long enough that one would have arrived.
    void awaitOrders(const std::vector<std::string>& orders)
    {
        const auto& clock = relay->daemon().clock();
        relay->runUntil(
            [&, end = clock.now() + Milliseconds { 300 }] { return clock.now() >= end || !orders.empty(); });
    }

    static std::string portOf(const ScriptedEndpoint& endpoint) { return ":" + std::to_string(endpoint.port()); }
    static bool hasRun(const ScriptedEndpoint& endpoint)
    {
        for (const auto& request : endpoint.requests()) {
            if (request.find("/stream/") != std::string::npos)
                return true;
        }
        return false;
    }
};

// Guards against a lost run that continues, from its copy or from the prompt, at another version.
TEST(StreamVersion, ALostRunContinuesAtItsVersion)
{
    for (const auto& [id, version] : std::vector<std::pair<std::string, std::string>> {
             { "e1", "v1" }, { "e2", "v2" }, { "e3", "v1" }, { "e4", "v2" }, { "e5", "v1" }, { "e6", "v2" } })
        addAnyEngine(id, "zone-" + id, version);
    ready();
    for (int i = 0; i < 10; ++i) {
        versionsUsed.clear();
        const auto caller = beginStream();
        running->reset();
        await(caller);
        CHECK(caller->isWhole);
        LONGS_EQUAL(2, versionsUsed.size());
        STRCMP_EQUAL(versionsUsed[0].c_str(), versionsUsed[1].c_str());
    }
}

// Guards against copies at engines of another version, where no run can use them.
TEST(StreamVersion, TheCopyOfARunIsRequestedAtItsVersion)
{
    std::vector<std::string> orders;
    auto& engine = addRunningEngine(orders);
    addContinuingEngine("e2", "b", "v2");
    auto& same = addContinuingEngine("e3", "c", "v1");
    relay->settings.probeAfterSilenceWhenSuspected = Milliseconds { 1000 };
    ready();
    relay->daemon().directory().find("e3")->avoidUntil(Milliseconds { 0 });
    const auto caller = beginStream();
    STRCMP_CONTAINS(("X-Kv-Backup: 127.0.0.1" + portOf(same) + "\r\n").c_str(), engine.requests()[0].c_str());
}

// Guards against a run that is relocated to an engine of another version.
TEST(StreamVersion, ARunIsNotRelocatedToAnotherVersion)
{
    std::vector<std::string> orders;
    addRunningEngine(orders);
    addContinuingEngine("e2", "b", "v2");
    addContinuingEngine("e3", "b", "v2");
    ready();
    const auto caller = beginStream();
    removeCopyHolder("e2", "e3");
    awaitOrders(orders);
    CHECK(orders.empty());
}

// Guards against copies that are ordered for a running run at an engine of another version.
TEST(StreamVersion, ACopyIsNotOrderedAtAnotherVersion)
{
    relay->useCopyingService();
    std::vector<std::string> orders;
    addRunningEngine(orders);
    addContinuingEngine("e2", "b", "v2");
    addContinuingEngine("e3", "b", "v2");
    ready();
    const auto caller = beginStream();
    removeCopyHolder("e2", "e3");
    awaitOrders(orders);
    CHECK(orders.empty());
}

// Guards against events of two versions in one answer where the version that began it has no endpoint any more.
TEST(StreamVersion, AStreamWhoseVersionIsGoneEndsWithoutTheOther)
{
    std::vector<std::string> orders;
    addRunningEngine(orders);
    auto& other = addContinuingEngine("e2", "b", "v2");
    ready();
    const auto caller = beginStream();
    relay->daemon().directory().remove("e1", relay->daemon().clock().now());
    running->reset();
    await(caller);
    CHECK_FALSE_TEXT(caller->isWhole, "an incomplete stream must not look complete");
    CHECK_FALSE(hasRun(other));
}

// Guards against a stream of a candidate version that continues at the present one when it fails there.
TEST(StreamVersion, AStreamThatBeganAtACandidateDoesNotContinueAtThePresentVersion)
{
    addAnyEngine("e1", "a", "v2");
    addAnyEngine("e2", "b", "v1");
    addAnyEngine("e3", "c", "v2");
    ready();
    relay->daemon().beginRollout({ "s", "v2", Milliseconds { 10000 } });
    auto* const rollout = relay->daemon().rollouts().find("s");
    constexpr int requestsBefore = 100;
    for (int i = 0; i < requestsBefore; ++i)
        rollout->noteRequest();
    rollout->applyDirective(RolloutDirective::Try, relay->daemon().clock().now());
    const auto caller = beginStream();
    STRCMP_EQUAL("v2", versionsUsed[0].c_str());
    running->reset();
    await(caller);
    CHECK(caller->isWhole);
    STRCMP_EQUAL("v2", versionsUsed[1].c_str());
}

// Guards against a caller's stream that continues at any version because no VM knows which one began it.
TEST(StreamVersion, AResumedStreamOfUnknownVersionIsRefusedWhileTwoVersionsServe)
{
    auto& first = addContinuingEngine("e1", "a", "v1");
    auto& second = addContinuingEngine("e2", "b", "v2");
    ready();
    const auto caller = relay->call("/stream/1", { { "Last-Event-Id", "2" }, { "Resumes", "r0" } });
    await(caller);
    LONGS_EQUAL(503, caller->head.status);
    CHECK(caller->header("Retry-After") != "absent");
    CHECK_FALSE(hasRun(first) || hasRun(second));
}

TEST_GROUP(StreamVersionFleet)
{
    static constexpr std::size_t streamCount = 12;
    static constexpr std::uint64_t eventCount = 200;

    PartitionedFleet fleet { 3 };
    std::vector<std::shared_ptr<TestCaller>> callers;
    bool isOneSession { false };
    bool namesFirstAttempt { true };

    void setup() override
    {
        fleet.useEngines({ "v1", "v1", "v2", "v2" }, eventCount);
        CHECK(fleet.start());
    }

    // The streams of a session may have the same prompt.
    std::string promptOf(std::size_t stream) const { return isOneSession ? "5e55" : "a" + std::to_string(stream); }

    // Begins streams at the VM and waits until each has events.
    void beginStreams(std::size_t vm)
    {
        for (std::size_t i = 0; i < streamCount; ++i)
            callers.push_back(fleet.openStream(vm, "first" + std::to_string(i), promptOf(i)));
        CHECK(fleet.runUntil([&] {
            return std::all_of(
                callers.begin(), callers.end(), [](const auto& caller) { return lastEventOf(*caller) > 2; });
        }));
    }

    // Resumes each stream at the VM, as its caller does after the loss of a connection.
    std::vector<std::shared_ptr<TestCaller>> resumeStreams(std::size_t vm)
    {
        std::vector<std::shared_ptr<TestCaller>> resumed;
        for (std::size_t i = 0; i < callers.size(); ++i) {
            HttpHeaders headers { { "Last-Event-Id", std::to_string(lastEventOf(*callers[i])) } };
            if (namesFirstAttempt)
                headers.add("Resumes", "first" + std::to_string(i));
            resumed.push_back(fleet.openStream(vm, "second" + std::to_string(i), promptOf(i), headers));
        }
        CHECK(fleet.runUntil([&] {
            return std::all_of(resumed.begin(), resumed.end(), [](const auto& caller) {
                return caller->isWhole || caller->isBroken || caller->head.status == 503 || lastEventOf(*caller) > 0;
            });
        }));
        return resumed;
    }

    static std::uint64_t lastEventOf(const TestCaller& caller)
    {
        const auto end = caller.body.rfind("\n\n");
        const auto begin = caller.body.rfind("id: ", end);
        return end == std::string::npos || begin == std::string::npos ? 0 : std::stoull(caller.body.substr(begin + 4));
    }

    std::set<std::string> versionsOf(const TestCaller& caller) const
    {
        std::set<std::string> versions;
        const std::string mark = " by ";
        for (auto at = caller.body.find(mark); at != std::string::npos; at = caller.body.find(mark, at + 1)) {
            const auto end = caller.body.find('\n', at);
            if (end != std::string::npos)
                versions.insert(fleet.versionOf(caller.body.substr(at + mark.size(), end - at - mark.size())));
        }
        return versions;
    }

    // Number of resumed streams that got events.
    std::size_t expectOneVersionEach(const std::vector<std::shared_ptr<TestCaller>>& resumed)
    {
        std::size_t continued = 0;
        for (std::size_t i = 0; i < resumed.size(); ++i) {
            auto versions = versionsOf(*callers[i]);
            versions.merge(versionsOf(*resumed[i]));
            LONGS_EQUAL_TEXT(1, versions.size(), "a stream has events of two versions");
            continued += lastEventOf(*resumed[i]) > 0;
        }
        return continued;
    }

    // Terminates all VMs this long after the streams' first events, and starts one of them again.
    void checkMostContinueWhenAllVmsAreLost(Milliseconds afterFirstEvents)
    {
        beginStreams(0);
        fleet.runFor(afterFirstEvents);
        for (std::size_t i = 0; i < 3; ++i)
            fleet.stopVm(i);
        CHECK(fleet.startVm(1));
        const auto continued = expectOneVersionEach(resumeStreams(1));
        CHECK_TEXT(2 * continued >= streamCount, "fewer than half of the streams continued");
    }
};

// Guards against a caller who reaches another VM after the loss of the first and continues at another version.
TEST(StreamVersionFleet, AnotherVmContinuesAtTheVersionThatBegan)
{
    beginStreams(0);
    fleet.stopVm(0);
    LONGS_EQUAL(streamCount, expectOneVersionEach(resumeStreams(1)));
}

// Guards against VMs that continue at any version after all of them were terminated together.
TEST(StreamVersionFleet, AVmThatHasJustStartedContinuesAtTheVersionThatBegan)
{
    constexpr Milliseconds storeWriteInterval { 2500 };
    checkMostContinueWhenAllVmsAreLost(storeWriteInterval);
}

// Guards against the loss of streams whose version was not in the store yet when all VMs were terminated.
TEST(StreamVersionFleet, AStreamContinuesWhenAllVmsAreLostSoonAfterItsFirstEvent)
{
    checkMostContinueWhenAllVmsAreLost(Milliseconds { 700 });
}

// Guards against a VM that reaches neither the others nor the store and continues at any version.
TEST(StreamVersionFleet, AVmOutOfTouchDoesNotGuessTheVersion)
{
    beginStreams(0);
    fleet.store().setFault(StoreFault::Silent);
    fleet.stopVm(0);
    fleet.stopVm(2);
    expectOneVersionEach(resumeStreams(1));
}

// Guards against a stream that continues at the version of another one of its session.
TEST(StreamVersionFleet, StreamsOfOneSessionDoNotTakeEachOthersVersion)
{
    isOneSession = true;
    beginStreams(0);
    fleet.stopVm(0);
    CHECK(expectOneVersionEach(resumeStreams(1)) >= 1);
}

// Guards against the loss of a run's location where its caller names the prompt but not the attempt that it resumes.
TEST(StreamVersionFleet, ACallerThatNamesNoAttemptIsFoundByItsPrompt)
{
    namesFirstAttempt = false;
    beginStreams(0);
    fleet.stopVm(0);
    LONGS_EQUAL(streamCount, expectOneVersionEach(resumeStreams(1)));
}

TEST_GROUP(StreamOfASplitRoute) {};

// Guards against a resumed stream that goes to another service of its route, whose engines did not begin it.
TEST(StreamOfASplitRoute, StaysAtItsServiceWhenItsCallerResumesIt)
{
    RelayHarness relay;
    relay.divideAmong({ { "s", 1 }, { "t", 1 } });
    relay.addRoute("stream", RequestKind::EventStream, 5);
    std::string service;
    const auto serves = [&service](const std::string& name) {
        return [&service, name](ScriptedConnection& client, const std::string&) {
            service = name;
            client.answer(404, "X-Request-Id: any\r\nX-Response-Signature: s\r\n", "");
        };
    };
    auto& other = relay.addEndpoint("e2");
    relay.addEndpoint("e1").onRequest(serves("s"));
    other.onRequest(serves("t"));
    relay.configure();
    relay.list();
    const auto now = relay.daemon().clock().now();
    relay.daemon().directory().remove("e2", now);
    relay.daemon().directory().upsert({ "e3", "t", { "127.0.0.1", other.port() }, "a", 4, false, "v1" }, now);
    const auto serviceOf = [&](const HttpHeaders& headers, const std::string& id) {
        service.clear();
        const auto caller = relay.call("/stream/1", headers, id);
        CHECK(relay.runUntil([&] { return !service.empty(); }));
        return service;
    };
    for (int i = 0; i < 8; ++i) {
        const auto first = "r" + std::to_string(i);
        const auto begun = serviceOf({}, first);
        const auto resumed = serviceOf({ { "Resumes", first }, { "Last-Event-Id", "2" } }, "again" + first);
        STRCMP_EQUAL(begun.c_str(), resumed.c_str());
    }
}

TEST_GROUP(StreamOfAMovedRoute) {};

// Guards against a resumed stream that goes to an endpoint of the service from which its route has been moved.
TEST(StreamOfAMovedRoute, DoesNotContinueAtTheServiceThatTheRouteHasLeft)
{
    RelayHarness relay;
    relay.addRoute("stream", RequestKind::EventStream, 5);
    bool usedCopy = false;
    const auto serves = [&usedCopy](ScriptedConnection& client, const std::string& request) {
        usedCopy = usedCopy || request.find("Kv-From") != std::string::npos;
        client.beginStream(signedHeadFor(request));
        client.sendEvent(3);
        client.endStream();
    };
    auto& earlier = relay.addEndpoint("e1");
    auto& holder = relay.addEndpoint("e2");
    auto& current = relay.addEndpoint("e3");
    for (auto* endpoint : { &earlier, &holder, &current })
        endpoint->onRequest(serves);
    relay.configure();
    relay.list();
    auto& directory = relay.daemon().directory();
    const auto now = relay.daemon().clock().now();
    const SocketAddress holderAddress { "127.0.0.1", holder.port() };
    directory.remove("e1", now);
    directory.remove("e2", now);
    directory.upsert({ "old1", "earlier-service", { "127.0.0.1", earlier.port() }, "a", 4, false, "v1" }, now);
    directory.upsert({ "old2", "earlier-service", holderAddress, "a", 4, false, "v1" }, now);
    FixedRunLocation locations;
    locations.location = { "old1", "old2", "r0", holderAddress, "v1" };
    relay.daemon().setRunLocations(&locations);
    const auto caller = relay.call("/stream/1", { { "Resumes", "r0" }, { "Last-Event-Id", "2" } });
    CHECK(relay.runUntil([&] { return caller->isWhole || caller->isBroken; }));
    LONGS_EQUAL(200, caller->head.status);
    LONGS_EQUAL(1, current.requests().size());
    LONGS_EQUAL(0, earlier.requests().size());
    LONGS_EQUAL(0, holder.requests().size());
    CHECK_FALSE(usedCopy);
}
