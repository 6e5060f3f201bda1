// lupinknotctl: the command-line tool for operators.

#include "common/Version.h"
#include "ctl/LossReport.h"
#include "ctl/RequestTrace.h"
#include "http/HttpFetch.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

namespace {

using namespace lupinknot;
using namespace lupinknot::internal;
using nlohmann::json;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitBadOptions = 2;
constexpr Milliseconds callTimeout { 5000 };

struct Options {
    std::string command;
    std::string argument;
    std::vector<SocketAddress> daemons;
    std::vector<std::string> files;
    bool isJson { false };
};

// Sends a request to one daemon and returns the JSON object of its response. On failure, prints the reason to standard
// error and returns nothing.
std::optional<json> fetchJson(const SocketAddress& daemon, const std::string& method, const std::string& target)
{
    const auto result = fetch(daemon, { method, target, {}, {} }, callTimeout);
    const auto body = json::parse(result.response.body, nullptr, false);
    if (result.isOk() && body.is_object())
        return body;
    std::cerr << daemon.text() << ": " << (result.failure ? result.message : result.response.body) << "\n";
    return std::nullopt;
}

void printStatus(const json& status)
{
    std::cout << status.value("vm", "") << "  zone " << status.value("zone", "")
              << (status.value("ready", false) ? "  ready" : "  stopping") << "  generations "
              << status.value("generations_running", 0) << " running, " << status.value("generations_held", 0)
              << " held\n";
    for (const auto& endpoint : status["endpoints"]) {
        std::cout << "  " << endpoint.value("name", "") << "  zone " << endpoint.value("zone", "") << "  "
                  << endpoint.value("address", "") << "  " << endpoint.value("listing", "")
                  << (endpoint.value("eligible", false) ? "" : "  not eligible") << "  "
                  << endpoint.value("in_flight", 0) << " in flight\n";
    }
}

int showStatus(const Options& options)
{
    bool allSucceeded = true;
    for (const auto& daemon : options.daemons) {
        const auto status = fetchJson(daemon, "GET", "/v1/status");
        allSucceeded = allSucceeded && status;
        if (status && options.isJson)
            std::cout << status->dump() << "\n";
        else if (status)
            printStatus(*status);
    }
    return allSucceeded ? exitOk : exitFailed;
}

int drain(const Options& options)
{
    bool allSucceeded = true;
    for (const auto& daemon : options.daemons) {
        const auto answer = fetchJson(daemon, "POST", "/v1/drain");
        allSucceeded = allSucceeded && answer;
        if (answer)
            std::cout << answer->value("vm", "") << " is draining\n";
    }
    return allSucceeded ? exitOk : exitFailed;
}

// Prints the state of a generation, from the first daemon that has it.
int explain(const Options& options)
{
    for (const auto& daemon : options.daemons) {
        if (const auto described = fetchJson(daemon, "GET", "/v1/generations/" + options.argument)) {
            std::cout << described->dump(2) << "\n";
            return exitOk;
        }
    }
    return exitFailed;
}

struct Command {
    const char* name;
    int (*run)(const Options&);
};

// Reads all logs into a report. If a file cannot be opened, prints the error to standard error and returns false.
template <typename Report> bool readFiles(const Options& options, Report& report)
{
    for (const auto& path : options.files) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << "lupinknotctl: cannot open the log " << path << "\n";
            return false;
        }
        report.read(file);
    }
    return true;
}

// Prints the events of one request in the logs.
int trace(const Options& options)
{
    RequestTrace requestTrace(options.argument);
    if (!readFiles(options, requestTrace))
        return exitFailed;
    const auto lines = requestTrace.write(std::cout);
    std::cout.flush();
    if (lines > 0)
        return exitOk;
    std::cerr << "lupinknotctl: the logs have no event of request " << options.argument << "\n";
    return exitFailed;
}

// Prints how many requests were late, failed or were refused, by cause.
int losses(const Options& options)
{
    LossReport report;
    if (!readFiles(options, report))
        return exitFailed;
    const auto attempts = report.write(std::cout);
    std::cout.flush();
    if (attempts > 0)
        return exitOk;
    std::cerr << "lupinknotctl: the logs have no admitted request\n";
    return exitFailed;
}

constexpr std::array<Command, 5> commands { {
    { "status", showStatus },
    { "drain", drain },
    { "explain", explain },
    { "trace", trace },
    { "losses", losses },
} };

Options parseOptions(int argc, char** argv)
{
    TCLAP::CmdLine commandLine(
        "Command-line tool for operators of lupinknot. Commands: status, drain, explain GENERATION "
        "(each with --admin), trace REQUEST FILE..., losses FILE...",
        ' ', std::string(version));
    std::vector<std::string> names;
    names.reserve(commands.size());
    for (const auto& command : commands)
        names.emplace_back(command.name);
    TCLAP::ValuesConstraint<std::string> isCommand(names);
    TCLAP::UnlabeledValueArg<std::string> command("command", "The command to run.", true, "", &isCommand, commandLine);
    TCLAP::MultiArg<std::string> admins(
        "a", "admin", "Admin address of a daemon, as IP:PORT.", false, "address", commandLine);
    TCLAP::SwitchArg isJson("", "json", "Print JSON.", commandLine);
    TCLAP::UnlabeledMultiArg<std::string> arguments(
        "arguments", "A generation ID; a request ID and log files; or log files.", false, "argument", commandLine);
    commandLine.parse(argc, argv);

    Options options { command.getValue(), "", {}, arguments.getValue(), isJson.getValue() };
    const bool takesFilesOnly = options.command == "losses";
    if (!options.files.empty() && !takesFilesOnly) {
        options.argument = options.files.front();
        options.files.erase(options.files.begin());
    }
    for (const auto& text : admins.getValue()) {
        const auto address = parseSocketAddress(text);
        if (!address)
            throw TCLAP::ArgException("expected an IP address and a port, as in 127.0.0.1:9080; found " + text);
        options.daemons.push_back(*address);
    }
    const bool needsFiles = takesFilesOnly || options.command == "trace";
    if (needsFiles ? options.files.empty() : options.daemons.empty())
        throw TCLAP::ArgException(needsFiles ? options.command + " needs at least one log file"
                                             : "the command needs at least one --admin ADDRESS");
    return options;
}

int run(const Options& options)
{
    for (const auto& command : commands) {
        if (options.command == command.name)
            return command.run(options);
    }
    return exitBadOptions;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        std::quick_exit(run(parseOptions(argc, argv)));
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "lupinknotctl: " << error.error() << "\n";
        return exitBadOptions;
    }
}
