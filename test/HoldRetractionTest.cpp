#include "quarantine/HoldRetraction.h"
#include "quarantine/CrashWeight.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(HoldRetraction)
{
    const Milliseconds now { 60'000 };
    std::vector<KnownCrash> records;

    void addLoss(bool wasSilent, Milliseconds ago)
    {
        CrashRecord record;
        record.weight = fullSuspicion;
        record.wasSilent = wasSilent;
        records.push_back({ record, now - ago });
    }
};

// Guards against breaking off a stream because of a hold that ends when its silent engines go on.
TEST(HoldRetraction, AHoldThatRestsOnSilenceMayBeRetracted)
{
    addLoss(false, Milliseconds { 900 });
    addLoss(false, Milliseconds { 800 });
    addLoss(true, Milliseconds { 700 });
    CHECK(mayHoldBeRetracted(records, now));
    CHECK_FALSE(mayHoldBeRetracted(records, now + silenceRetractionTime));
}

// Guards against keeping streams waiting for a hold that cannot end early.
TEST(HoldRetraction, AHoldThatRestsOnBrokenConnectionsMayNotBeRetracted)
{
    for (int i = 0; i < 3; ++i)
        addLoss(false, Milliseconds { 900 });
    addLoss(true, Milliseconds { 700 });
    CHECK_FALSE(mayHoldBeRetracted(records, now));
}
