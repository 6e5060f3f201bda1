// What one caller saw of its answer.
#pragma once

#include "lupinknot/Clock.h"
#include <string>
#include <vector>

namespace lupinknot::internal {

struct GenerationResult {
    std::string generation;
    // Index of the daemon that answered last.
    std::size_t daemon { 0 };
    unsigned status { 0 };
    // Every token as expected, the finish event, and nothing more.
    bool isWhole { false };
    std::size_t delivered { 0 };
    std::size_t missing { 0 };
    std::size_t repeated { 0 };
    std::size_t mixed { 0 };
    std::size_t reconnects { 0 };
    // From each reconnect that reached a VM to the next token.
    std::vector<Milliseconds> reconnectWaits;
    // The caller left on purpose.
    bool hasLeft { false };
    std::string error;
    std::string outcome;
    Milliseconds startedAt { 0 };
    // When each token arrived.
    std::vector<Milliseconds> arrivals;
};

} // namespace lupinknot::internal
