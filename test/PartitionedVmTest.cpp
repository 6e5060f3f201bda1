// VMs that are partitioned from all endpoints, while callers, the store and other VMs still reach them.
#include "PartitionedFleet.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

constexpr int calls = 15;
// Time in which a VM may find out that it is partitioned.
constexpr Milliseconds detectionTime { 1000 };

} // namespace

TEST_GROUP(PartitionedVm)
{
    std::unique_ptr<PartitionedFleet> fleet;

    void teardown() override { fleet.reset(); }

    void begin(std::size_t vms)
    {
        fleet = std::make_unique<PartitionedFleet>(vms);
        CHECK_TEXT(fleet->start(), "the fleet did not start");
    }

    // Keeps the VM busy while it finds out that it is partitioned.
    void detect(std::size_t vm)
    {
        const auto end = std::chrono::steady_clock::now() + detectionTime;
        while (std::chrono::steady_clock::now() < end) {
            fleet->call(vm, "/looks/");
            fleet->call(vm, "/calls/");
            fleet->runFor(Milliseconds { 100 });
        }
    }

    void checkCallsAreServed(std::size_t vm)
    {
        for (const auto* const path : { "/calls/", "/looks/" }) {
            const auto served = servedCount(fleet->callRepeatedly(vm, path, calls));
            const auto text = std::string(path) + ": " + std::to_string(served) + " of " + std::to_string(calls);
            CHECK_TEXT(3 * served >= 2 * calls, text.c_str());
        }
    }

    void checkStreamIsServed(std::size_t vm, const std::string& promptId)
    {
        const auto story = fleet->call(vm, "/stories/", promptId);
        fleet->waitFor({ story });
        LONGS_EQUAL_TEXT(200, story->status, story->problem.value_or(story->body).c_str());
    }

    void checkServesBehindPartition(PartitionMode mode)
    {
        begin(3);
        fleet->network(0).begin(mode);
        detect(0);
        checkCallsAreServed(0);
        checkStreamIsServed(0, "bb");
    }

    void checkStreamSurvives(PartitionMode mode)
    {
        begin(3);
        const auto story = fleet->call(0, "/stories/", "cc");
        fleet->runFor(Milliseconds { 600 });
        fleet->network(0).begin(mode);
        fleet->waitFor({ story });
        LONGS_EQUAL_TEXT(200, story->status, story->problem.value_or(story->body).c_str());
        CHECK_TEXT(story->body.find("id: 40\n") != std::string::npos, "the stream must be complete");
    }
};

TEST(PartitionedVm, ServesWhileItsConnectionsToEndpointsHang) { checkServesBehindPartition(PartitionMode::Hang); }

TEST(PartitionedVm, ServesWhileItsConnectionsToEndpointsAreReset) { checkServesBehindPartition(PartitionMode::Reset); }

TEST(PartitionedVm, ServesWhileNewConnectionsToEndpointsAreRefused)
{
    checkServesBehindPartition(PartitionMode::RefuseNew);
}

TEST(PartitionedVm, CompletesAStreamWhoseConnectionHangs) { checkStreamSurvives(PartitionMode::Hang); }

TEST(PartitionedVm, CompletesAStreamWhoseConnectionIsReset) { checkStreamSurvives(PartitionMode::Reset); }

TEST(PartitionedVm, ServesWhileAllOtherVmsButOneArePartitionedToo)
{
    begin(4);
    fleet->partition(0, 3, PartitionMode::Hang);
    for (std::size_t vm = 0; vm < 3; ++vm)
        detect(vm);
    for (std::size_t vm = 0; vm < 3; ++vm)
        checkCallsAreServed(vm);
}

TEST(PartitionedVm, ServesWhenThePartitionBeginsAgain)
{
    begin(2);
    fleet->network(0).begin(PartitionMode::Hang);
    detect(0);
    fleet->network(0).end();
    fleet->runFor(detectionTime);
    checkCallsAreServed(0);
    fleet->network(0).begin(PartitionMode::Hang);
    detect(0);
    checkCallsAreServed(0);
}
