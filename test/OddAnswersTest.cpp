// Odd values in what a VM reads: rows, and the answers of other VMs, engines and callers.
#include "OddValues.h"
#include "daemon/CompletionRequest.h"
#include "daemon/EngineProtocol.h"
#include "http/HttpRequest.h"
#include <boost/leaf/handle_errors.hpp>

#include "CrashMessage.h"
#include "FeedHarness.h"
#include "PlatformCallProtocol.h"
#include "PlatformRows.h"
#include "RunUntil.h"
#include "StoreClient.h"
#include "StoreLeaderLease.h"
#include "StoreRunLocations.h"
#include "VmListText.h"
#include "lupinknot/MonotonicClock.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

TEST_GROUP(OddAnswers)
{
    boost::asio::io_context ioContext;
    MonotonicClock clock;
    std::unique_ptr<StoreStandIn> store;

    void setup() override
    {
        store = std::make_unique<StoreStandIn>(ioContext);
        store->start();
    }

    void teardown() override { store.reset(); }

    bool runUntil(const std::function<bool()>& condition) { return internal::runUntil(ioContext, condition); }
};

// Guards against decoders that end the process, and against numbers out of their range.
TEST(OddAnswers, DecodersTakeAnyValue)
{
    std::string problem;
    for (const auto& text : variantsOf(configuration, rowBytes)) {
        const auto decoded = decodeConfiguration(text, problem);
        const auto route = decoded ? decoded->findRoute("h", "/x/1") : nullptr;
        CHECK(!route || (route->timeout.count() >= 0 && route->timeout < Milliseconds { 1LL << 40 }));
    }
    for (const auto& text : variantsOf(endpoint, rowBytes)) {
        const auto decoded = decodeEndpoint("e", text, problem);
        CHECK(!decoded || decoded->address.text() == "127.0.0.1:9");
    }
    for (const auto& text : variantsOf(orderRow, rowBytes)) {
        const auto decoded = decodeRolloutOrder("llm", 1, text, problem);
        CHECK(!decoded || (decoded->duration.count() >= 0 && decoded->duration < Milliseconds { 1LL << 40 }));
    }
    for (const auto& text : variantsOf(R"({"state":"running","target-version":"v2"})", rowBytes))
        decodeRolloutStatus(text);
}

// Guards against memory that is written past its end for values that are not base64.
TEST(OddAnswers, ValuesThatAreNotBase64AreDecodedWithinBounds)
{
    for (std::size_t length = 0; length < 200; ++length) {
        CHECK(decodeBase64(std::string(length, 'A')).size() == length * 3 / 4);
        CHECK(decodeBase64(std::string(length, '*')).empty());
    }
}

// Guards against a feed that ends or loses the store after an odd answer of another VM.
TEST(OddAnswers, AFeedTakesAnyAnswerOfAnotherVm)
{
    store->put("servers", "a", "1");
    RecordingFeed followed;
    followed.follow(ioContext, store->port(), "servers");
    CHECK(runUntil([&] { return followed.rows.count("a") == 1; }));
    const auto valid = R"({"age-ms":5,"ver":1,"era":0,"rows":[{"key":"a","ver":1,"value":"MQ=="}]})";
    for (const auto& odd : variantsOf(valid, rowBytes))
        followed.feed->applyFromPeer(odd);
    store->put("servers", "b", "2");
    CHECK(runUntil([&] { return followed.rows["b"] == "2"; }));
    for (const auto& odd : variantsOf(R"({"version":"x","vms":[["a","b","127.0.0.1",9,1.0]]})", rowBytes)) {
        const auto list = decodeVmList(odd);
        CHECK(!list || !list->vms || list->vms->empty() || list->vms->front().address.text() == "127.0.0.1:9");
    }
}

