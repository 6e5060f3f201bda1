// Engines whose attempt has been ended because they were silent, and which come back.
#include "TestCluster.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

constexpr std::size_t answerTokens = 400;
constexpr const char* silence = R"({"pause_at":7,"pause_ms":400})";

} // namespace

TEST_GROUP(EndedAttempt) { // The engine that was silent must stop at its return, long before the end of its answer, and
                           // its tokens must not reach the caller.
    static void checkSilentEngineStops(TestCluster & cluster, const std::string& key) { cluster.start();
auto& silent = cluster.engine(0);
silent.control(silence);
auto caller = cluster.caller(key);
caller.maxTokens = answerTokens;
const auto result = cluster.run(caller);
CHECK_TEXT(result.isComplete, result.error.c_str());
LONGS_EQUAL(0, result.mixed);
LONGS_EQUAL(0, result.repeated);
CHECK(becomesTrue([&] { return silent.work().cancelled == 1; }));
LONGS_EQUAL(1, silent.work().requests);
LONGS_EQUAL(1, cluster.engine(1).work().requests);
const auto tokens = silent.work().decodedTokens;
CHECK_TEXT(tokens < answerTokens / 4, std::to_string(tokens).c_str());
}
}
;

// Closing the connection stops an engine.
TEST(EndedAttempt, StopsWhenTheSilentEngineReturns)
{
    TestCluster cluster;
    checkSilentEngineStops(cluster, "");
}

// With a key the engine keeps its stream without a connection, so that it must be told to stop.
TEST(EndedAttempt, StopsWhenTheSilentEngineReturnsAndKeepsItsStream)
{
    TestCluster cluster(2, 2);
    checkSilentEngineStops(cluster, "k");
}
