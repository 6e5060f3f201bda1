// What one caller received for its generation.
#pragma once

#include "lupinknot/Clock.h"
#include <string>
#include <vector>

namespace lupinknot::internal {

struct GenerationResult {
    std::string generation;
    // Index of the daemon that responded last.
    std::size_t daemon { 0 };
    unsigned status { 0 };
    // All expected tokens and the finish event arrived, and nothing else.
    bool isComplete { false };
    std::size_t delivered { 0 };
    std::size_t missing { 0 };
    std::size_t repeated { 0 };
    std::size_t mixed { 0 };
    std::size_t reconnects { 0 };
    // Time from each reconnect that reached a VM to the next token.
    std::vector<Milliseconds> reconnectWaits;
    // The caller disconnected on purpose.
    bool hasDisconnected { false };
    std::string error;
    std::string outcome;
    Milliseconds startedAt { 0 };
    // Arrival time of each token.
    std::vector<Milliseconds> arrivals;
};

} // namespace lupinknot::internal
