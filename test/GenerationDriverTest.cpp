#include "lupinknot/GenerationDriver.h"

#include "FakeAttemptHost.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;

namespace {

constexpr std::size_t maxTokens = 4;

Milliseconds at(std::int64_t milliseconds) { return Milliseconds { milliseconds }; }

std::string outcomeName(const GenerationDriver& driver)
{
    return driver.error() ? std::string(nameIn(runOutcomeNames, driver.error()->outcome)) : "no error";
}

std::string errorName(const GenerationDriver& driver)
{
    return driver.error() ? std::string(nameIn(generationErrorCodeNames, driver.error()->code)) : "no error";
}

} // namespace

TEST_GROUP(GenerationDriver)
{
    FakeAttemptHost host { { "e1", "e2", "e3" } };
    RecoverySettings settings { 3, at(1000), at(10) };

    GenerationDriver makeDriver(bool repeatable = true, std::int64_t deadline = 100000)
    {
        return { { { maxTokens, {} }, repeatable, at(deadline) }, settings, host };
    }

    void deliverTokens(
        GenerationDriver & driver, AttemptNumber attempt, std::size_t first, std::size_t count, std::int64_t now)
    {
        for (auto position = first; position < first + count; ++position)
            driver.tokenArrived(attempt, position, { static_cast<TokenId>(position), "t" }, at(now));
    }
};

TEST(GenerationDriver, CompletesOnOneEndpoint)
{
    auto driver = makeDriver();
    driver.start(at(0));
    deliverTokens(driver, 1, 0, maxTokens, 10);
    CHECK(driver.isOver());
    CHECK_FALSE(driver.error());
    LONGS_EQUAL(1, host.orders.size());
}

TEST(GenerationDriver, ResumesOnAnotherEndpointFromItsLength)
{
    auto driver = makeDriver();
    driver.start(at(0));
    deliverTokens(driver, 1, 0, 2, 10);
    driver.attemptFailed(1, FailureKind::ConnectionLost, at(20));
    LONGS_EQUAL(2, host.orders.size());
    LONGS_EQUAL(2, host.orders[1].position);
    STRCMP_EQUAL("e2", host.orders[1].endpoint.c_str());
    deliverTokens(driver, 2, 2, 2, 30);
    CHECK(driver.isOver());
    CHECK_FALSE(driver.error());
}

TEST(GenerationDriver, CancelsAFailedAttempt)
{
    auto driver = makeDriver();
    driver.start(at(0));
    driver.attemptFailed(1, FailureKind::WrongPosition, at(10));
    LONGS_EQUAL(1, host.cancelled.size());
    LONGS_EQUAL(1, host.cancelled[0]);
}

TEST(GenerationDriver, RefusesLateTokensOfASupersededAttempt)
{
    auto driver = makeDriver();
    driver.start(at(0));
    deliverTokens(driver, 1, 0, 1, 10);
    driver.attemptFailed(1, FailureKind::Silent, at(500));
    const auto result = driver.tokenArrived(1, 1, { 7, "late" }, at(501));
    STRCMP_EQUAL("not-current-attempt", std::string(nameIn(appendResultNames, result)).c_str());
    LONGS_EQUAL(1, driver.generation().length());
}

TEST(GenerationDriver, IgnoresTheFailureOfASupersededAttempt)
{
    auto driver = makeDriver();
    driver.start(at(0));
    driver.attemptFailed(1, FailureKind::Silent, at(500));
    driver.attemptFailed(1, FailureKind::ConnectionLost, at(501));
    LONGS_EQUAL(2, host.orders.size());
}

TEST(GenerationDriver, TreatsATokenAtAWrongPositionAsAFailedAttempt)
{
    auto driver = makeDriver();
    driver.start(at(0));
    deliverTokens(driver, 1, 0, 1, 10);
    driver.tokenArrived(1, 2, { 9, "skipped one" }, at(20));
    LONGS_EQUAL(2, host.orders.size());
    LONGS_EQUAL(1, host.orders[1].position);
}

TEST(GenerationDriver, IsCompleteWhenItsEngineDiesAfterTheLastToken)
{
    auto driver = makeDriver();
    driver.start(at(0));
    deliverTokens(driver, 1, 0, maxTokens, 10);
    driver.attemptFailed(1, FailureKind::ConnectionLost, at(11));
    CHECK_FALSE(driver.error());
    LONGS_EQUAL(1, host.orders.size());
}

