// The trials of held requests that this VM has granted to any VM, one at a time for each request.
//
// No input or output, no clock: times are parameters. Used on the relay's thread only.
#pragma once

#include "quarantine/TrialSource.h"
#include <unordered_map>

namespace lupinknot::internal {

class TrialGrants {
public:
    // `heldUntil` is the end of the hold as this VM knows it; 0 if it knows of none.
    TrialDecision decide(const std::string& digest, Milliseconds heldUntil, Milliseconds now);

    // Requests with a trial in progress. Further ones are denied.
    static constexpr std::size_t maxGrants = 2000;

private:
    // When the trial counts as ended, by digest.
    std::unordered_map<std::string, Milliseconds> m_trialUntil;
};

} // namespace lupinknot::internal
