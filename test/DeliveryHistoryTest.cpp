#include "admission/DeliveryHistory.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot::internal;

TEST_GROUP(DeliveryHistory) { DeliveryHistory history; };

TEST(DeliveryHistory, AnOpenDeliveryMayRun)
{
    history.add();
    LONGS_EQUAL(1, history.possibleRuns());
    LONGS_EQUAL(1, history.possibleArrivals());
}

TEST(DeliveryHistory, ARejectionTakesBackOnlyItsOwnDelivery)
{
    const auto rejected = history.add();
    const auto running = history.add();
    history.settle(rejected, DeliveryOutcome::NotRun);
    history.settle(rejected, DeliveryOutcome::NotRun);
    LONGS_EQUAL(1, history.possibleRuns());
    history.settle(running, DeliveryOutcome::MayHaveRun);
    LONGS_EQUAL(1, history.possibleRuns());
    LONGS_EQUAL(2, history.possibleArrivals());
}

TEST(DeliveryHistory, ALaterStatementDoesNotTakeBackARun)
{
    const auto delivery = history.add();
    history.settle(delivery, DeliveryOutcome::MayHaveRun);
    history.settle(delivery, DeliveryOutcome::NotRun);
    LONGS_EQUAL(1, history.possibleRuns());
}

TEST(DeliveryHistory, AnUnsentDeliveryHasReachedNothingAndUsedNoConnection)
{
    const auto unsent = history.add();
    history.noteConnection(unsent, 7);
    history.settle(unsent, DeliveryOutcome::Unsent);
    const auto sent = history.add();
    history.noteConnection(sent, 8);
    LONGS_EQUAL(1, history.possibleRuns());
    LONGS_EQUAL(1, history.possibleArrivals());
    LONGS_EQUAL(1, history.connections().size());
    LONGS_EQUAL(8, history.connections().front());
}
