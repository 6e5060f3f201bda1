#include "PlatformRows.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

constexpr const char* endpointText
    = R"({"service":"llm","address":"10.1.0.9:8080","zone":"hall-a","version":"v1","slots":4,"state":"ready",)"
      R"("cold-left-ms":0,"sequence":4})";

const char* const configurationText = R"({"version":7,"routes":[
 {"name":"r1","host":"a.example","path-prefix":"/x/","kind":"streaming","timeout-ms":25000,"slo-ms":4500,
  "service":"llm","max-attempts":5,"public":false,"resumable":true,"gap-aim-ms":700},
 {"name":"r2","host":"a.example","path-prefix":"/y/","kind":"idempotent","timeout-ms":800.0,"public":true,
  "split":[{"service":"web","weight":90},{"service":"web2","weight":10}],"max-attempts":2}],
 "services":[{"name":"llm","max-conns":360,"engine":{"backups":true,"moves":true,"handle-s":4}},{"name":"web","max-conns":100}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"acme","api-keys":["k1","k2"]}]})";

} // namespace

TEST_GROUP(PlatformRows) { std::string problem; };

TEST(PlatformRows, DecodesAConfiguration)
{
    const auto configuration = decodeConfiguration(configurationText, problem);
    STRCMP_EQUAL("", problem.c_str());
    LONGS_EQUAL(7, configuration->version());
    const auto stream = configuration->findRoute("a.example", "/x/1");
    CHECK(stream->kind == RequestKind::EventStream && stream->mayRunAgain());
    LONGS_EQUAL(700, stream->longestPause.count());
    LONGS_EQUAL(4500, stream->objective.count());
    LONGS_EQUAL(5, stream->maxAttempts);
    const auto call = configuration->findRoute("a.example", "/y/1");
    LONGS_EQUAL(2, call->services.size());
    CHECK(call->isPublic);
    LONGS_EQUAL(800, call->timeout.count());
    CHECK(configuration->findService("llm")->copiesRunningMemory);
    CHECK_FALSE(configuration->findService("web")->copiesRunningMemory);
    LONGS_EQUAL(4000, configuration->findService("llm")->handleTime.count());
    CHECK(configuration->findService("llm")->renewsCopies());
    CHECK_FALSE(configuration->findService("web")->renewsCopies());
    STRCMP_EQUAL("acme", configuration->findOrganisation("k2")->c_str());
    LONGS_EQUAL(15000, configuration->callerLimits().idleTimeout.count());
}

// Guards against copies that are ordered from engines that cannot make them.
TEST(PlatformRows, CopiesAreRenewedOnlyWhereEnginesHaveAllThreeFeatures)
{
    for (const std::string engine :
        { R"({"backups":true,"moves":true})", R"({"backups":true,"handle-s":4})", R"({"moves":true,"handle-s":4})",
            R"({"backups":true,"moves":true,"handle-s":-1})", R"({"backups":true,"moves":true,"handle-s":"4"})" }) {
        const auto configuration = decodeConfiguration(
            R"({"version":1,"routes":[],"services":[{"name":"s","engine":)" + engine + "}]}", problem);
        CHECK_FALSE(configuration->findService("s")->renewsCopies());
    }
}

TEST(PlatformRows, RequestsOfAnUnknownKindMustNotRunTwice)
{
    const auto configuration = decodeConfiguration(
        R"({"version":1,"routes":[{"host":"h","path-prefix":"/x/","kind":"new","service":"s"}],"services":[]})",
        problem);
    CHECK_FALSE(configuration->findRoute("h", "/x/1")->mayRunAgain());
}

TEST(PlatformRows, DecodesTheRanksOfRoutesAndOrganisations)
{
    const auto configuration = decodeConfiguration(
        R"({"version":1,"routes":[{"host":"h","path-prefix":"/x/","service":"s","priority":2},
         {"host":"h","path-prefix":"/y/","service":"s"}],"services":[],
         "tenants":[{"name":"acme","api-keys":["k1"],"priority":0},{"name":"other","api-keys":["k2"]}]})",
        problem);
    LONGS_EQUAL(2, configuration->findRoute("h", "/x/1")->rank.value());
    CHECK(!configuration->findRoute("h", "/y/1")->rank);
    LONGS_EQUAL(0, configuration->rankOfOrganisation("acme").value());
    CHECK(!configuration->rankOfOrganisation("other"));
}

// Guards against losing the whole configuration, or serving with a wrong rank, because of one invalid priority.
TEST(PlatformRows, APriorityThatIsNotAnIntegerFromZeroToNineCountsAsAbsent)
{
    for (const std::string value :
        { "-1", "10", "1.5", "2.0", "\"2\"", "true", "null", "[1]", "18446744073709551617" }) {
        auto text = R"({"version":1,"routes":[{"host":"h","path-prefix":"/x/","service":"s","priority":)" + value;
        text.append(R"(}],"services":[],"tenants":[{"name":"acme","api-keys":["k1"],"priority":)").append(value);
        const auto configuration = decodeConfiguration(text.append("}]}"), problem);
        CHECK_TEXT(configuration && configuration->findOrganisation("k1"), value.c_str());
        CHECK_TEXT(!configuration->findRoute("h", "/x/1")->rank, value.c_str());
        CHECK_TEXT(!configuration->rankOfOrganisation("acme"), value.c_str());
    }
}

