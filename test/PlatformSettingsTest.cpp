#include "PlatformSettings.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace lupinknot;
using namespace lupinknot::platform;

TEST_GROUP(PlatformSettings)
{
    const std::string path = "/tmp/lupinknot-platform-settings-" + std::to_string(::getpid()) + ".toml";

    void teardown() override { std::remove(path.c_str()); }

    PlatformSettingsResult read(const std::string& text)
    {
        std::ofstream(path) << text;
        return readPlatformSettings(path, 9464);
    }
};

TEST(PlatformSettings, ReadsAddressesZoneAndBounds)
{
    const auto result = read(
        "node-name = \"edge-1\"\nzone = \"hall-a\"\nunknown = 1\n"
        "[listen]\nfront = \"10.1.0.19:8740\"\nready = \"10.1.0.19:8749\"\n"
        "[bounds]\ncontact-ms = 3000\ndrain-ms = 2000\nretry-budget-ratio = 0.5\nbudget-slack = 70\ngrace-s = 6\n"
        "expose-share = 0.05\nexpose-slack = 30\n"
        "[platform]\naddress = \"10.200.1.7:8742\"\n");
    STRCMP_EQUAL("", result.problem.c_str());
    const auto& settings = result.settings;
    STRCMP_EQUAL("edge-1", settings.relay.vmName.c_str());
    STRCMP_EQUAL("hall-a", settings.relay.availabilityZone.c_str());
    STRCMP_EQUAL("10.1.0.19:8740", settings.addresses.front.text().c_str());
    STRCMP_EQUAL("10.1.0.19:9464", settings.addresses.metrics.text().c_str());
    STRCMP_EQUAL("10.200.1.7:8742", settings.store.text().c_str());
    DOUBLES_EQUAL(0.5, settings.relay.retryRatio, 1e-9);
    DOUBLES_EQUAL(70, settings.relay.retrySlack, 1e-9);
    DOUBLES_EQUAL_TEXT(0, settings.relay.retrySlackShare, 1e-9, "must be 0 until the number of VMs is known");
    DOUBLES_EQUAL(0.05, settings.relay.exposureLimit.share, 1e-9);
    DOUBLES_EQUAL(30, settings.relay.exposureLimit.slack, 1e-9);
    LONGS_EQUAL(5700, settings.relay.stopWithin.count());
    LONGS_EQUAL(2000, settings.feedWait.count());
    LONGS_EQUAL(700, settings.endpointsPause.count());
    LONGS_EQUAL(600, settings.relay.removedEndpointGrace.count());
}

// The worst case is the sum of the maximum accepted age of a reader's data, the wait at the reader, and a response that
// never arrives.
TEST(PlatformSettings, ChangesFromAReaderArriveWithinTheTimeLimits)
{
    const auto result = read("zone = \"hall-a\"\n[listen]\nfront = \"10.1.0.19:8740\"\nready = \"10.1.0.19:8749\"\n"
                             "[limits]\nlink-mbps = 10.0\n[bounds]\ndrain-ms = 3000\nconfig-apply-ms = 2000\n"
                             "[platform]\naddress = \"10.200.1.7:8742\"\n");
    STRCMP_EQUAL("", result.problem.c_str());
    const auto& sharing = result.settings.sharing;
    const auto worst = sharing.maxReaderAge + sharing.maxWait + sharing.responseTime;
    CHECK_TEXT(worst <= Milliseconds { 1200 }, "data may be older than six tenths of the shorter bound, 2000 ms");
    CHECK_TEXT(worst + result.settings.relay.removedEndpointGrace < Milliseconds { 3000 },
        "an endpoint whose entry was removed may get requests after the 3000 ms that the deployment allows");
    CHECK_TEXT(sharing.readerTiming.pauseAfterChanges + sharing.readerTiming.maxWait < sharing.maxReaderAge,
        "the data of a reader that pauses after a change and then polls the store must be accepted");
    DOUBLES_EQUAL(10, result.settings.linkSpeed, 1e-9);
}

TEST(PlatformSettings, NamesTheMissingAddress)
{
    const auto result = read("[listen]\nfront = \"10.1.0.19:8740\"\n");
    STRCMP_CONTAINS("listen.ready: expected IP:PORT, got nothing", result.problem.c_str());
}

TEST(PlatformSettings, NamesAnInvalidAddress)
{
    const auto result = read("[listen]\nfront = \"10.1.0.19:99999\"\n");
    STRCMP_CONTAINS("listen.front: expected IP:PORT, got \"10.1.0.19:99999\"", result.problem.c_str());
}

TEST(PlatformSettings, NamesTheLineOfASyntaxError)
{
    STRCMP_CONTAINS("line 2", read("zone = \"a\"\nfront = \n").problem.c_str());
}

TEST(PlatformSettings, ReadsTheUsageDuty)
{
    const std::string common = "zone = \"hall-a\"\n[listen]\nfront = \"10.1.0.19:8740\"\nready = \"10.1.0.19:8749\"\n"
                               "[bounds]\nreport-window-s = 5\nusage-late-s = 10\nlease-ms = 2500\n"
                               "[platform]\naddress = \"10.200.1.7:8742\"\n";
    CHECK_FALSE_TEXT(read(common).settings.usageDuty.has_value(), "without the duty nothing is reported");
    const auto result
        = read(common + "[cloud]\naddress = \"10.200.0.70:8181\"\nduties = [\"autoscale\",\"usage_report\"]\n");
    STRCMP_EQUAL("", result.problem.c_str());
    const auto& duty = result.settings.usageDuty;
    CHECK(duty.has_value());
    STRCMP_EQUAL("10.200.0.70:8181", duty->address.text().c_str());
    LONGS_EQUAL(5000, duty->schedule.windowLength.count());
    LONGS_EQUAL(10000, duty->schedule.dueAfter.count());
    LONGS_EQUAL(2500, duty->lease.count());
    const auto invalid = read(common + "[cloud]\naddress = \"nowhere\"\nduties = [\"usage_report\"]\n");
    CHECK_TEXT(invalid.problem.find("cloud.address: expected IP:PORT, got \"nowhere\"") != std::string::npos,
        invalid.problem.c_str());
}
