// A cluster of daemons with stand-ins for engines, services and the platform, all in the test's process and on free
// ports.
#pragma once

#include "daemon/Daemon.h"
#include "http/HttpFetch.h"
#include "load/GenerationCaller.h"
#include "standin/EngineStandIn.h"
#include "standin/PlatformStandIn.h"
#include "standin/ServiceStandIn.h"
#include <memory>
#include <vector>

namespace lupinknot::internal {

// Not thread-safe. The constructor starts the stand-ins, start() starts the daemons, and the destructor stops both.
class TestCluster {
public:
    explicit TestCluster(std::size_t engineCount = 2, std::size_t vmCount = 1);
    ~TestCluster();
    TestCluster(const TestCluster&) = delete;
    TestCluster& operator=(const TestCluster&) = delete;

    // Starts the daemons. The settings may be changed only before. Each VM gets a copy with its own name and with the
    // other VMs as peers.
    void start();
    // Destroys a VM's daemon without an orderly stop: its connections close, and no work is handed over.
    void killVm(std::size_t index);
    // Starts a killed VM again, without its former state; restartVm() also waits until it is linked.
    void startVm(std::size_t index);
    void restartVm(std::size_t index);
    // Index of the first VM that runs a generation now; the number of VMs when there is none.
    std::size_t runningVm() const;
    bool areVmsLinked() const;

    DaemonSettings settings;
    EngineStandIn& engine(std::size_t index) { return *m_engines[index]; }
    ServiceStandIn& service(std::size_t index) { return *m_services[index]; }
    PlatformStandIn& platform() { return *m_platform; }
    Daemon& daemon(std::size_t index = 0) { return *m_daemons[index]; }

    // Stops an engine or a service for the rest of the test; returns when connections to it are refused.
    template <typename StandIn> void kill(StandIn& standIn)
    {
        standIn.control(R"({"crash":true,"down_ms":600000})");
        waitUntilRefused(standIn.port());
    }

    // Options of a caller with a short prompt, for the test to change and pass to run().
    GenerationCallerOptions caller(const std::string& key = "") const;
    GenerationResult run(GenerationCallerOptions) const;
    HttpFetchResult post(
        const std::string& target, const std::string& body, HttpHeaders headers = {}, std::size_t vm = 0) const;
    HttpFetchResult fetchAdmin(const std::string& adminTarget, std::size_t vm = 0) const;
    // Number of requests that all engines have received.
    std::size_t engineRequests() const;

private:
    static void waitUntilRefused(unsigned short port);
    DaemonSettings settingsOf(std::size_t vm) const;

    std::vector<std::unique_ptr<EngineStandIn>> m_engines;
    std::vector<std::unique_ptr<ServiceStandIn>> m_services;
    std::unique_ptr<PlatformStandIn> m_platform;
    std::size_t m_vmCount;
    struct Ports {
        std::int64_t callers;
        std::int64_t operators;
        std::int64_t peers;
    };
    std::vector<Ports> m_ports;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    LoadOptions m_load;
};

// Waits until a condition holds. Returns false when it does not hold within about 10 seconds, much longer than a
// correct run takes.
template <typename Condition> bool becomesTrue(Condition condition)
{
    constexpr int tries = 2000;
    for (int i = 0; i < tries; ++i) {
        if (condition())
            return true;
        std::this_thread::sleep_for(Milliseconds { 5 });
    }
    return false;
}

} // namespace lupinknot::internal
