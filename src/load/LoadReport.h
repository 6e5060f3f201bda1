// What a run of the load tool found.
#pragma once

#include "lupinknot/Clock.h"
#include <string>
#include <vector>

namespace lupinknot::internal {

// Milliseconds, in the order in which they were measured.
using Samples = std::vector<double>;

// The sample below which a part of all samples lies; 0 when there is none.
double quantile(Samples, double part);

struct LoadReport {
    std::string scenario;
    std::size_t requests { 0 };
    std::size_t whole { 0 };
    std::size_t missingTokens { 0 };
    std::size_t repeatedTokens { 0 };
    std::size_t mixed { 0 };
    std::size_t doubleRuns { 0 };
    std::size_t falseNotRun { 0 };
    std::size_t errors { 0 };
    std::size_t reconnects { 0 };
    // The caller's wait from the last token before a loss to the first after it.
    Samples resume;
    // From the daemon's detection of a lost connection to its next token, less the time the engine itself took to make
    // that token. Losses that follow each other without a token between them are left out.
    Samples resumeBeyondEngine;
    // The caller's wait where the loss showed as silence.
    Samples resumeAfterSilence;
    // The caller's wait from its reconnect to another VM to its next token.
    Samples reconnect;
    double extraPrefillRatio { 0 };
    double extraDecodeRatio { 0 };
    Samples quick;
    std::size_t quickErrors { 0 };
    // What a scenario checks beside the counts; each entry is a broken expectation.
    std::vector<std::string> problems;

    // True when every promise held.
    bool isGood() const;
    std::string json() const;
};

} // namespace lupinknot::internal
