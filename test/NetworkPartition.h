// A partition between one VM of a test and the servers at some ports, simulated in the VM's system calls.
//
//     NetworkPartition network;
//     std::thread thread([&] { network.attachThisThread(); vm.daemon().run(); });
//     network.addRemotePort(endpointPort);
//     network.begin(PartitionMode::Hang);
//
// The test program overrides connect(), send(), recv() and close(). Connections of an attached thread to the remote
// ports behave as behind a partition; all others are not affected. Thread-safe.
#pragma once

#include <memory>

namespace lupinknot::internal {

enum class PartitionMode {
    None,
    Hang, // Open connections and new ones hang: packets are dropped.
    Reset, // Open connections are reset, new ones hang.
    RefuseNew, // Open connections work on, new ones are refused.
};

class NetworkPartition {
public:
    NetworkPartition();
    ~NetworkPartition();
    NetworkPartition(const NetworkPartition&) = delete;
    NetworkPartition& operator=(const NetworkPartition&) = delete;

    void attachThisThread();
    void addRemotePort(unsigned short);
    // Begins a partition from all remote ports.
    void begin(PartitionMode);
    // Begins a partition from one remote port.
    void begin(PartitionMode, unsigned short port);
    // Connections that were opened before the end stay as they are.
    void end() { begin(PartitionMode::None); }

    class State;

private:
    const std::shared_ptr<State> m_state;
};

} // namespace lupinknot::internal
