// Compares ways in which the VMs of a fleet get the list of endpoints when all of them start: calls to the store, bytes
// read from it, and the time until the last VM has the list. Uses the real choice of sources and the real encodings;
// links are modelled: a source sends to its followers in turn.
//
//     build/FleetStartStudy                       # 1,000 VMs with 10,000 endpoints, and twice that.
#include "StoreClient.h"
#include "TableHistory.h"
#include "VmRegistry.h"
#include "ZoneReaders.h"
#include "lupinknot/ManualClock.h"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <map>
#include <nlohmann/json.hpp>

namespace {

using namespace lupinknot;
using namespace lupinknot::platform;

constexpr int zones = 5;
constexpr int fastVmsPerZone = 10;
constexpr double fastLink = 1000;
constexpr double slowLink = 20;
constexpr double storeLink = 4000;
constexpr double storeCallMs = 4;
constexpr double storeCallsPerSecond = 16000;
constexpr std::size_t pageRows = 500;
constexpr double bitsInByte = 8;
constexpr double bitsInMegabitMs = 1000;

struct Cost {
    double calls { 0 };
    double storeBytes { 0 };
    double lastMs { 0 };
};

double transferMs(double bytes, double megabits) { return bytes * bitsInByte / megabits / bitsInMegabitMs; }

// Bytes of the list as a VM sends it to another one.
double listBytes(int endpoints)
{
    TableHistory history("servers");
    std::vector<StoreRow> rows;
    rows.reserve(static_cast<std::size_t>(endpoints));
    for (int i = 0; i < endpoints; ++i) {
        const nlohmann::json value { { "service", "quill" }, { "address", "10.20.30.40:9000" }, { "zone", "hall-a" },
            { "version", "v1" }, { "slots", 32 }, { "state", "ready" }, { "cold-left-ms", 0 }, { "sequence", 7 },
            { "born", 1764770000000 + i } };
        rows.push_back({ "i-" + std::to_string(1000000 + i), value.dump(), false, static_cast<std::uint64_t>(i + 1) });
    }
    history.startRequest(0);
    history.applyResponse(rows, false, { 0, static_cast<std::uint64_t>(endpoints) });
    return static_cast<double>(history.encodeChanges({}, Milliseconds { 0 }).size());
}

std::vector<VmEntry> zoneOf(int vms)
{
    std::vector<VmEntry> zone;
    zone.reserve(static_cast<std::size_t>(vms));
    for (int i = 0; i < vms; ++i)
        zone.push_back({ "vm" + std::to_string(10000 + i), "a", {}, i < fastVmsPerZone ? fastLink : slowLink });
    return zone;
}

Cost eachFromStore(int vms, double bytes, double pages)
{
    const double calls = vms * pages;
    return { calls, vms * bytes, std::max(transferMs(vms * bytes, storeLink), 1000 * calls / storeCallsPerSecond) };
}

Cost fromOneReader(int vms, double bytes, double pages)
{
    const double perZone = static_cast<double>(vms) / zones;
    const double readerMs = pages * storeCallMs + transferMs(bytes, fastLink);
    return { zones * pages, zones * bytes, readerMs + transferMs(perZone * bytes, fastLink) };
}

Cost fromSeveralSources(int vms, double bytes, double pages)
{
    const ManualClock clock;
    const auto zone = zoneOf(vms / zones);
    std::map<std::string, int> followers;
    const auto readerName = zone.front().name;
    for (const auto& self : zone) {
        ZoneReaders readers(clock, self);
        auto first = std::vector<VmEntry>(zone.begin(), zone.begin() + VmRegistry::zoneRows);
        std::erase_if(first, [&self](const VmEntry& vm) { return vm.name == self.name; });
        readers.setOthers(first);
        if (const auto source = readers.listSource())
            ++followers[source->name];
    }
    int most = 0;
    for (const auto& [name, count] : followers)
        most = std::max(most, name == readerName ? 0 : count);
    const double readerMs = pages * storeCallMs + transferMs(bytes, fastLink);
    const double sourcesMs = transferMs(followers[readerName] * bytes, fastLink);
    const double othersMs = std::max(transferMs(most * bytes, fastLink), transferMs(bytes, slowLink));
    return { zones * pages, zones * bytes, readerMs + sourcesMs + othersMs };
}

void print(const char* way, const Cost& cost)
{
    std::printf("  %-22s %8.0f calls %9.1f MB from the store, last VM after %6.0f ms\n", way, cost.calls,
        cost.storeBytes / 1e6, cost.lastMs);
}

void compareWays()
{
    for (const int scale : { 1, 2 }) {
        const int vms = 1000 * scale;
        const int endpoints = 10000 * scale;
        const double bytes = listBytes(endpoints);
        const double pages = static_cast<double>(endpoints) / pageRows;
        std::printf("%d VMs, %d endpoints, list of %.2f MB:\n", vms, endpoints, bytes / 1e6);
        print("each from the store", eachFromStore(vms, bytes, pages));
        print("one reader a zone", fromOneReader(vms, bytes, pages));
        print("several sources a zone", fromSeveralSources(vms, bytes, pages));
    }
}

} // namespace

int main()
{
    try {
        compareWays();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "FleetStartStudy: %s\n", error.what());
        return 1;
    }
}
