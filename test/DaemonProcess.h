// The real lupinknotd as a child process on loopback, with one service in the test's process.
//
//     DaemonProcess daemon;
//     CHECK(daemon.start(maxDescriptors));
//     daemon.answerTo("/thumbs/1");            // The status of an ordinary request.
//
// The destructor ends the process.
#pragma once

#include "ReservedPort.h"
#include "TestCluster.h"
#include "http/HttpFetch.h"
#include "soak/ChildProcess.h"
#include "standin/ServiceStandIn.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sys/resource.h>

namespace lupinknot::internal {

class DaemonProcess {
public:
    // The settings file has so many bytes of comment, which make reading it take longer.
    explicit DaemonProcess(std::size_t settingsComment = 0)
        : m_service("s1", "127.0.0.1", 0)
        , m_callers(m_ioContext)
        , m_operators(m_ioContext)
        , m_folder(std::filesystem::temp_directory_path() / ("lupinknotd-" + std::to_string(::getpid())))
    {
        m_service.start();
        std::filesystem::create_directories(m_folder);
        std::ofstream file(settingsPath());
        const auto line = "#" + std::string(78, '-') + "\n";
        for (std::size_t size = 0; size < settingsComment; size += line.size())
            file << line;
        file << "[vm]\nname = \"a1\"\nzone = \"z1\"\nstop_notice_ms = 0\n[listener]\nport = " << m_callers.number()
             << "\n[admin]\nport = " << m_operators.number()
             << "\n[[endpoint]]\nname = \"s1\"\nzone = \"z1\"\naddress = \"127.0.0.1\"\nport = " << m_service.port()
             << "\n[[service]]\nname = \"thumbs\"\npath = \"/thumbs\"\nendpoints = [\"s1\"]\n";
        const auto program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "lupinknotd";
        const std::vector<std::string> command { program.string(), "--settings", settingsPath().string() };
        m_process = std::make_unique<soak::ChildProcess>(command, (m_folder / "vm.log").string());
    }

    ~DaemonProcess()
    {
        m_process.reset();
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    DaemonProcess(const DaemonProcess&) = delete;
    DaemonProcess& operator=(const DaemonProcess&) = delete;

    // Starts the process only.
    bool launch() { return m_process->start(); }
    // Starts the process with this limit of descriptors. Returns whether it became ready.
    bool start(std::size_t limit)
    {
        if (!launch())
            return false;
        const rlimit descriptors { limit, limit };
        ::prlimit(m_process->id(), RLIMIT_NOFILE, &descriptors, nullptr);
        return becomesReady();
    }
    bool becomesReady()
    {
        return becomesTrue([this] { return ask({ "GET", "/readyz", { { "Host", "h" } }, "" }, m_operators) == 200; });
    }

    bool isRunning() { return m_process->isRunning(); }
    // How the process ended.
    std::string lastExit() const { return m_process->lastExit(); }
    void signal(int number) { m_process->signal(number); }
    // True while the process reads its settings file.
    bool isReadingSettings() const
    {
        std::error_code error;
        const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_process->id()) + "/fd", error);
        if (error)
            return false;
        return std::any_of(begin(entries), end(entries), [this](const std::filesystem::directory_entry& entry) {
            std::error_code gone;
            return std::filesystem::read_symlink(entry.path(), gone) == settingsPath();
        });
    }
    ServiceStandIn& service() { return m_service; }
    unsigned answerTo(const std::string& target)
    {
        return ask({ "POST", target, { { "Host", "h" }, { "Connection", "close" } }, "body" }, m_callers);
    }
    SocketAddress front() const { return { "127.0.0.1", m_callers.number() }; }
    std::size_t openDescriptors() const
    {
        std::error_code error;
        const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_process->id()) + "/fd", error);
        return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
    }

private:
    std::filesystem::path settingsPath() const { return m_folder / "vm.toml"; }
    static unsigned ask(const HttpRequest& request, const ReservedPort& port)
    {
        return fetch({ "127.0.0.1", port.number() }, request, Milliseconds { 10000 }).response.status;
    }

    boost::asio::io_context m_ioContext;
    ServiceStandIn m_service;
    const ReservedPort m_callers;
    const ReservedPort m_operators;
    const std::filesystem::path m_folder;
    std::unique_ptr<soak::ChildProcess> m_process;
};

} // namespace lupinknot::internal
