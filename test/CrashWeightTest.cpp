#include "quarantine/CrashWeight.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(CrashWeight) {
    static double weight(RunStart beginning, int workedFor, FailureKind failure = FailureKind::EarlyEnd) {
        return crashWeight({ failure, beginning, Milliseconds { workedFor }, false });
}
}
;

TEST(CrashWeight, IsFullForARunThatHadJustBegun)
{
    // What was seen: engines ended 40 to 120 ms after the beginning.
    for (const auto workedFor : { 0, 40, 120 }) {
        DOUBLES_EQUAL(fullSuspicion, weight(RunStart::Begun, workedFor), 0);
        DOUBLES_EQUAL(fullSuspicion, weight(RunStart::Producing, workedFor), 0);
    }
    for (const auto workedFor : { 5, 40, 120 })
        DOUBLES_EQUAL(fullSuspicion, weight(RunStart::Assumed, workedFor), 0);
    DOUBLES_EQUAL(fullSuspicion, weight(RunStart::Begun, 0, FailureKind::Silent), 0);
}

TEST(CrashWeight, IsHalfForARunThatHadBegunAWhileAgoOrMayHave)
{
    DOUBLES_EQUAL(halfSuspicion, weight(RunStart::Producing, 1000), 0);
    DOUBLES_EQUAL(halfSuspicion, weight(RunStart::Assumed, 1000), 0);
    DOUBLES_EQUAL(halfSuspicion, weight(RunStart::Hidden, 50), 0);
    DOUBLES_EQUAL_TEXT(halfSuspicion, weight(RunStart::Assumed, 2), 0, "the endpoint may have been gone already");
    DOUBLES_EQUAL_TEXT(halfSuspicion, weight(RunStart::Begun, 9000), 0, "engines that end under a request end soon");
}

TEST(CrashWeight, IsNoneForARunThatHadNotBegunOrHadShownItself)
{
    DOUBLES_EQUAL(0, weight(RunStart::NotYet, 50), 0);
    DOUBLES_EQUAL_TEXT(0, weight(RunStart::Hidden, 4), 0, "a prompt is not read in so short a time");
    DOUBLES_EQUAL(halfSuspicion, weight(RunStart::Hidden, 5), 0);
    DOUBLES_EQUAL(0, weight(RunStart::Producing, 3000), 0);
}

TEST(CrashWeight, IsNoneForAnEndpointThatHadSaidItLeaves)
{
    DOUBLES_EQUAL(0, crashWeight({ FailureKind::EarlyEnd, RunStart::Begun, Milliseconds { 50 }, true }), 0);
}

TEST(CrashWeight, IsNoneForFailuresThatAnEndpointSurvives)
{
    for (const auto failure : { FailureKind::ConnectionRefused, FailureKind::Overloaded, FailureKind::ErrorStatus,
             FailureKind::MalformedEvent, FailureKind::WrongPosition })
        DOUBLES_EQUAL(0, weight(RunStart::Begun, 50, failure), 0);
}

TEST(CrashWeight, ARunProvesItselfByLastingMuchLongerThanThoseThatWereLost)
{
    CHECK_FALSE(provesHarmless(Milliseconds { 999 }, Milliseconds { 60 }));
    CHECK(provesHarmless(Milliseconds { 1000 }, Milliseconds { 60 }));
    CHECK_FALSE_TEXT(provesHarmless(Milliseconds { 5999 }, Milliseconds { 2000 }), "it may end its engine late");
    CHECK(provesHarmless(Milliseconds { 6000 }, Milliseconds { 2000 }));
}