TEST(PlatformRows, RequiresApiKeysAfterTheLastOneWasRemoved)
{
    const auto configuration = decodeConfiguration(R"({"version":1,"routes":[],"services":[],"tenants":[]})", problem);
    CHECK(configuration->hasOrganisations());
}

TEST(PlatformRows, ReportsTheProblemOfAnInvalidConfiguration)
{
    CHECK(!decodeConfiguration("{", problem));
    CHECK(!problem.empty());
    problem.clear();
    CHECK(!decodeConfiguration(R"({"routes":[]})", problem));
    STRCMP_CONTAINS("version", problem.c_str());
}

TEST(PlatformRows, DecodesAnEndpoint)
{
    const auto entry = decodeEndpoint("i-7f",
        R"({"service":"llm","address":"10.1.0.9:8080","zone":"hall-a","version":"v1","slots":64,"state":"draining",)"
        R"("cold-left-ms":0,"sequence":4})",
        problem);
    STRCMP_EQUAL("i-7f", entry->id.c_str());
    STRCMP_EQUAL("10.1.0.9:8080", entry->address.text().c_str());
    STRCMP_EQUAL("hall-a", entry->availabilityZone.c_str());
    CHECK(entry->isDraining);
}

TEST(PlatformRows, ReportsTheProblemOfAnInvalidEndpoint)
{
    CHECK(!decodeEndpoint("i-7f", R"({"service":"llm","address":"nowhere"})", problem));
    CHECK(!problem.empty());
}

// Other writers add entries to the same table. They describe no usable endpoint, and the other entries must stay valid.
TEST(PlatformRows, RejectsEntriesThatAreNotEndpoints)
{
    for (const auto* text : { "", "[]", "7", "null", "\xff\xfe{" }) {
        problem.clear();
        CHECK_TEXT(!decodeEndpoint("i-7f", text, problem), text);
        CHECK_TEXT(!problem.empty(), text);
    }
    for (const auto* change :
        { R"({"service":7})", R"({"address":["10.1.0.9:8080"]})", R"({"state":7})", R"({"state":"resting"})",
            R"({"slots":"many"})", R"({"slots":-1})", R"({"slots":1e18})", R"({"born":1.5})", R"({"born":"yesterday"})",
            R"({"address":"nowhere"})", R"({"address":"10.1.0.9:80x"})", R"({"address":"10.1.0.9:0"})",
            R"({"address":"10.1.0.9:65536"})", R"({"address":"10.1.0.9:99999999999999999999"})",
            R"({"address":"10.1.0.9:-1"})", R"({"address":"somewhere:80"})", R"({"address":":80"})", R"({"zone":7})",
            R"({"version":1})", R"({"cold-left-ms":"long"})", R"({"sequence":"first"})" }) {
        auto entry = nlohmann::json::parse(endpointText);
        CHECK(decodeEndpoint("i-7f", entry.dump(), problem).has_value());
        entry.update(nlohmann::json::parse(change));
        problem.clear();
        CHECK_TEXT(!decodeEndpoint("i-7f", entry.dump(), problem), change);
        CHECK_TEXT(!problem.empty(), change);
    }
}

// Guards against an entry of another writer that lacks fields and takes the address of an endpoint that serves.
TEST(PlatformRows, RejectsAnEndpointThatLacksAField)
{
    const auto whole = nlohmann::json::parse(endpointText);
    for (const auto& [name, value] : whole.items()) {
        auto other = whole;
        other.erase(name);
        CHECK_TEXT(!decodeEndpoint("i-7f", other.dump(), problem), name.c_str());
    }
}

TEST(PlatformRows, DecodesTheStartTimeOfAnEndpoint)
{
    const auto entry = [this](const std::string& rest) {
        const std::string text(endpointText);
        return decodeEndpoint("i-7f", text.substr(0, text.size() - 1) + rest + "}", problem);
    };
    CHECK(entry(R"(,"born":1791000000123)")->startTime == 1791000000123);
    CHECK_TEXT(entry("")->startTime == 0, "the start time is optional");
    CHECK_TEXT(entry(R"(,"born":-5)")->startTime == 0, "not a valid start time");
    CHECK_TEXT(entry(R"(,"born":0)")->startTime == 0, "not a valid start time");
    STRCMP_EQUAL("i-7f@1791000000123", entry(R"(,"born":1791000000123)")->incarnationName().c_str());
    CHECK_TEXT(!entry(R"(,"born":"yesterday")"), "an entry with a field of the wrong type is not an endpoint's");
}

TEST(PlatformRows, RejectsDeeplyNestedOrLongEntries)
{
    constexpr std::size_t depth = 100'000;
    const auto deep = std::string(depth, '[') + std::string(depth, ']');
    CHECK(!decodeEndpoint("i-7f", deep, problem));
    CHECK(!decodeEndpoint("i-7f", R"({"service":)" + deep + "}", problem));
    CHECK(!decodeEndpoint("i-7f", R"({"service":")" + std::string(5'000'000, 'x') + R"("})", problem));
}
