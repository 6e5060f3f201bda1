// What an engine says of its load, in words of the relay. It is some hundred milliseconds old when it comes, and may be
// wrong: decoding bounds each figure, and a report changes nothing but the choice among engines.
#pragma once

#include <cstdint>

namespace lupinknot::internal {

struct EngineReport {
    // Prompts that the engine reads now, and prompts that wait to be read.
    std::uint32_t promptsInPrefill { 0 };
    std::uint32_t promptsWaiting { 0 };
    // Runs that produce events.
    std::uint32_t generating { 0 };
    // Tokens of memory that cannot give way, and of memory in all; 0 when the engine does not say.
    std::uint64_t memoryUsed { 0 };
    std::uint64_t memoryTotal { 0 };
};

} // namespace lupinknot::internal
