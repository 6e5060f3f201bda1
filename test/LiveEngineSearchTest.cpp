#include "relay/LiveEngineSearch.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot::internal;

TEST_GROUP(LiveEngineSearch) {
    static int indexIn(const std::vector<Liveness>& states) { const auto found = firstAlive(states);
return found ? static_cast<int>(*found) : -1;
}
}
;

// Guards against a new prefill at another engine while the holder of the copy may still answer.
TEST(LiveEngineSearch, WaitsForThePreferredEngine)
{
    LONGS_EQUAL(-1, indexIn({ Liveness::Unknown, Liveness::Alive }));
    LONGS_EQUAL(0, indexIn({ Liveness::Alive, Liveness::Unknown }));
    LONGS_EQUAL(1, indexIn({ Liveness::Silent, Liveness::Alive }));
}

TEST(LiveEngineSearch, FindsNoEngineWhenNoneAnswers)
{
    LONGS_EQUAL(-1, indexIn({ Liveness::Silent, Liveness::Silent }));
    LONGS_EQUAL(-1, indexIn({}));
}
