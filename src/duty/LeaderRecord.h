// The record in the shared store that names the leader of a singleton duty.
#pragma once

#include <cstdint>
#include <string>

namespace lupinknot::internal {

struct LeaderRecord {
    // The process of the leader; empty when there is no record. A restarted VM has another process name.
    std::string process;
    // Rises with each new leader.
    std::uint64_t fencingToken { 0 };
    // The last unit of work that the duty has completed; what it means is up to the duty.
    std::uint64_t completed { 0 };
    // The store's version of the record; 0 when there is no record.
    std::uint64_t version { 0 };
};

} // namespace lupinknot::internal
