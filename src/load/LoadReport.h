// The results of one run of the load tool.
#pragma once

#include "lupinknot/Clock.h"
#include <string>
#include <vector>

namespace lupinknot::internal {

// Milliseconds, in order of measurement.
using Samples = std::vector<double>;

// The nearest-rank quantile for a part from 0 to 1; 0 if there are no samples.
double quantile(Samples, double part);

struct LoadReport {
    std::string scenario;
    std::size_t requests { 0 };
    std::size_t completeOutputs { 0 };
    std::size_t missingTokens { 0 };
    std::size_t repeatedTokens { 0 };
    std::size_t mixed { 0 };
    std::size_t doubleRuns { 0 };
    std::size_t falseNotRun { 0 };
    std::size_t errors { 0 };
    std::size_t reconnects { 0 };
    // The caller's wait from the last token before a lost attempt to the first token after it.
    Samples resume;
    // Time from the daemon's detection of a lost connection to its next token, minus the time that the engine needed to
    // generate that token. Excludes consecutive losses without a token between them.
    Samples resumeBeyondEngine;
    // The caller's wait where the daemon detected the loss by the engine's silence.
    Samples resumeAfterSilence;
    // The caller's wait from its reconnect to a VM to its next token.
    Samples reconnect;
    double extraPrefillRatio { 0 };
    double extraDecodeRatio { 0 };
    Samples quick;
    std::size_t quickErrors { 0 };
    // Failed expectations of the scenario and errors of generations.
    std::vector<std::string> problems;

    // True if all outputs are complete and correct and there were no double runs, errors or problems.
    bool hasPassed() const;
    std::string json() const;
};

} // namespace lupinknot::internal