// Guards against a search for a run that ends the process at an odd row.
TEST(OddAnswers, ARunIsSearchedBesideOddRows)
{
    StoreRunLocations locations(ioContext, { "127.0.0.1", store->port() });
    for (const auto& odd : variantsOf(locationRow, rowBytes)) {
        store->put("runs", "r1", odd);
        std::optional<RunLocationResult> result;
        locations.find("r1", [&](const RunLocationResult& found) { result = found; });
        CHECK(runUntil([&] { return result.has_value(); }));
        const auto port = result->location ? result->location->copyHolderAddress.port : 0;
        CHECK(port >= 0 && port <= 65535);
    }
}

// Guards against a duty that nobody takes up again because its record is odd.
TEST(OddAnswers, ADutyIsTakenUpAfterAnOddRecord)
{
    const auto era = StoreEra::create(ioContext);
    for (const std::string odd : { "", "{", "[1]", R"({"process":1,"token":-1,"completed":1e300})" }) {
        store->put("leaders", "usage.0", odd);
        StoreLeaderLease lease(
            ioContext, clock, { "127.0.0.1", store->port() }, era, "usage", "p", Milliseconds { 60 });
        CHECK(runUntil([&] { return lease.advance(), lease.isHeld(); }));
    }
}

// Guards against answers of engines that end the process.
TEST(OddAnswers, AnyAnswerOfAnEngineIsRead)
{
    const PlatformCallProtocol protocol;
    for (const auto& odd : variantsOf(R"({"running":1,"waiting":0,"runs":[{}],"kv-used":1,"kv-total":2})", rowBytes))
        protocol.decodeLoad({ 200, {}, odd });
    for (const auto& odd : variantsOf(R"({"handle":"h1"})", rowBytes)) {
        const auto handle = protocol.decodeMoveRun({ 200, {}, odd }).handle;
        CHECK(handle.size() < 5000);
    }
    for (const auto& odd :
        variantsOf(R"({"prompt_token_ids":[1],"choices":[{"text":"a","token_ids":[1],"position":0}]})", rowBytes))
        parseEngineEvent(odd);
}

// Guards against crash records that end the process as they are read or passed on.
TEST(OddAnswers, AnyCrashMessageIsRejectedOrPassedOn)
{
    const std::string key = "{\"digest\":\"" + std::string(48, 'd') + "\",\"age-ms\":5";
    const auto valid = "{\"crashes\":[" + key
        + R"(,"endpoint":"e1","address":"127.0.0.1:9","weight":0.5,"worked-ms":5,"trial":false,"ran-ms":5,"zone":"a",)"
        + R"("silent":false}],"served":[)" + key + "}],\"alive\":[" + key + R"(,"endpoint":"e2"}]})";
    for (const auto& odd : variantsOf(valid, rowBytes)) {
        CrashMessage message;
        try {
            message = decodeCrashMessage(odd, Milliseconds { 0 });
        } catch (const std::exception&) {
            continue;
        }
        CHECK_FALSE(encodeCrashMessage(message, Milliseconds { 0 }).empty());
    }
}

// Guards against bodies of callers that end the process.
TEST(OddAnswers, AnyBodyOfACallerIsReadOrRejected)
{
    const auto valid = R"({"model":"m","prompt":[1],"max_tokens":5,"stop":["a"],"seed":1,"stream":true,)"
                       R"("logit_bias":{"5":1},"user":"u","temperature":0.5})";
    for (const auto& odds : { oddTexts(rowBytes), variantsOf(valid, rowBytes) }) {
        for (const auto& odd : odds) {
            boost::leaf::try_handle_all(
                [&]() -> boost::leaf::result<void> {
                    BOOST_LEAF_AUTO(
                        request, parseCompletionRequest({ "POST", "/", {}, odd }, { 100, Milliseconds { 1 } }));
                    engineRequest(request, { "id", {} }, EnginePrefix { { 1 }, { 2 } });
                    return {};
                },
                [](const JsonError& error) { LONGS_EQUAL(400, error.status); }, [] { FAIL("expected a JsonError"); });
        }
    }
}
