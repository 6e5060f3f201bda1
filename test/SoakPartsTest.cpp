#include "../platform/standin/EngineStandIn.h"
#include "EngineRunLog.h"
#include "LoopbackProxy.h"
#include "RawConnection.h"
#include "ReservedPort.h"
#include "RunUntil.h"
#include "ScriptedEndpoint.h"
#include "SoakWorld.h"
#include "StreamEnd.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::soak;

TEST_GROUP(DisturbanceLog) {};

TEST(DisturbanceLog, AnOpenDisturbanceOverlapsAnyLaterPeriod)
{
    DisturbanceLog log;
    log.begin(Milliseconds { 100 });
    CHECK(log.overlaps(Milliseconds { 500 }, Milliseconds { 600 }));
    CHECK_FALSE(log.overlaps(Milliseconds { 10 }, Milliseconds { 99 }));
}

TEST(DisturbanceLog, AnEndedDisturbanceOverlapsNoLaterPeriod)
{
    DisturbanceLog log;
    log.begin(Milliseconds { 100 });
    log.end(Milliseconds { 200 });
    CHECK(log.overlaps(Milliseconds { 150 }, Milliseconds { 900 }));
    CHECK_FALSE(log.overlaps(Milliseconds { 201 }, Milliseconds { 900 }));
}

TEST(DisturbanceLog, NamesTheEarliestBeginAmongThoseOfThePeriod)
{
    DisturbanceLog log;
    log.begin(Milliseconds { 100 });
    log.end(Milliseconds { 200 });
    log.begin(Milliseconds { 400 });
    log.begin(Milliseconds { 500 });
    CHECK(log.firstBegin(Milliseconds { 300 }, Milliseconds { 900 }) == Milliseconds { 400 });
    CHECK_FALSE(log.firstBegin(Milliseconds { 201 }, Milliseconds { 399 }).has_value());
}

// A verdict that excuses too much would let the soak pass although streams are broken off, and one that excuses too
// little would report what no VM can avoid.
TEST_GROUP(StreamEnd)
{
    static constexpr Milliseconds sentAt { 20000 };
    static constexpr Milliseconds endedAt { 22000 };
    CallRecord call;
    DisturbanceLog vm;
    DisturbanceLog engine;
    DisturbanceLog stops;
    StreamFaults faults;

    void setup() override
    {
        call.status = 200;
        call.sentAt = sentAt;
        call.endedAt = endedAt;
        call.deadline = sentAt + Milliseconds { 20000 };
        faults.unplanned = { &vm, &engine };
        faults.plannedStops = &stops;
    }

    void check(StreamEnd expected)
    {
        STRCMP_EQUAL(std::string(nameIn(streamEndNames, expected)).c_str(),
            std::string(nameIn(streamEndNames, streamEndOf(call, faults))).c_str());
    }
};

TEST(StreamEnd, AConnectionThatEndsWithoutReasonIsBrokenOff) { check(StreamEnd::BrokenOff); }

TEST(StreamEnd, AStreamThatHasNotBegunIsNotBrokenOff)
{
    call.status = 0;
    check(StreamEnd::NotBegun);
    call.status = 503;
    check(StreamEnd::NotBegun);
}

TEST(StreamEnd, ACompleteStreamIsNotBrokenOff)
{
    call.isComplete = true;
    check(StreamEnd::Complete);
}

TEST(StreamEnd, ACallerThatLeavesBreaksOffItself)
{
    call.isAbandoned = true;
    check(StreamEnd::CallerLeft);
}

TEST(StreamEnd, TheDeadlineEndsAStreamOnlyOnceItHasPassed)
{
    call.deadline = endedAt;
    check(StreamEnd::DeadlinePassed);
    call.deadline = endedAt + Milliseconds { 1 };
    check(StreamEnd::BrokenOff);
}

TEST(StreamEnd, TheEndOfAnEngineIsNoFaultOfTheVm)
{
    faults.hasEngineEnded = true;
    check(StreamEnd::EngineEnded);
}

