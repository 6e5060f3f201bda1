// Odd rows in the store's tables and odd messages of other VMs: a VM goes on, and uses what is beside them.
#include "OddValues.h"

#include "EntryVm.h"
#include "FeedHarness.h"
#include "PeerPermits.h"
#include "PeerRetryLoans.h"
#include "PeerRollouts.h"
#include "PeerRunLocations.h"
#include "PeerTrials.h"
#include "PeerUsage.h"
#include "PeerZoneExchange.h"
#include "ReservedPort.h"
#include "RunUntil.h"
#include "StoreRunLocations.h"
#include "http/HttpRoundTrip.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;
using nlohmann::json;

namespace {

const std::string digest(48, 'd');

struct Row {
    std::string table;
    std::string key;
    // Otherwise a number is appended to the key.
    bool isOnly { false };
};

// The rows of the tables that a VM reads all the time.
std::vector<Row> rows()
{
    return { { "servers", "odd" }, { "vms", "odd" }, { "vms-by-zone", "a/0000001/odd" }, { "crashes", digest + "/odd" },
        { "versions", "odd odd" }, { "op", "odd" }, { "op", "rollout/llm", true }, { "op", "config", true } };
}

using Messages = std::vector<std::pair<std::string, std::string>>;

// The valid messages that VMs send each other by path.
Messages messages()
{
    const std::string location = locationRow;
    const std::string limit = R"({"endpoint":"e1","age_ms":0,"per_second":5.0,"patience_ms":100,"rank":0})";
    const std::string evidence = R"({"service":"llm","revision":2,"era":0,"process":"p","stopped":false,)"
                                 R"("routes":{"r":{"present":[1,0],"candidate":[1,0]}}})";
    return { { std::string(PeerRunLocations::reportPath), "{\"r1\":" + location + "}" },
        { std::string(StoreRunLocations::peerPath), "{\"noted\":{\"r1\":" + location + "},\"forgotten\":[\"r2\"]}" },
        { std::string(VmRegistry::registrationPath), R"(["vm2","a","127.0.0.1",9,20.0])" },
        { std::string(PeerPermits::requestPath), limit }, { std::string(PeerPermits::reportPath), limit },
        { std::string(PeerRetryLoans::path), R"({"service":"llm","purpose":"restart","rank":3})" },
        { std::string(PeerRollouts::path), evidence },
        { std::string(PeerTrials::path), "{\"digest\":\"" + digest + "\"}" },
        { std::string(PeerUsage::path), R"({"process":"p","windows":{"5":{"acme":3}}})" },
        { std::string(PeerZoneExchange::newsPath),
            R"({"from":"vm2","topic":"t","pass":{"origin":"vm2","group":0,"groups":2},"body":{}})" } };
}

// Those that the VMs of a zone pass on, by topic.
Messages topics()
{
    const std::string failures = R"([{"service":"llm","zone":"a","endpoints":[["e1",10,"failed"]]}])";
    const std::string zone = R"({"service":"llm","zone":"b","age_ms":10,"first_age_ms":20,)";
    const std::string key = "{\"digest\":\"" + digest + "\",\"age-ms\":5";
    const std::string crashes = "{\"crashes\":[" + key
        + R"(,"endpoint":"e1","address":"127.0.0.1:9","weight":0.5,"worked-ms":5,"trial":false,"ran-ms":5,"zone":"a",)"
        + R"("silent":false}],"served":[)" + key + "}],\"alive\":[" + key + R"(,"endpoint":"e2"}]})";
    return { { "endpoint-failures", "{\"failures\":" + failures + ",\"alive\":" + failures + "}" },
        { "zone-failure", zone + R"("endpoints":3,"evidence":"failed","history":[["a",100]]})" },
        { "zone-failure-retracted", zone + R"("reason":"alive"})" }, { "crashes", crashes },
        { "suspect-requests", crashes },
        { "paces", R"({"services":[{"name":"llm","usual":20.0,"engines":[["127.0.0.1:9",20.0,5]]}]})" },
        { "shares", R"({"vm":"vm2","zone":"a","work":[["llm",3,"acme",100]]})" } };
}

std::string envelope(const std::string& sender, const std::string& topic, const std::string& body)
{
    return "{\"from\":\"" + sender + "\",\"topic\":\"" + topic + "\",\"body\":" + body + "}";
}

} // namespace

