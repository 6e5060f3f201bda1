#include "relay/RelayRequest.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot::internal;

TEST_GROUP(RunKey) { static std::string keyOf(
    const std::string& promptId, const std::string& content, const std::string& attempt) { RelayRequest request;
request.fields.promptId = promptId;
request.fields.requestId = attempt;
request.digest = content;
return runKeyOf(request);
}
}
;

TEST(RunKey, IsTheSameAtEachAttemptOfACaller)
{
    STRCMP_EQUAL(keyOf("5c1e", "content", "r1").c_str(), keyOf("5c1e", "content", "r2").c_str());
}

// Guards against a stream that continues from the memory of another request of its session.
TEST(RunKey, DiffersBetweenRequestsWithTheSamePromptId)
{
    CHECK(keyOf("5c1e", "content", "r1") != keyOf("5c1e", "other content", "r2"));
}

TEST(RunKey, IsOfOneAttemptWithoutAPromptId) { CHECK(keyOf("", "content", "r1") != keyOf("", "content", "r2")); }
