// Measures the processor time of choosing an endpoint of a service when no endpoint states a limit.
#include "relay/EndpointDirectory.h"
#include "relay/Placement.h"
#include "relay/RelaySettings.h"

#include <benchmark/benchmark.h>
#include <boost/asio/io_context.hpp>

namespace {

using namespace lupinknot;
using namespace lupinknot::internal;

void chooseAmong(benchmark::State& state)
{
    boost::asio::io_context ioContext;
    RelaySettings settings;
    settings.availabilityZone = "zone-0";
    EndpointDirectory directory(ioContext, settings);
    std::vector<EndpointEntry> entries;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        EndpointEntry entry;
        entry.id = "e" + std::to_string(i);
        entry.service = "s";
        entry.address = { "127.0.0.1", 1000 + i };
        entry.availabilityZone = "zone-" + std::to_string(i % 4);
        entries.push_back(std::move(entry));
    }
    directory.replaceAll(std::move(entries), Milliseconds { 1 });
    Placement placement(directory, settings, 1);
    PlacementRequest request;
    request.service = "s";
    while (state.KeepRunning())
        benchmark::DoNotOptimize(placement.choose(request, Milliseconds { 2 }));
}

BENCHMARK(chooseAmong)->Arg(4)->Arg(24)->Arg(300)->Arg(10000)->Arg(20000);

} // namespace

BENCHMARK_MAIN();