TEST_GROUP(OddRows)
{
    boost::asio::io_context ioContext;
    std::unique_ptr<StoreStandIn> store;
    std::unique_ptr<ReservedPort> peerPort;
    std::unique_ptr<EntryVm> vm;

    void setup() override
    {
        store = std::make_unique<StoreStandIn>(ioContext);
        store->start();
        peerPort = std::make_unique<ReservedPort>(ioContext);
        store->put("op", "config", configuration);
        store->put("vms", "other", vmRow);
    }

    void teardown() override
    {
        vm.reset();
        store.reset();
        peerPort.reset();
    }

    void startVm()
    {
        PlatformSettings settings;
        settings.relay.vmName = "vm1";
        settings.relay.availabilityZone = "a";
        settings.addresses = { { "127.0.0.1", 0 }, { "127.0.0.1", 0 }, { "127.0.0.1", 0 } };
        settings.store = { "127.0.0.1", store->port() };
        settings.peerAddress = { "127.0.0.1", peerPort->number() };
        settings.endpointsPause = Milliseconds { 1 };
        settings.usageDuty = UsageDutySettings { settings.store, { Milliseconds { 60000 }, Milliseconds { 60000 } } };
        vm = std::make_unique<EntryVm>(settings);
        CHECK_FALSE(vm->start().has_value());
    }

    bool runUntil(const std::function<bool()>& condition)
    {
        return internal::runUntil(ioContext, [&] {
            vm->daemon().ioContext().poll();
            vm->daemon().ioContext().restart();
            return condition();
        });
    }

    // True when the VM learns of a new endpoint.
    bool followsEndpoints(const std::string& id)
    {
        store->put("servers", id, endpoint);
        return runUntil([&] { return vm->daemon().directory().find(id) != nullptr; });
    }

    // The VM's answer to a call of another VM; nothing when it gives none.
    std::optional<HttpResponse> answerTo(const HttpRequest& request)
    {
        std::optional<HttpResponse> answer;
        bool isOver = false;
        const auto connection = ClientConnection::open(ioContext, { "127.0.0.1", peerPort->number() }, {});
        const auto call = HttpRoundTrip::ask(
            ioContext, connection, request, Milliseconds { 5000 }, [&](const HttpRoundTripResult& outcome) {
                isOver = true;
                if (outcome.answer)
                    answer = *outcome.answer;
            });
        CHECK(runUntil([&] { return isOver; }));
        return answer;
    }

    std::optional<HttpResponse> answerTo(std::string_view path, const std::string& body)
    {
        return answerTo({ "POST", std::string(path), { { "Host", "vm" }, { "Connection", "close" } }, body });
    }

    // The VMs that this VM knows.
    std::string knownVms()
    {
        const auto answer = answerTo({ "GET", std::string(VmRegistry::listPath), { { "Host", "vm" } }, "" });
        return answer ? answer->body : "";
    }
};

// Guards against a VM that ends, or reads a table no further, when the table holds odd rows as the VM starts.
TEST(OddRows, AVmStartsBesideOddRows)
{
    for (const auto& row : rows()) {
        int number = 0;
        for (const auto& odd : oddTexts(rowBytes))
            store->put(row.table, row.key + std::to_string(number++), odd);
    }
    startVm();
    CHECK(followsEndpoints("good"));
    CHECK(runUntil([&] { return vm->daemon().configuration() != nullptr; }));
    CHECK(runUntil([&] { return knownVms().find("other") != std::string::npos; }));
    CHECK(vm->daemon().directory().find("odd0") == nullptr);
    CHECK(knownVms().find("odd") == std::string::npos);
}

// Guards against a VM that ends, or follows the store no further, when an odd row is written.
TEST(OddRows, AVmFollowsChangesBesideOddRows)
{
    startVm();
    CHECK(runUntil([&] { return vm->daemon().configuration() != nullptr; }));
    int version = 1;
    for (const auto& odd : oddTexts(rowBytes)) {
        const auto number = std::to_string(++version);
        for (const auto& row : rows())
            store->put(row.table, row.isOnly ? row.key : row.key + number, odd);
        CHECK(followsEndpoints("good" + number));
        auto next = json::parse(configuration);
        next["version"] = version;
        store->put("op", "config", next.dump());
        CHECK(runUntil([&] { return vm->daemon().configuration()->version() == next["version"]; }));
        CHECK(vm->daemon().directory().find("odd" + number) == nullptr);
    }
}

// Guards against keys that the store accepts and that end a table's pages or a VM.
TEST(OddRows, AFeedReadsATableWithOddKeys)
{
    std::set<std::string> keys;
    for (const char byte : std::string("\0\1\n\r\"\\/ %&#?+=\x7f", 15))
        keys.insert(std::string(200, byte));
    keys.insert("\xc3\xa9\xe2\x82\xac%00%0A&from=a#\r\nX: y");
    // Pages end at odd keys.
    for (const auto& start : std::set(keys)) {
        for (int i = 0; i < 500; ++i)
            keys.insert(start.substr(0, 190) + std::to_string(i));
    }
    for (const auto& key : keys)
        store->put("servers", key, "v");
    RecordingFeed followed;
    followed.follow(ioContext, store->port(), "servers");
    CHECK(internal::runUntil(ioContext, [&] { return followed.rows.size() == keys.size(); }));
    store->put("servers", "good", "v");
    CHECK(internal::runUntil(ioContext, [&] { return followed.rows.count("good") == 1; }));
}

// Guards against a VM that ends when another VM sends it an odd message.
TEST(OddRows, AVmTakesAnyMessageOfAnotherVm)
{
    startVm();
    CHECK(followsEndpoints("e1"));
    store->put("op", "rollout/llm", orderRow);
    CHECK(runUntil([&] { return vm->daemon().rollouts().find("llm") != nullptr; }));
    for (const auto& [path, body] : messages()) {
        for (const auto& odds : { oddTexts(rowBytes), variantsOf(body, rowBytes) }) {
            for (const auto& odd : odds)
                CHECK(answerTo(path, odd).has_value());
        }
        CHECK(answerTo(path, body).has_value());
    }
    int sender = 0;
    for (const auto& [topic, body] : topics()) {
        for (const auto path : { PeerZoneExchange::reportPath, PeerZoneExchange::newsPath }) {
            for (const auto& odd : variantsOf(body, messageBytes))
                CHECK(answerTo(path, envelope(std::to_string(++sender / 100), topic, odd)).has_value());
            LONGS_EQUAL(200, answerTo(path, envelope("good", topic, body))->status);
        }
    }
    // What was passed on is sent later.
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(500);
    CHECK(runUntil([end] { return std::chrono::steady_clock::now() > end; }));
    CHECK(followsEndpoints("good"));
    CHECK(runUntil([&] { return knownVms().find("other") != std::string::npos; }));
}
