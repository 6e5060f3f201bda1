// lupinknot-load: runs callers, checks every output token by token, and reports latencies and violations.

#include "common/Log.h"
#include "common/Version.h"
#include "http/HttpCall.h"
#include "http/HttpFetch.h"
#include "load/LoadRun.h"
#include "load/Scenario.h"

#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace lupinknot;
using namespace lupinknot::internal;

constexpr int exitOk = 0;
constexpr int exitCheckFailed = 1;
constexpr int exitBadOptions = 2;
constexpr unsigned callThreads = 16;

std::vector<SocketAddress> parseAddresses(const std::vector<std::string>& texts)
{
    std::vector<SocketAddress> addresses;
    for (const auto& text : texts) {
        const auto address = parseSocketAddress(text);
        if (!address)
            throw TCLAP::ArgException("expected an IP address and a port, as in 127.0.0.1:8080; found " + text);
        addresses.push_back(*address);
    }
    return addresses;
}

std::vector<std::string> scenarioNames()
{
    std::vector<std::string> names;
    for (const auto& scenario : scenarios())
        names.emplace_back(scenario.name);
    return names;
}

LoadOptions parseOptions(int argc, char** argv)
{
    using Addresses = TCLAP::MultiArg<std::string>;
    TCLAP::CmdLine line("Runs callers against lupinknot daemons and checks every output.", ' ', std::string(version));
    auto names = scenarioNames();
    TCLAP::ValuesConstraint<std::string> isScenario(names);
    LoadOptions options;
    TCLAP::UnlabeledValueArg<std::string> scenario(
        "scenario", "The scenario to run.", false, options.scenario, &isScenario, line);
    Addresses daemons("d", "daemon", "Address of a daemon for callers.", true, "address", line);
    Addresses admins(
        "a", "admin", "Address of the same daemon for operators, in the same order.", true, "address", line);
    Addresses engines("e", "engine", "Address of a stand-in engine.", false, "address", line);
    Addresses services("s", "service", "Address of a stand-in service.", false, "address", line);
    Addresses platforms("p", "platform", "Address of the stand-in platform.", false, "address", line);
    TCLAP::ValueArg<std::size_t> generations(
        "n", "generations", "Generations to run.", false, options.generations, "count", line);
    TCLAP::ValueArg<std::size_t> concurrency(
        "c", "concurrency", "Number of concurrent generations.", false, options.concurrency, "count", line);
    TCLAP::ValueArg<std::size_t> prompt(
        "", "prompt-tokens", "Tokens of each prompt.", false, options.promptTokens, "count", line);
    TCLAP::ValueArg<std::size_t> tokens(
        "", "max-tokens", "Tokens of each output.", false, options.maxTokens, "count", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the random numbers.", false, options.seed, "number", line);
    line.parse(argc, argv);

    options.scenario = scenario.getValue();
    options.generations = generations.getValue();
    options.concurrency = concurrency.getValue();
    options.promptTokens = prompt.getValue();
    options.maxTokens = tokens.getValue();
    options.seed = seed.getValue();
    options.engines = parseAddresses(engines.getValue());
    options.services = parseAddresses(services.getValue());
    options.platforms = parseAddresses(platforms.getValue());
    const auto callers = parseAddresses(daemons.getValue());
    const auto operators = parseAddresses(admins.getValue());
    if (callers.size() != operators.size())
        throw TCLAP::ArgException("expected one --admin for each --daemon");
    for (std::size_t i = 0; i < callers.size(); ++i)
        options.daemons.push_back({ callers[i], operators[i] });
    return options;
}

int run(const LoadOptions& options)
{
    initializeLog(LogLevel::Info);
    setHttpCallThreads(callThreads);
    LoadReport report;
    report.scenario = options.scenario;
    {
        LoadRun loadRun(options, report);
        for (const auto& scenario : scenarios()) {
            if (options.scenario == scenario.name)
                scenario.run(loadRun);
        }
        loadRun.completeReport();
    }
    std::cout << report.json() << std::endl;
    return report.hasPassed() ? exitOk : exitCheckFailed;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        std::quick_exit(run(parseOptions(argc, argv)));
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "lupinknot-load: " << error.error() << "\n";
        return exitBadOptions;
    }
}