TEST(GenerationDriver, DetectsASilentEndpoint)
{
    auto driver = makeDriver();
    driver.start(at(0));
    deliverTokens(driver, 1, 0, 1, 10);
    driver.tick(at(10) + host.livenessSettings.bounds.ceiling - at(1));
    LONGS_EQUAL(1, host.orders.size());
    driver.tick(at(10) + host.livenessSettings.bounds.ceiling);
    LONGS_EQUAL(2, host.orders.size());
    STRCMP_EQUAL("silent", host.lastFailure().c_str());
}

// Guards against ending an answer for silence when no other endpoint may continue it.
TEST(GenerationDriver, WaitsForASilentEndpointWhenNoAttemptMayFollow)
{
    auto driver = makeDriver(false, 5000);
    driver.start(at(0));
    driver.tick(at(4000));
    CHECK_FALSE(driver.isOver());
    CHECK(driver.nextTick() == at(5000));
    deliverTokens(driver, 1, 0, maxTokens, 4500);
    CHECK(driver.isOver());
    CHECK_FALSE(driver.error());
    LONGS_EQUAL(1, host.orders.size());
}

TEST(GenerationDriver, WaitsForItsLastAttemptUntilTheDeadline)
{
    auto driver = makeDriver(true, 50000);
    driver.start(at(0));
    for (std::int64_t now = 10000; now < 50000; now += 10000)
        driver.tick(at(now));
    LONGS_EQUAL(settings.maxAttempts, host.orders.size());
    CHECK_FALSE(driver.isOver());
    driver.tick(at(50000));
    STRCMP_EQUAL("deadline_exceeded", errorName(driver).c_str());
}

TEST(GenerationDriver, NextTickIsTheEndOfTheSilenceTimeout)
{
    auto driver = makeDriver();
    driver.start(at(0));
    deliverTokens(driver, 1, 0, 1, 10);
    CHECK(driver.nextTick() == at(10) + host.livenessSettings.bounds.ceiling);
}

TEST(GenerationDriver, ResumesWhenAnEndpointBecomesAvailable)
{
    auto driver = makeDriver();
    driver.start(at(0));
    deliverTokens(driver, 1, 0, 1, 10);
    host.available.clear();
    driver.attemptFailed(1, FailureKind::ConnectionLost, at(20));
    CHECK_FALSE(driver.isOver());
    host.available = { "e9" };
    driver.tick(at(30));
    STRCMP_EQUAL("e9", host.orders.back().endpoint.c_str());
}

TEST(GenerationDriver, GivesUpWhenNoEndpointBecomesAvailableInTime)
{
    auto driver = makeDriver();
    host.available.clear();
    driver.start(at(0));
    driver.tick(at(1000));
    CHECK_FALSE(driver.isOver());
    driver.tick(at(1010));
    STRCMP_EQUAL("no_endpoint", errorName(driver).c_str());
    STRCMP_EQUAL("not-run", outcomeName(driver).c_str());
}

TEST(GenerationDriver, GivesUpWhenEveryEndpointRejectsTheWorkForTooLong)
{
    auto driver = makeDriver();
    driver.start(at(0));
    driver.attemptFailed(1, FailureKind::ConnectionRefused, at(400));
    driver.attemptFailed(2, FailureKind::Overloaded, at(800));
    driver.attemptFailed(3, FailureKind::ConnectionRefused, at(1200));
    STRCMP_EQUAL("no_endpoint", errorName(driver).c_str());
    STRCMP_EQUAL("not-run", outcomeName(driver).c_str());
}

TEST(GenerationDriver, DoesNotCountAttemptsThatWereRejected)
{
    auto driver = makeDriver();
    driver.start(at(0));
    for (AttemptNumber attempt = 1; attempt <= 9; ++attempt)
        driver.attemptFailed(attempt, FailureKind::ConnectionRefused, at(attempt));
    CHECK_FALSE(driver.isOver());
    LONGS_EQUAL(10, host.orders.size());
}

TEST(GenerationDriver, GivesUpAfterTheMaximumNumberOfAttempts)
{
    auto driver = makeDriver();
    driver.start(at(0));
    driver.attemptFailed(1, FailureKind::ConnectionLost, at(1));
    driver.attemptFailed(2, FailureKind::ErrorStatus, at(2));
    driver.attemptFailed(3, FailureKind::MalformedEvent, at(3));
    STRCMP_EQUAL("attempts_exhausted", errorName(driver).c_str());
    STRCMP_EQUAL("unknown", outcomeName(driver).c_str());
    STRCMP_CONTAINS("malformed-event", driver.error()->message.c_str());
}

