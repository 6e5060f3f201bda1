#include "reach/VmChoice.h"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

PeerVm vmAt(int number, const std::string& zone) { return { { "10.0.0.1", number }, zone }; }

std::vector<PeerVm> fleetOf(int vms, int zones)
{
    std::vector<PeerVm> fleet;
    for (int i = 1; i < vms; ++i)
        fleet.push_back(vmAt(i, "zone-" + std::to_string(i % zones)));
    return fleet;
}

} // namespace

TEST_GROUP(VmChoice)
{
    Milliseconds now { 10'000 };

    // Searches a VM that helps and reports each result. Returns the number of VMs that were tried, or nothing if none
    // of them helps.
    std::optional<int> search(VmChoice & choice, const std::function<bool(const PeerVm&)>& helps)
    {
        VmChoice::Search tries;
        for (int count = 1;; ++count) {
            const auto vm = choice.next(tries, now);
            if (!vm)
                return std::nullopt;
            choice.noteResult(*vm, helps(*vm), now);
            if (helps(*vm))
                return count;
        }
    }
};

TEST(VmChoice, TriesEachVmOnceAndThenEnds)
{
    VmChoice choice("zone-0", 1);
    choice.setVms(fleetOf(4, 2));
    VmChoice::Search tries;
    std::set<std::int64_t> ports;
    while (const auto vm = choice.next(tries, now))
        ports.insert(vm->address.port);
    LONGS_EQUAL(3, ports.size());
}

TEST(VmChoice, BeginsInItsOwnZoneAndGoesOnInAnother)
{
    VmChoice choice("zone-0", 1);
    choice.setVms(fleetOf(40, 4));
    VmChoice::Search tries;
    STRCMP_EQUAL("zone-0", choice.next(tries, now)->availabilityZone.c_str());
    CHECK(choice.next(tries, now)->availabilityZone != "zone-0");
}

// Load pattern: a whole zone of 400 of 2,000 VMs is partitioned.
TEST(VmChoice, FindsHelpInAnotherZoneWhenItsOwnZoneIsPartitioned)
{
    VmChoice choice("zone-0", 7);
    choice.setVms(fleetOf(2000, 5));
    int tries = 0;
    for (int connection = 0; connection < 200; ++connection) {
        const auto count = search(choice, [](const PeerVm& vm) { return vm.availabilityZone != "zone-0"; });
        CHECK_TEXT(count.has_value(), "no VM was found");
        tries += *count;
        now += Milliseconds { 20 };
    }
    CHECK_TEXT(tries < 2 * 200, "most connections should go to a VM that is known to help");
}

// Load pattern: all VMs but one are partitioned.
TEST(VmChoice, FindsTheOnlyVmThatHelps)
{
    VmChoice choice("zone-0", 3);
    choice.setVms(fleetOf(6, 3));
    const auto helps = [](const PeerVm& vm) { return vm.address.port == 4; };
    CHECK(search(choice, helps).has_value());
    for (int connection = 0; connection < 50; ++connection) {
        CHECK(search(choice, helps).has_value());
        now += Milliseconds { 50 };
    }
}

TEST(VmChoice, SpreadsConnectionsOverSeveralVms)
{
    VmChoice choice("zone-0", 5);
    choice.setVms(fleetOf(60, 3));
    std::map<std::int64_t, int> connections;
    for (int i = 0; i < 400; ++i) {
        VmChoice::Search tries;
        const auto vm = choice.next(tries, now);
        choice.noteResult(*vm, true, now);
        ++connections[vm->address.port];
        now += Milliseconds { 5 };
    }
    CHECK(connections.size() >= VmChoice::enoughHelpful);
    for (const auto& [port, count] : connections)
        CHECK_TEXT(count < 250, "one VM should not carry most of the connections");
}

TEST(VmChoice, UsesAVmAgainSomeTimeAfterItDidNotHelp)
{
    VmChoice choice("zone-0", 1);
    choice.setVms({ vmAt(1, "zone-0") });
    CHECK_FALSE(search(choice, [](const PeerVm&) { return false; }).has_value());
    CHECK_FALSE(search(choice, [](const PeerVm&) { return true; }).has_value());
    now += VmChoice::skippedFor;
    LONGS_EQUAL(1, search(choice, [](const PeerVm&) { return true; }).value_or(0));
}
