// Configuration of one service. Lives for one version of the configuration.
#pragma once

#include "lupinknot/Clock.h"
#include <cstdint>
#include <string>

namespace lupinknot::internal {

struct ServiceConfiguration {
    std::string name;
    // Maximum number of connections that one endpoint accepts from all VMs together.
    std::uint32_t maxConnections { 0 };
    // True for model engines that can keep a live copy of a run's KV cache on another engine.
    bool copiesRunningMemory { false };
    // True for model engines, which can be probed for their load.
    bool isEngine { false };
    // Number of tokens in one event of a stream, 0 when unknown.
    std::uint32_t tokensPerEvent { 0 };
    // True for model engines that can copy a run's KV cache to another engine on request.
    bool movesRuns { false };
    // How long an engine keeps such a copy that is neither used nor refreshed; 0 when unknown.
    Milliseconds handleTime { 0 };

    // True when copies of running runs can be renewed (copies/CopyRenewal).
    bool renewsCopies() const { return copiesRunningMemory && movesRuns && handleTime > Milliseconds { 0 }; }
};

} // namespace lupinknot::internal
