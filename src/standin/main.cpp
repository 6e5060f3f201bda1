// lupinknot-standin: simulates a model engine, a plain service or the platform for tests, demos and benchmarks.

#include "common/Log.h"
#include "common/Version.h"
#include "standin/EngineStandIn.h"
#include "standin/PlatformStandIn.h"
#include "standin/ServiceStandIn.h"

#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace lupinknot;
using namespace lupinknot::internal;

constexpr int exitOk = 0;
constexpr int exitNotStarted = 3;

struct Options {
    std::string mode;
    std::string control;
    EngineStandInSettings engine;
};

Options parseOptions(int argc, char** argv)
{
    TCLAP::CmdLine line("Simulates a model engine, a plain service or the platform.", ' ', std::string(version));
    std::vector<std::string> modes { "engine", "service", "platform" };
    TCLAP::ValuesConstraint<std::string> isMode(modes);
    TCLAP::UnlabeledValueArg<std::string> mode("mode", "What to simulate.", true, "", &isMode, line);
    const EngineStandInSettings defaults;
    TCLAP::ValueArg<std::string> name("", "name", "Name in logs and responses.", false, defaults.name, "name", line);
    TCLAP::ValueArg<std::int64_t> port("", "port", "Port to listen on.", false, 0, "port", line);
    TCLAP::ValueArg<std::string> model(
        "", "model", "Model that the engine serves.", false, defaults.model, "name", line);
    TCLAP::ValueArg<std::int64_t> step(
        "", "step-ms", "Time between two tokens of a stream.", false, defaults.step.count(), "ms", line);
    TCLAP::ValueArg<double> jitter("", "jitter", "Largest share of the step time by which noise changes a step.", false,
        defaults.jitter, "part", line);
    TCLAP::ValueArg<double> stall(
        "", "stall-chance", "Probability that a step stalls.", false, defaults.stallChance, "chance", line);
    TCLAP::ValueArg<std::int64_t> prefill("", "prefill-us", "Prefill time of a token that is not in the prefix cache.",
        false, defaults.prefillMicroseconds, "us", line);
    TCLAP::ValueArg<std::int64_t> batch(
        "", "max-batch", "Largest number of streams in one step.", false, defaults.maxBatch, "count", line);
    TCLAP::ValueArg<std::int64_t> cache(
        "", "cache-tokens", "Size of the prefix cache.", false, defaults.cacheTokens, "tokens", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the noise.", false, defaults.seed, "number", line);
    TCLAP::ValueArg<std::string> control(
        "", "control", "Initial faults, as for POST /control.", false, "{}", "json", line);
    line.parse(argc, argv);

    Options options { mode.getValue(), control.getValue(), defaults };
    options.engine.name = name.getValue();
    options.engine.port = port.getValue();
    options.engine.model = model.getValue();
    options.engine.step = Milliseconds { step.getValue() };
    options.engine.jitter = jitter.getValue();
    options.engine.stallChance = stall.getValue();
    options.engine.prefillMicroseconds = prefill.getValue();
    options.engine.maxBatch = batch.getValue();
    options.engine.cacheTokens = cache.getValue();
    options.engine.seed = seed.getValue();
    return options;
}

template <typename StandIn> int serve(StandIn& standIn, const Options& options)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    if (const auto problem = standIn.start()) {
        std::cerr << "lupinknot-standin: " << *problem << "\n";
        return exitNotStarted;
    }
    if (!standIn.control(options.control)) {
        std::cerr << "lupinknot-standin: --control: expected a JSON object\n";
        return exitNotStarted;
    }
    std::cout << "port " << standIn.port() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    return exitOk;
}

int run(const Options& options)
{
    initializeLog(LogLevel::Info);
    const auto& engine = options.engine;
    if (options.mode == "engine") {
        EngineStandIn standIn(engine);
        return serve(standIn, options);
    }
    if (options.mode == "service") {
        ServiceStandIn standIn(engine.name, engine.address, engine.port);
        return serve(standIn, options);
    }
    PlatformStandIn standIn(engine.address, engine.port);
    return serve(standIn, options);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        std::quick_exit(run(parseOptions(argc, argv)));
    } catch (const std::exception& error) {
        std::cerr << "lupinknot-standin: " << error.what() << "\n";
        return exitNotStarted;
    }
}