TEST(StreamEnd, AnUnplannedFaultExcusesTheStreamsOfItsTime)
{
    engine.add(sentAt - Milliseconds { 3000 });
    check(StreamEnd::Disturbed);
    call.sentAt += Milliseconds { 1 };
    check(StreamEnd::BrokenOff);
    vm.begin(endedAt);
    check(StreamEnd::Disturbed);
}

TEST(StreamEnd, AFaultAfterTheEndExcusesNothing)
{
    vm.begin(endedAt + Milliseconds { 1 });
    check(StreamEnd::BrokenOff);
}

TEST(StreamEnd, AVmThatIsStoppedBreaksOffNothingWithinItsGrace)
{
    stops.begin(sentAt);
    check(StreamEnd::BrokenOff);
    call.endedAt = sentAt + Milliseconds { 6666 };
    check(StreamEnd::BrokenOff);
    call.endedAt = sentAt + Milliseconds { 6667 };
    check(StreamEnd::GraceOver);
}

TEST(StreamEnd, AVmThatIsStoppedCompletesWhatItAcceptsMuchLater)
{
    stops.begin(sentAt - Milliseconds { 3001 });
    call.endedAt = sentAt + Milliseconds { 4900 };
    check(StreamEnd::BrokenOff);
    call.sentAt -= Milliseconds { 1 };
    check(StreamEnd::GraceOver);
}

TEST_GROUP(EvenShare)
{
    platform::EvenShare share;

    std::string chosen(std::size_t count)
    {
        std::string text;
        for (std::size_t i = 0; i < count; ++i)
            text += share.next() ? 'x' : '.';
        return text;
    }
};

TEST(EvenShare, ChoosesNoneUntilItIsSet)
{
    STRCMP_EQUAL("....", chosen(4).c_str());
    share.set(0, 10);
    STRCMP_EQUAL("....", chosen(4).c_str());
}

TEST(EvenShare, SpreadsThreeInTen)
{
    share.set(3, 10);
    STRCMP_EQUAL("...x..x..x...x..x..x", chosen(20).c_str());
}

TEST(EvenShare, ChoosesAllOfAWhole)
{
    share.set(1, 1);
    STRCMP_EQUAL("xxx", chosen(3).c_str());
}

TEST_GROUP(LoopbackProxy)
{
    boost::asio::io_context ioContext;

    // What the caller behind the proxy has received once the endpoint has responded to its request, or after at most
    // 200 polls of the io_context.
    std::string responseThrough(LinkMode mode)
    {
        ScriptedEndpoint endpoint(ioContext);
        endpoint.onRequest([](ScriptedConnection& asker, const std::string&) { asker.answer(200, "", "whole"); });
        boost::asio::ip::tcp::acceptor reserved(ioContext, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        const SocketAddress own { "127.0.0.1", reserved.local_endpoint().port() };
        reserved.close();
        LoopbackProxy proxy(ioContext, own, { "127.0.0.1", endpoint.port() });
        proxy.setMode(mode);
        boost::asio::ip::tcp::socket socket(ioContext);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(own.port) });
        boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        std::string received;
        char piece[512];
        socket.async_read_some(boost::asio::buffer(piece),
            [&](boost::system::error_code, std::size_t size) { received.assign(piece, size); });
        constexpr int mostTurns = 200;
        for (int turn = 0; turn < mostTurns && received.empty(); ++turn) {
            ioContext.run_one_for(std::chrono::milliseconds(2));
            ioContext.restart();
        }
        requests = endpoint.requests().size();
        socket.cancel();
        proxy.resetConnections();
        ioContext.poll();
        ioContext.restart();
        return received;
    }

    std::size_t requests { 0 };
};

TEST(LoopbackProxy, ForwardsBothDirections)
{
    STRCMP_CONTAINS("whole", responseThrough(LinkMode::Pass).c_str());
    LONGS_EQUAL(1, requests);
}

