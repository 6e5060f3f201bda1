#include "ZoneReaders.h"
#include "lupinknot/ManualClock.h"

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::platform;

TEST_GROUP(ZoneReaders)
{
    ManualClock clock;

    // Five VMs of zone a in addition to the tested one, and a fast one of another zone.
    static std::vector<VmEntry> others()
    {
        return { { "b1", "b", {}, 1000 }, { "a1", "a", {}, 10 }, { "a2", "a", {}, 200 }, { "a3", "a", {}, 200 },
            { "a4", "a", {}, 10 }, { "a5", "a", {}, 10 } };
    }
};

TEST(ZoneReaders, TheReaderIsTheFirstByNameAmongTheFastestOfTheZone)
{
    ZoneReaders readers(clock, { "a9", "a", {}, 10 });
    readers.setOthers(others());
    STRCMP_EQUAL("a2", readers.current()->name.c_str());
}

TEST(ZoneReaders, TheReaderReadsTheStoreItself)
{
    ZoneReaders readers(clock, { "a0", "a", {}, 200 });
    readers.setOthers(others());
    CHECK_FALSE(readers.current().has_value());
}

TEST(ZoneReaders, AZoneOfFewVmsHasNoReader)
{
    ZoneReaders readers(clock, { "b9", "b", {}, 10 });
    CHECK_FALSE_TEXT(readers.current().has_value(), "a VM must read the store itself before it knows the other VMs");
    readers.setOthers(others());
    CHECK_FALSE(readers.current().has_value());
}

TEST(ZoneReaders, FailedReaderIsReplacedAfterTheNextHadTimeToDetectTheFailure)
{
    ZoneReaders readers(clock, { "a9", "a", {}, 10 });
    readers.setOthers(others());
    readers.skipUnreachableReader("a2");
    CHECK_FALSE_TEXT(
        readers.current().has_value(), "a VM must read the store itself right after a failure of its reader");
    clock.advance(Milliseconds { 2000 });
    STRCMP_EQUAL("a3", readers.current()->name.c_str());
    clock.advance(Milliseconds { 5000 });
    STRCMP_EQUAL("a2", readers.current()->name.c_str());
}

TEST(ZoneReaders, ReaderWithStaleDataIsReplacedAtOnce)
{
    ZoneReaders readers(clock, { "a9", "a", {}, 10 });
    readers.setOthers(others());
    readers.skipReader("a2");
    STRCMP_EQUAL("a3", readers.current()->name.c_str());
    readers.skipReader("a3");
    STRCMP_EQUAL("a1", readers.current()->name.c_str());
    clock.advance(Milliseconds { 6001 });
    STRCMP_EQUAL("a2", readers.current()->name.c_str());
}

// The store responds to no VM in a zone of 59 VMs. Each VM finds that one reader after the other has stale data.
TEST(ZoneReaders, OnlyTheFirstFewVmsAskAFailingStore)
{
    constexpr int vmCount = 59;
    std::vector<VmEntry> vms;
    vms.reserve(vmCount);
    for (int i = 0; i < vmCount; ++i)
        vms.push_back({ "a" + std::to_string(100 + i), "a", {}, 10 });
    int callingVms = 0;
    for (const auto& self : vms) {
        ZoneReaders readers(clock, self);
        auto known = vms;
        known.erase(
            std::find_if(known.begin(), known.end(), [&self](const VmEntry& vm) { return vm.name == self.name; }));
        readers.setOthers(known);
        bool callsTheStore = false;
        for (int attempt = 0; attempt < 20; ++attempt) {
            const auto reader = readers.current();
            callsTheStore = callsTheStore || !reader;
            if (reader)
                readers.skipReader(reader->name);
        }
        callingVms += callsTheStore ? 1 : 0;
    }
    CHECK_TEXT(callingVms <= 5, "a failing store must be called by at most five VMs of the zone");
}

TEST(ZoneReaders, NextVmByRankReadsTheStoreWhenTheFirstHasFailed)
{
    ZoneReaders readers(clock, { "a3", "a", {}, 200 });
    auto vms = others();
    vms.erase(vms.begin() + 3);
    vms.push_back({ "a6", "a", {}, 10 });
    readers.setOthers(vms);
    STRCMP_EQUAL("a2", readers.current()->name.c_str());
    readers.skipUnreachableReader("a2");
    clock.advance(Milliseconds { 2000 });
    CHECK_FALSE_TEXT(readers.current().has_value(), "a3 is the first by rank now and must read the store");
}

TEST(ZoneReaders, ReaderThatTheStoreRejectsAsksTheNextByRank)
{
    ZoneReaders readers(clock, { "a0", "a", {}, 200 });
    readers.setOthers(others());
    readers.skipSelf();
    STRCMP_EQUAL("a2", readers.current()->name.c_str());
    clock.advance(Milliseconds { 7000 });
    CHECK_FALSE_TEXT(
        readers.current().has_value(), "the first by rank must be the reader again once the skip time is over");
}

// One VM of each zone would send the whole list to all others over one link.
TEST(ZoneReaders, WholeTablesAreReadFromSeveralVms)
{
    constexpr int vmCount = 400;
    std::vector<VmEntry> vms;
    vms.reserve(vmCount);
    for (int i = 0; i < vmCount; ++i)
        vms.push_back({ "a" + std::to_string(1000 + i), "a", {}, i < 10 ? 1000.0 : 20.0 });
    std::map<std::string, int> followers;
    int storeReaders = 0;
    for (const auto& self : vms) {
        ZoneReaders readers(clock, self);
        auto first = std::vector<VmEntry>(vms.begin(), vms.begin() + VmRegistry::zoneRows);
        std::erase_if(first, [&self](const VmEntry& vm) { return vm.name == self.name; });
        readers.setOthers(first);
        const auto source = readers.listSource();
        storeReaders += source ? 0 : 1;
        if (source)
            ++followers[source->name];
    }
    LONGS_EQUAL(1, storeReaders);
    LONGS_EQUAL(8, followers.size());
    for (const auto& [name, count] : followers)
        CHECK_TEXT(count <= 90, (name + " serves " + std::to_string(count) + " VMs").c_str());
}

TEST(ZoneReaders, WholeTablesAreNotReadFromVmsWithSlowLinks)
{
    std::vector<VmEntry> vms { { "a0", "a", {}, 1000 }, { "a1", "a", {}, 1000 } };
    vms.reserve(40);
    for (int i = 2; i < 40; ++i)
        vms.push_back({ "a" + std::to_string(i), "a", {}, 20 });
    for (std::size_t i = 20; i < vms.size(); ++i) {
        ZoneReaders readers(clock, vms[i]);
        readers.setOthers(vms);
        CHECK(readers.listSource()->linkSpeed > 999);
    }
}

TEST(ZoneReaders, AnotherSourceOfWholeTablesReplacesAFailedOne)
{
    ZoneReaders readers(clock, { "a9", "a", {}, 10 });
    std::vector<VmEntry> vms;
    vms.reserve(9);
    for (int i = 0; i < 9; ++i)
        vms.push_back({ "a" + std::to_string(i), "a", {}, 200 });
    readers.setOthers(vms);
    const auto source = readers.listSource()->name;
    readers.skipReader(source);
    CHECK(readers.listSource()->name != source);
}