TEST(GenerationDriver, NeverRestartsUnrepeatableWorkWithoutTokens)
{
    auto driver = makeDriver(false);
    driver.start(at(0));
    driver.attemptFailed(1, FailureKind::ConnectionLost, at(1));
    STRCMP_EQUAL("may_have_run", errorName(driver).c_str());
    STRCMP_EQUAL("unknown", outcomeName(driver).c_str());
    LONGS_EQUAL(1, host.orders.size());
}

TEST(GenerationDriver, RetriesUnrepeatableWorkThatDidNotStart)
{
    auto driver = makeDriver(false);
    driver.start(at(0));
    driver.attemptFailed(1, FailureKind::ConnectionRefused, at(1));
    LONGS_EQUAL(2, host.orders.size());
    CHECK_FALSE(driver.isOver());
}

TEST(GenerationDriver, ContinuesUnrepeatableWorkFromItsTokens)
{
    auto driver = makeDriver(false);
    driver.start(at(0));
    deliverTokens(driver, 1, 0, 1, 10);
    driver.attemptFailed(1, FailureKind::ConnectionLost, at(20));
    LONGS_EQUAL(2, host.orders.size());
    LONGS_EQUAL(1, host.orders[1].position);
}

TEST(GenerationDriver, GivesUpAndCancelsAtItsDeadline)
{
    auto driver = makeDriver(true, 50);
    driver.start(at(0));
    deliverTokens(driver, 1, 0, 1, 10);
    driver.tick(at(50));
    STRCMP_EQUAL("deadline_exceeded", errorName(driver).c_str());
    LONGS_EQUAL(1, host.cancelled.size());
}

TEST(GenerationDriver, CancelsAtOnceWhenAbandonedAndKeepsItsTokens)
{
    auto driver = makeDriver();
    driver.start(at(0));
    deliverTokens(driver, 1, 0, 2, 10);
    driver.abandon();
    LONGS_EQUAL(1, host.cancelled.size());
    LONGS_EQUAL(2, driver.generation().length());
}

TEST(GenerationDriver, ContinuesAbandonedWorkFromItsTokens)
{
    auto driver = makeDriver();
    driver.start(at(0));
    deliverTokens(driver, 1, 0, 2, 10);
    driver.abandon();
    driver.resumeAbandoned(at(500), at(100000));
    CHECK_FALSE(driver.error());
    LONGS_EQUAL(2, host.orders.back().position);
}

TEST(GenerationDriver, DoesNotContinueAbandonedUnrepeatableWorkThatMayHaveBegun)
{
    auto driver = makeDriver(false);
    driver.start(at(0));
    driver.abandon();
    driver.resumeAbandoned(at(500), at(100000));
    LONGS_EQUAL(1, host.orders.size());
    STRCMP_EQUAL("unknown", outcomeName(driver).c_str());
}

TEST(GenerationDriver, ReportsOneGapForTwoConsecutiveFailures)
{
    auto driver = makeDriver();
    driver.start(at(0));
    deliverTokens(driver, 1, 0, 1, 100);
    driver.attemptFailed(1, FailureKind::ConnectionLost, at(110));
    driver.attemptFailed(2, FailureKind::ConnectionLost, at(130));
    deliverTokens(driver, 3, 1, 1, 150);
    LONGS_EQUAL(1, host.resumptions.size());
    LONGS_EQUAL(50, host.resumptions[0].gap.count());
    LONGS_EQUAL(40, host.resumptions[0].sinceDetection.count());
}

// Tokens of a cancelled attempt can still be on their way. Accepting them would continue work that was stopped.
TEST(GenerationDriver, RefusesTokensOfItsLastAttemptAfterItWasStopped)
{
    const GenerationErrorCode reasons[] = { GenerationErrorCode::Abandoned, GenerationErrorCode::TakenOver };
    for (const auto reason : reasons) {
        auto driver = makeDriver();
        driver.start(at(0));
        deliverTokens(driver, 1, 0, 1, 10);
        driver.stop(reason);
        deliverTokens(driver, 1, 1, maxTokens - 1, 20);
        LONGS_EQUAL(1, driver.generation().length());
        const auto result = driver.attemptFinished(1, 1, FinishReason::Stop, at(20));
        STRCMP_EQUAL("not-current-attempt", std::string(nameIn(appendResultNames, result)).c_str());
    }
}

TEST(GenerationDriver, RefusesTokensOfALostAttemptWhileItWaitsForAnEndpoint)
{
    auto driver = makeDriver();
    driver.start(at(0));
    host.available.clear();
    driver.attemptFailed(1, FailureKind::Silent, at(500));
    deliverTokens(driver, 1, 0, 1, 510);
    LONGS_EQUAL(0, driver.generation().length());
}
