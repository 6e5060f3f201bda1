// What the configuration says of one service. Lives for one version of the configuration.
#pragma once

#include <cstdint>
#include <string>

namespace lupinknot::internal {

struct ServiceConfiguration {
    std::string name;
    // Connections that one endpoint accepts from all VMs together.
    std::uint32_t maxConnections { 0 };
    // True for model engines that can send a running request's memory to another engine while it grows.
    bool copiesRunningMemory { false };
    // True for model engines: they can be asked for their load.
    bool isEngine { false };
    // Tokens that one event of a stream holds, 0 when unknown.
    std::uint32_t tokensPerEvent { 0 };
};

} // namespace lupinknot::internal