TEST(LoopbackProxy, DropFromTargetLosesOnlyTheResponse)
{
    STRCMP_EQUAL("", responseThrough(LinkMode::DropFromTarget).c_str());
    LONGS_EQUAL(1, requests);
}

TEST(LoopbackProxy, DropToTargetLosesTheRequest)
{
    STRCMP_EQUAL("", responseThrough(LinkMode::DropToTarget).c_str());
    LONGS_EQUAL(0, requests);
}

// A proxy that does not repeat an answer would let the soak pass without having tested anything.
TEST(LoopbackProxy, RepeatsTheLastAnswerBeforeTheNextRequest)
{
    ScriptedEndpoint endpoint(ioContext);
    endpoint.onRequest([](ScriptedConnection& caller, const std::string& request) {
        caller.answer(200, "X-Request-Id: r\r\n", request.substr(0, request.find(' ')));
    });
    const ReservedPort own(ioContext);
    LoopbackProxy proxy(ioContext, { "127.0.0.1", own.number() }, { "127.0.0.1", endpoint.port() });
    proxy.setMode(LinkMode::RepeatAnswers);
    boost::asio::ip::tcp::socket socket(ioContext);
    socket.connect({ boost::asio::ip::address_v4::loopback(), own.number() });
    std::string received;
    for (const std::string method : { "ONE", "TWO", "THREE" }) {
        boost::asio::write(socket, boost::asio::buffer(method + " / HTTP/1.1\r\n\r\n"));
        const auto isAnswered = [&] {
            char piece[512];
            boost::system::error_code error;
            socket.non_blocking(true);
            received.append(piece, socket.read_some(boost::asio::buffer(piece), error));
            return received.size() >= method.size() && received.substr(received.size() - method.size()) == method;
        };
        CHECK(runUntil(ioContext, isAnswered));
    }
    const auto count = [&received](const std::string& text) {
        std::size_t found = 0;
        for (auto at = received.find(text); at != std::string::npos; at = received.find(text, at + 1))
            ++found;
        return found;
    };
    LONGS_EQUAL(2, count("ONE"));
    LONGS_EQUAL(2, count("TWO"));
    LONGS_EQUAL(1, count("THREE"));
    LONGS_EQUAL_TEXT(4, count("X-Request-Id: r"), "the second repetition names no request");
    socket.close();
    proxy.resetConnections();
    ioContext.poll();
}

// A proxy that resets none would let the soak pass without having tested anything.
TEST(LoopbackProxy, ResetsThreeInTenArrivals)
{
    ScriptedEndpoint endpoint(ioContext);
    endpoint.onRequest([](ScriptedConnection& asker, const std::string&) { asker.answer(200, "", "whole"); });
    const ReservedPort own(ioContext);
    LoopbackProxy proxy(ioContext, { "127.0.0.1", own.number() }, { "127.0.0.1", endpoint.port() });
    proxy.resetArrivals(3);
    std::string outcomes;
    constexpr int arrivals = 10;
    for (int i = 0; i < arrivals; ++i) {
        boost::asio::ip::tcp::socket socket(ioContext);
        socket.connect({ boost::asio::ip::address_v4::loopback(), own.number() });
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")), error);
        socket.non_blocking(true);
        char piece[512];
        CHECK(runUntil(ioContext, [&] {
            socket.read_some(boost::asio::buffer(piece), error);
            return error != boost::asio::error::would_block;
        }));
        outcomes += error ? 'x' : '.';
    }
    STRCMP_EQUAL("...x..x..x", outcomes.c_str());
    LONGS_EQUAL(7, endpoint.requests().size());
    proxy.resetConnections();
    ioContext.poll();
}

