#include "quarantine/TrialGrants.h"
#include "quarantine/Quarantine.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(TrialGrants)
{
    const Milliseconds start { 50000 };
    TrialGrants grants;

    bool isGranted(const std::string& digest, Milliseconds heldUntil, Milliseconds now)
    {
        return grants.decide(digest, heldUntil, now).answer == TrialAnswer::Granted;
    }
};

TEST(TrialGrants, GrantsOneTrialAtATime)
{
    CHECK(isGranted("d", start, start));
    CHECK_FALSE(isGranted("d", start, start + Milliseconds { 1 }));
    CHECK(isGranted("other", start, start));
    CHECK(isGranted("d", start, start + Quarantine::maxTrialTime));
}

TEST(TrialGrants, DeniesTrialsOfHeldRequests)
{
    const auto decision = grants.decide("d", start + Milliseconds { 700 }, start);
    CHECK(decision.answer == TrialAnswer::Denied);
    LONGS_EQUAL(700, decision.wait.count());
}

TEST(TrialGrants, IsBounded)
{
    for (std::size_t i = 0; i < TrialGrants::maxGrants; ++i)
        CHECK(isGranted("d" + std::to_string(i), {}, start));
    CHECK_FALSE(isGranted("one more", {}, start));
    CHECK(isGranted("one more", {}, start + Quarantine::maxTrialTime));
}
