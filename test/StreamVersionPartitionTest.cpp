// Engines of a new version join while one VM is out of step: cut off or standing still. Callers whose streams began at
// the new version through other VMs resume them there.
#include "FleetStreams.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

constexpr std::size_t servingVm = 0;
constexpr std::size_t vmOutOfStep = 2;
constexpr std::size_t vmCount = 3;
constexpr std::size_t streamCount = 15;
constexpr std::uint64_t eventCount = 200;
// VMs learn of engines within the pause between two calls to the store.
constexpr Milliseconds joinTime { 1500 };
// Notes of streams reach the other VMs, and the store.
constexpr Milliseconds noteTime { 800 };
// Longer than a call to the store can hang, so that the VM has asked again since.
constexpr Milliseconds timeUntilListIsKnown { 4500 };

} // namespace

TEST_GROUP(StreamVersionPartition)
{
    std::unique_ptr<PartitionedFleet> fleet;
    std::unique_ptr<FleetStreams> streams;

    void teardown() override
    {
        streams.reset();
        fleet.reset();
    }

    void start(PartitionedFrom from)
    {
        fleet = std::make_unique<PartitionedFleet>(vmCount);
        streams = std::make_unique<FleetStreams>(*fleet);
        fleet->useEngines({ "v1" }, eventCount);
        fleet->partitionFrom(from);
        CHECK_TEXT(fleet->start(), "the fleet did not start");
    }

    void joinNewVersion()
    {
        for (int i = 0; i < 8; ++i)
            CHECK(fleet->addEngine("v2"));
        fleet->runFor(joinTime);
    }

    // Streams of which each caller names the first attempt, or only the prompt, or which share their prompt.
    void beginStreams()
    {
        for (std::size_t i = 0; i < streamCount / 3; ++i) {
            const auto number = std::to_string(i);
            streams->begin(servingVm, { "named" + number, "a" + number });
            streams->begin(servingVm, { "unnamed" + number, "b" + number, false });
            streams->begin(servingVm, { "session" + number, "5e55" });
        }
        CHECK_TEXT(streams->haveEvents(), streams->text().c_str());
        CHECK_TEXT(streams->countBegunAt("v2") >= 4, "too few streams began at the new version");
    }

    void loseServingVm()
    {
        fleet->runFor(noteTime);
        fleet->stopVm(servingVm);
    }

    void resumeAtVmOutOfStep()
    {
        streams->resume(vmOutOfStep);
        CHECK_TEXT(streams->areDecided(), "a stream was neither continued nor refused");
        LONGS_EQUAL_TEXT(0, streams->count(StreamFate::OtherVersion), streams->text().c_str());
        LONGS_EQUAL_TEXT(0, streams->count(StreamFate::RefusedForGood), streams->text().c_str());
        LONGS_EQUAL_TEXT(0, streams->count(StreamFate::BrokenOff), streams->text().c_str());
    }

    // The new version joins and serves while the VM is partitioned.
    void joinBehindPartition(PartitionedFrom from)
    {
        start(from);
        fleet->beginPartition(vmOutOfStep, PartitionMode::Hang);
        joinNewVersion();
        beginStreams();
        loseServingVm();
    }
};

// Guards against a VM that takes the only version it has seen for the only one, while it reaches no other VM.
TEST(StreamVersionPartition, AVmCutOffFromTheOthersKeepsToTheVersionThatBegan)
{
    joinBehindPartition(PartitionedFrom::OtherVms);
    resumeAtVmOutOfStep();
    CHECK_TEXT(2 * streams->count(StreamFate::Continued) >= streamCount, streams->text().c_str());
}

// Guards against the same while the VM does not reach the store, so that its list of engines is old.
TEST(StreamVersionPartition, AVmCutOffFromTheStoreKeepsToTheVersionThatBegan)
{
    joinBehindPartition(PartitionedFrom::Store);
    resumeAtVmOutOfStep();
    CHECK_TEXT(streams->count(StreamFate::Continued) >= 1, streams->text().c_str());
}

// Guards against the same while the VM reaches neither.
TEST(StreamVersionPartition, AVmCutOffFromTheStoreAndTheOthersKeepsToTheVersionThatBegan)
{
    joinBehindPartition(PartitionedFrom::StoreAndOtherVms);
    resumeAtVmOutOfStep();
}

// Guards against a VM that refuses every stream while it is cut off, also those of which it has a note.
TEST(StreamVersionPartition, AVmCutOffFromTheStoreAndTheOthersContinuesStreamsThatItKnows)
{
    start(PartitionedFrom::StoreAndOtherVms);
    for (int i = 0; i < 6; ++i)
        streams->begin(servingVm, { "named" + std::to_string(i), "a" + std::to_string(i), i % 2 == 0 });
    CHECK(streams->haveEvents());
    fleet->runFor(noteTime);
    fleet->beginPartition(vmOutOfStep, PartitionMode::Hang);
    joinNewVersion();
    fleet->stopVm(servingVm);
    resumeAtVmOutOfStep();
    LONGS_EQUAL_TEXT(6, streams->count(StreamFate::Continued), streams->text().c_str());
}

// Guards against a VM whose partition has just ended and that still has the old list of engines.
TEST(StreamVersionPartition, AVmKeepsToTheVersionThatBeganRightAfterItsPartition)
{
    joinBehindPartition(PartitionedFrom::StoreAndOtherVms);
    fleet->endPartition(vmOutOfStep);
    resumeAtVmOutOfStep();
    fleet->runFor(timeUntilListIsKnown);
    resumeAtVmOutOfStep();
    CHECK_TEXT(2 * streams->count(StreamFate::Continued) >= streamCount, streams->text().c_str());
}

// Guards against the same after a partition from the store alone.
TEST(StreamVersionPartition, AVmKeepsToTheVersionThatBeganRightAfterTheStoreIsBack)
{
    joinBehindPartition(PartitionedFrom::Store);
    fleet->endPartition(vmOutOfStep);
    resumeAtVmOutOfStep();
    fleet->runFor(timeUntilListIsKnown);
    resumeAtVmOutOfStep();
    CHECK_TEXT(2 * streams->count(StreamFate::Continued) >= streamCount, streams->text().c_str());
}

// Guards against a VM that never lists a version which joined and left again while the VM was cut off.
TEST(StreamVersionPartition, AVersionThatCameAndWentDuringThePartitionCounts)
{
    joinBehindPartition(PartitionedFrom::StoreAndOtherVms);
    fleet->removeEngines("v2");
    fleet->endPartition(vmOutOfStep);
    fleet->runFor(timeUntilListIsKnown);
    streams->resume(vmOutOfStep);
    CHECK_TEXT(streams->areDecided(), "a stream was neither continued nor refused");
    LONGS_EQUAL_TEXT(0, streams->count(StreamFate::OtherVersion), streams->text().c_str());
}

// Guards against a VM that wakes with the list of engines from before it stood still.
TEST(StreamVersionPartition, AVmThatStoodStillKeepsToTheVersionThatBegan)
{
    start(PartitionedFrom::StoreAndOtherVms);
    fleet->standStill(vmOutOfStep, Milliseconds { 6000 });
    joinNewVersion();
    beginStreams();
    loseServingVm();
    resumeAtVmOutOfStep();
    CHECK_TEXT(2 * streams->count(StreamFate::Continued) >= streamCount, streams->text().c_str());
}
