// lupinknotd: the daemon of an entry VM.

#include "common/Log.h"
#include "common/PlannedSignals.h"
#include "common/Version.h"
#include "daemon/Daemon.h"
#include "http/HttpCall.h"
#include "settings/SettingsError.h"
#include "settings/SettingsReader.h"

#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace lupinknot::internal;
namespace leaf = boost::leaf;

constexpr int exitOk = 0;
constexpr int exitBadSettings = 2;
constexpr int exitNotStarted = 3;

struct Options {
    std::string settingsPath;
    bool isCheck { false };
    bool isReference { false };
};

Options parseOptions(int argc, char** argv)
{
    TCLAP::CmdLine line("The daemon of a lupinknot entry VM.", ' ', std::string(version));
    TCLAP::ValueArg<std::string> settings("s", "settings", "File with the settings, in TOML.", false, "", "file", line);
    TCLAP::SwitchArg check("", "check", "Check the settings and exit: 0 when they are valid, 2 when not.", line);
    TCLAP::SwitchArg reference(
        "", "settings-reference", "Print the reference of all settings as Markdown and exit.", line);
    line.parse(argc, argv);
    return { settings.getValue(), check.getValue(), reference.getValue() };
}

// The signals are blocked in every thread.
void awaitStopSignal()
{
    const auto signals = plannedSignals();
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal == SIGHUP)
        logInfo(LogComponent::Daemon, "SIGHUP is ignored: the settings are read at the start only.");
}

int serve(const DaemonSettings& settings)
{
    initializeLog(valueIn(logLevelNames, settings.vm.logLevel).value_or(LogLevel::Info));
    setHttpCallThreads(static_cast<unsigned>(settings.vm.callThreads));

    Daemon daemon(settings);
    if (const auto problem = daemon.start()) {
        logError(LogComponent::Daemon, *problem + ".");
        return exitNotStarted;
    }
    std::thread([&daemon] {
        awaitStopSignal();
        daemon.requestStop();
    }).detach();
    daemon.waitForStopRequest();
    daemon.stop();
    return exitOk;
}

int run(const Options& options)
{
    if (options.isReference) {
        std::cout << settingsReference();
        return exitOk;
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(settings, readSettingsFile(options.settingsPath));
            if (options.isCheck) {
                std::cout << options.settingsPath << ": the settings are valid\n";
                return exitOk;
            }
            return serve(settings);
        },
        [](const SettingsErrors& found) {
            for (const auto& error : found.errors)
                std::cerr << error.text() << "\n";
            return exitBadSettings;
        },
        [] {
            std::cerr << "lupinknotd: the settings could not be read\n";
            return exitBadSettings;
        });
}

} // namespace

int main(int argc, char** argv)
{
    blockPlannedSignals();
    try {
        const auto code = run(parseOptions(argc, argv));
        std::cout.flush();
        // Skips destructors of static objects, because the detached signal thread and the call library's thread pool
        // still run; no output is pending.
        std::quick_exit(code);
    } catch (const std::exception& error) {
        std::cerr << "lupinknotd: " << error.what() << "\n";
        return exitNotStarted;
    }
}
