// The load that an engine reports, independent of the engine's protocol. A report is some hundred milliseconds old when
// it arrives and may be wrong: decoding bounds each figure, and a report affects only the choice among engines.
#pragma once

#include <cstdint>

namespace lupinknot::internal {

struct EngineReport {
    // Prompts in prefill, and prompts that wait for prefill.
    std::uint32_t promptsInPrefill { 0 };
    std::uint32_t promptsWaiting { 0 };
    // Runs that generate events.
    std::uint32_t generating { 0 };
    // Tokens of memory that cannot be evicted, and of memory in total; 0 when the engine does not report them.
    std::uint64_t memoryUsed { 0 };
    std::uint64_t memoryTotal { 0 };
};

} // namespace lupinknot::internal