// A caller, a proxy and an endpoint that holds seven connections through it, each with a request.
TEST_GROUP(OneInSevenConnections)
{
    static constexpr std::size_t count = LoopbackProxy::affectedShare;

    boost::asio::io_context ioContext;
    ScriptedEndpoint endpoint { ioContext };
    ReservedPort own { ioContext };
    LoopbackProxy proxy { ioContext, { "127.0.0.1", own.number() }, { "127.0.0.1", endpoint.port() } };
    std::vector<std::shared_ptr<ScriptedConnection>> atEndpoint;
    std::vector<boost::asio::ip::tcp::socket> callers;

    void setup() override
    {
        endpoint.onRequest(
            [this](ScriptedConnection& asker, const std::string&) { atEndpoint.push_back(asker.shared_from_this()); });
        for (std::size_t i = 0; i < count; ++i)
            connect();
    }

    void teardown() override
    {
        callers.clear();
        for (const auto& connection : atEndpoint)
            connection->close();
        proxy.resetConnections();
        ioContext.poll();
    }

    void connect()
    {
        auto& caller = callers.emplace_back(ioContext);
        caller.connect({ boost::asio::ip::address_v4::loopback(), own.number() });
        caller.non_blocking(true);
        boost::asio::write(caller, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        CHECK(runUntil(ioContext, [this] { return atEndpoint.size() == callers.size(); }));
    }

    // The outcomes of reading from each caller's connection once: no error where bytes have arrived.
    std::vector<boost::system::error_code> readAll()
    {
        std::vector<boost::system::error_code> outcomes;
        for (auto& caller : callers) {
            char piece[512];
            outcomes.emplace_back();
            caller.read_some(boost::asio::buffer(piece), outcomes.back());
        }
        return outcomes;
    }

    std::size_t closedAtEndpoint() const
    {
        return static_cast<std::size_t>(std::count_if(
            atEndpoint.begin(), atEndpoint.end(), [](const auto& each) { return each->isClosedByPeer(); }));
    }

    void answerAll()
    {
        for (const auto& connection : atEndpoint)
            connection->answer(200, "", "whole");
        constexpr int turns = 50;
        for (int turn = 0; turn < turns; ++turn) {
            ioContext.run_one_for(std::chrono::milliseconds(2));
            ioContext.restart();
        }
    }
};

TEST(OneInSevenConnections, AHangingConnectionForwardsNeitherBytesNorItsClose)
{
    proxy.hangConnections();
    connect();
    answerAll();
    const auto outcomes = readAll();
    LONGS_EQUAL(1, std::count(outcomes.begin(), outcomes.end(), boost::asio::error::would_block));
    LONGS_EQUAL(count, std::count(outcomes.begin(), outcomes.end(), boost::system::error_code()));
    callers.clear();
    CHECK(runUntil(ioContext, [this] { return closedAtEndpoint() == count; }));
    answerAll();
    LONGS_EQUAL(count, closedAtEndpoint());
}

TEST(OneInSevenConnections, AResetTowardsTheCallerLeavesTheEndpointsSideOpen)
{
    proxy.resetConnectionsToCaller();
    answerAll();
    const auto outcomes = readAll();
    LONGS_EQUAL(1, std::count(outcomes.begin(), outcomes.end(), boost::asio::error::connection_reset));
    LONGS_EQUAL(count - 1, std::count(outcomes.begin(), outcomes.end(), boost::system::error_code()));
    LONGS_EQUAL(0, closedAtEndpoint());
}

// A check that overlooks an engine which works on would let the soak pass without having tested anything.
TEST_GROUP(EngineRunLog)
{
    EngineRunLog log;

    void read(const std::string& engineId, const std::string& line) { CHECK(log.readLine(engineId, line)); }
};

TEST(EngineRunLog, LeavesOtherLinesToOthers)
{
    CHECK_FALSE(log.readLine("e1", "ran r1 100"));
    CHECK_FALSE(log.readLine("e1", "limit 100"));
    CHECK(log.runs().empty());
}

TEST(EngineRunLog, AnEngineThatWorksAfterTheLimitIsReported)
{
    read("e1", "began r1 100");
    read("e2", "began r1 1000 r1");
    read("e1", "ended r1 1401 closed");
    LONGS_EQUAL(1, log.overlaps().size());
    STRCMP_EQUAL("e1", log.overlaps()[0].earlier.engineId.c_str());
    STRCMP_EQUAL("closed", log.overlaps()[0].earlier.end.c_str());
    STRCMP_EQUAL("e2", log.overlaps()[0].continuation.engineId.c_str());
}

TEST(EngineRunLog, AnEngineThatHasEndedAtTheLimitIsNotReported)
{
    read("e1", "began r1 100");
    read("e2", "began r1 1000 r1");
    read("e1", "ended r1 1400 stopped");
    LONGS_EQUAL(0, log.overlaps().size());
    LONGS_EQUAL(1, log.continuationsUntil(Milliseconds { 1000 }));
    LONGS_EQUAL(0, log.continuationsUntil(Milliseconds { 999 }));
}

TEST(EngineRunLog, ARunThatNeverEndsIsReported)
{
    read("e1", "began r1 100");
    read("e2", "began r1 1000 r1");
    LONGS_EQUAL(1, log.overlaps().size());
}

TEST(EngineRunLog, TheRunOfAnEarlierAttemptIsFoundByTheNameOfItsCopy)
{
    read("e1", "began r1 100");
    read("e2", "began r2 1000 r1");
    LONGS_EQUAL(1, log.overlaps().size());
    LONGS_EQUAL(0, log.movesUntil(Milliseconds { 1000 }));
}

TEST(EngineRunLog, ARunOfTheSameRequestIsFoundWhenTheCopyIsAHandle)
{
    read("e1", "began r1 100");
    read("e2", "began r1 1000 h7");
    LONGS_EQUAL(1, log.overlaps().size());
    LONGS_EQUAL(1, log.movesUntil(Milliseconds { 1000 }));
}

// The engine before works on although the stream has gone back to it.
TEST(EngineRunLog, AnEngineThatWorksOnIsReportedAlsoWhereTheContinuationHasEnded)
{
    read("e1", "began r1 100");
    read("e2", "began r1 1000 r1");
    read("e2", "ended r1 1010 closed");
    LONGS_EQUAL(1, log.overlaps().size());
}

TEST(EngineRunLog, RunsWithoutACopyMayOverlap)
{
    read("e1", "began r1 100");
    read("e2", "began r1 1000");
    LONGS_EQUAL(0, log.overlaps().size());
}

TEST(EngineRunLog, ALaterRunElsewhereIsNotAnEarlierOne)
{
    read("e1", "began r1 100 r0");
    read("e2", "began r1 200");
    LONGS_EQUAL(0, log.overlaps().size());
}

TEST(EngineRunLog, TheEndOfAnEnginesProcessEndsItsRuns)
{
    read("e1", "began r1 100");
    read("e2", "began r1 1000 r1");
    log.endEngine("e1", Milliseconds { 900 });
    LONGS_EQUAL(0, log.overlaps().size());
}

TEST(EngineRunLog, CountsThePromptsThatAreReadAgain)
{
    read("e1", "began c1.1.1 100");
    read("e2", "began c1.1.1 1000 c1.1.1");
    read("e3", "began c1.1.2 2000");
    read("e1", "began c1.2.1 100");
    LONGS_EQUAL(2, log.totals().streams);
    LONGS_EQUAL(4, log.totals().runs);
    LONGS_EQUAL(1, log.totals().promptsReadAgain);
}

TEST_GROUP(EngineStandIn)
{
    boost::asio::io_context ioContext;
    static constexpr const char* crashText = "crash";

    std::unique_ptr<platform::EngineStandIn> engine;
    std::vector<boost::asio::ip::tcp::socket> callers;
    std::vector<std::string> received;

    void start(Milliseconds lingerTime = {})
    {
        platform::EngineStandInSettings settings;
        settings.id = "e1";
        settings.prefillTime = Milliseconds { 5 };
        settings.eventInterval = Milliseconds { 5 };
        settings.address = { "127.0.0.1", 0 };
        settings.lingerTime = lingerTime;
        settings.crashText = crashText;
        settings.eventCount = 1000;
        engine = std::make_unique<platform::EngineStandIn>(ioContext, settings);
        CHECK_FALSE(engine->start().has_value());
    }

    void teardown() override
    {
        callers.clear();
        received.clear();
        if (engine)
            engine->resetConnections();
        ioContext.poll();
        engine.reset();
    }

    // Returns the number of the connection.
    std::size_t send(const std::string& head, const std::string& body = "")
    {
        auto& caller = callers.emplace_back(ioContext);
        received.emplace_back();
        caller.connect(
            { boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(engine->settings().address.port) });
        caller.non_blocking(true);
        boost::asio::write(caller,
            boost::asio::buffer(
                head + "Host: e\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
        return callers.size() - 1;
    }

    std::size_t requestStream(const std::string& moreHeaders = "")
    {
        return send(
            "POST / HTTP/1.1\r\nX-Request-Id: r1\r\nX-Expect-Instance: e1\r\nX-Prompt-Prefix: aa:10\r\n" + moreHeaders);
    }

    std::size_t continueFrom(const std::string& copy)
    {
        return requestStream("Last-Event-Id: 3\r\nKv-From: 127.0.0.1:1/" + copy + "\r\n");
    }

    void setFault(std::string_view path, const std::string& time)
    {
        CHECK(arrives(send("POST " + std::string(path) + " HTTP/1.1\r\n", time), "HTTP/1.1 200"));
    }

    // The handle in the response to a request to stop a run.
    std::string handleIn(std::size_t number)
    {
        const std::string before = R"("handle":")";
        CHECK(arrives(number, "}"));
        const auto& text = textOf(number);
        const auto at = text.find(before);
        return at == std::string::npos
            ? ""
            : text.substr(at + before.size(), text.find('"', at + before.size()) - at - before.size());
    }

    std::size_t stopRun(const std::string& id)
    {
        return send(
            "POST /api/kv-move HTTP/1.1\r\n", R"({"id":")" + id + R"(","target-version":"127.0.0.1:1","last":true})");
    }

    const std::string& textOf(std::size_t number)
    {
        char piece[4096];
        boost::system::error_code error;
        received[number].append(piece, callers[number].read_some(boost::asio::buffer(piece), error));
        return received[number];
    }

    bool arrives(std::size_t number, const std::string& text)
    {
        return runUntil(ioContext, [&] { return textOf(number).find(text) != std::string::npos; });
    }

    bool isWorking() const { return !engine->runs().empty() && !engine->runs().back().endedAt; }
};

TEST(EngineStandIn, StopsARunAndAnswersWithAHandle)
{
    start();
    const auto stream = requestStream();
    CHECK(arrives(stream, "id: 3"));
    const auto stop = stopRun("r1");
    CHECK(arrives(stop, R"("handle":)"));
    CHECK_FALSE(isWorking());
    STRCMP_CONTAINS("HTTP/1.1 200", textOf(stop).c_str());
    CHECK_TRUE_TEXT(textOf(stream).find("\r\n0\r\n") == std::string::npos, "the stream has no end");
    CHECK(arrives(stopRun("r1"), "HTTP/1.1 404"));
}

TEST(EngineStandIn, WorksOnAfterACloseForTheLingerTime)
{
    constexpr Milliseconds lingerTime { 200 };
    start(lingerTime);
    CHECK(arrives(requestStream(), "id: 3"));
    const auto closedAt = MonotonicClock().now();
    callers[0].close();
    CHECK(runUntil(ioContext, [this] { return !isWorking(); }));
    CHECK(*engine->runs().back().endedAt >= closedAt + lingerTime);
}

// Without it, an engine that has crashed while it was drained counts as one that works on.
TEST(EngineStandIn, ACrashEndsAllRuns)
{
    start();
    bool hasCrashed = false;
    engine->onCrash([&] { hasCrashed = true; });
    const auto stream = requestStream();
    CHECK(arrives(stream, "id: 3"));
    send("POST / HTTP/1.1\r\nX-Request-Id: r2\r\nX-Expect-Instance: e1\r\n", crashText);
    CHECK(runUntil(ioContext, [&] { return hasCrashed; }));
    CHECK_FALSE(isWorking());
}

TEST(EngineStandIn, TakesClosesAndStopsWhileItSendsNothing)
{
    start();
    const auto stream = requestStream();
    CHECK(arrives(stream, "id: 3"));
    CHECK(arrives(send("POST /standin/hold HTTP/1.1\r\n", "60000"), "HTTP/1.1 200"));
    const auto report = send("GET /api/report HTTP/1.1\r\n");
    const auto before = textOf(stream);
    stopRun("r1");
    CHECK(runUntil(ioContext, [this] { return !isWorking(); }));
    STRCMP_EQUAL(before.c_str(), textOf(stream).c_str());
    STRCMP_EQUAL("", textOf(report).c_str());
}

TEST(EngineStandIn, ADeafEngineStopsARunOnlyAtTheEnd)
{
    start();
    constexpr Milliseconds time { 150 };
    CHECK(arrives(requestStream(), "id: 3"));
    setFault(platform::EngineStandIn::deafPath, std::to_string(time.count()));
    const auto stop = stopRun("r1");
    const auto midway = MonotonicClock().now() + time / 3;
    CHECK(runUntil(ioContext, [midway] { return MonotonicClock().now() >= midway; }));
    CHECK(isWorking());
    CHECK(arrives(stop, "HTTP/1.1 200"));
    CHECK_FALSE(isWorking());
}

TEST(EngineStandIn, ABusyEngineStopsARunOnlyAfterTheTime)
{
    start();
    constexpr Milliseconds busyTime { 150 };
    setFault(platform::EngineStandIn::busyStopsPath, std::to_string(busyTime.count()));
    CHECK(arrives(requestStream(), "id: 3"));
    CHECK(arrives(stopRun("r1"), "HTTP/1.1 409"));
    CHECK(isWorking());
    const auto freeAt = MonotonicClock().now() + busyTime;
    CHECK(runUntil(ioContext, [freeAt] { return MonotonicClock().now() >= freeAt; }));
    CHECK(arrives(stopRun("r1"), "HTTP/1.1 200"));
    CHECK_FALSE(isWorking());
}

TEST(EngineStandIn, ARefusedStopNamesTheMemoryThatOnlyTheSourceHas)
{
    start();
    setFault(platform::EngineStandIn::refusedStopsPath, "1");
    CHECK(arrives(requestStream(), "id: 3"));
    const auto stop = stopRun("r1");
    CHECK(arrives(stop, "HTTP/1.1 503"));
    CHECK_FALSE(isWorking());
    const auto handle = handleIn(stop);
    CHECK(arrives(continueFrom(handle), "id: 4"));
    CHECK(arrives(continueFrom(handle), "X-Not-Executed: no-copy"));
    setFault(platform::EngineStandIn::refusedStopsPath, "");
    CHECK(arrives(stopRun("r1"), "HTTP/1.1 200"));
}

TEST(EngineStandIn, ARefusedStopWithoutAHandleMayLeaveTheRun)
{
    start();
    setFault(platform::EngineStandIn::refusedStopsPath, "1");
    for (const bool isStopped : { true, true, false }) {
        CHECK(arrives(requestStream(), "id: 3"));
        CHECK(arrives(stopRun("r1"), "HTTP/1.1 503"));
        CHECK(isWorking() != isStopped);
    }
}

TEST(EngineStandIn, AStopOfAnUnknownRunLeavesTheRun)
{
    start();
    setFault(platform::EngineStandIn::unknownStopsPath, "1");
    CHECK(arrives(requestStream(), "id: 3"));
    CHECK(arrives(stopRun("r1"), "HTTP/1.1 404"));
    CHECK(isWorking());
}

TEST(EngineStandIn, RejectsEachThirdCopyAndNoOtherRun)
{
    start();
    setFault(platform::EngineStandIn::rejectCopiesPath, "3");
    for (const bool isRejected : { false, false, true, false }) {
        CHECK(arrives(requestStream(), "id: 3"));
        CHECK(arrives(continueFrom("r0"), isRejected ? "X-Not-Executed: no-copy" : "id: 4"));
    }
    setFault(platform::EngineStandIn::rejectCopiesPath, "1");
    CHECK(arrives(continueFrom("r0"), "X-Not-Executed: no-copy"));
    setFault(platform::EngineStandIn::rejectCopiesPath, "");
    CHECK(arrives(continueFrom("r0"), "id: 4"));
}

TEST(EngineStandIn, TurnsAwayThreeInTenRuns)
{
    start();
    setFault(platform::EngineStandIn::turnAwayPath, "3");
    for (const bool isRejected : { false, false, false, true, false, false, true, false, false, true })
        CHECK(arrives(requestStream(), isRejected ? "X-Not-Executed: full" : "id: 3"));
    setFault(platform::EngineStandIn::turnAwayPath, "");
    CHECK(arrives(requestStream(), "id: 3"));
}

TEST(EngineStandIn, LateStopsTakeEffectBeforeTheirResponseOrHaveNone)
{
    start();
    constexpr Milliseconds delay { 150 };
    setFault(platform::EngineStandIn::lateStopsPath, std::to_string(delay.count()));
    CHECK(arrives(requestStream(), "id: 3"));
    const auto askedAt = MonotonicClock().now();
    const auto late = stopRun("r1");
    CHECK(runUntil(ioContext, [this] { return !isWorking(); }));
    CHECK(arrives(late, "HTTP/1.1 200"));
    CHECK(MonotonicClock().now() >= askedAt + delay);

    CHECK(arrives(requestStream(), "id: 3"));
    const auto unanswered = stopRun("r1");
    CHECK(runUntil(ioContext, [this] { return !isWorking(); }));

    CHECK(arrives(requestStream(), "id: 3"));
    const auto ignored = stopRun("r1");
    CHECK(arrives(send("GET /api/report HTTP/1.1\r\n"), "HTTP/1.1 200"));
    CHECK(isWorking());
    STRCMP_EQUAL("", textOf(unanswered).c_str());
    STRCMP_EQUAL("", textOf(ignored).c_str());
}

TEST_GROUP(StoppedRunMemory)
{
    using Copy = platform::StoppedRunCopy;
    platform::StoppedRunMemory memory { "e1" };
    platform::StoppedRunMemory other { "e2" };
    static constexpr Milliseconds now { 100 };
};

TEST(StoppedRunMemory, IsUsedOnceAtItsEngine)
{
    const auto handle = memory.keep(Copy::Missing, now);
    CHECK(memory.use(handle, now));
    CHECK_FALSE(memory.use(handle, now));
}

TEST(StoppedRunMemory, IsAtAnotherEngineOnlyWhereACopyWasMade)
{
    CHECK_FALSE(other.use(memory.keep(Copy::Missing, now), now));
    CHECK(other.use(memory.keep(Copy::Made, now), now));
}

TEST(StoppedRunMemory, IsGoneOnceFreedOrItsTimeIsOver)
{
    const auto freed = memory.keep(Copy::Missing, now);
    memory.free(freed);
    CHECK_FALSE(memory.use(freed, now));
    const auto old = memory.keep(Copy::Made, now);
    CHECK_FALSE(memory.use(old, now + platform::StoppedRunMemory::keptFor));
}

TEST(StoppedRunMemory, TheCopyOfARunThatGoesOnIsNotAtItsOwnEngine)
{
    const auto handle = memory.nameCopy();
    CHECK_FALSE(memory.use(handle, now));
    CHECK(other.use(handle, now));
}

// A growing copy is named by the request of its run.
TEST(StoppedRunMemory, OtherNamesAreTakenToBeHere)
{
    CHECK(memory.use("c1.1.1", now));
    CHECK(memory.use("c1.1.1", now));
}
