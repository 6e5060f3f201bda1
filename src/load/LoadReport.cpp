#include "load/LoadReport.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace lupinknot::internal {

namespace {

using Json = nlohmann::ordered_json;

constexpr double median = 0.5;
constexpr double high = 0.95;
constexpr double highest = 0.99;

double rounded(double value)
{
    constexpr double thousandths = 1000;
    return std::round(value * thousandths) / thousandths;
}

Json quantilesJson(const Samples& samples)
{
    return { { "n", samples.size() }, { "p50", quantile(samples, median) }, { "p95", quantile(samples, high) },
        { "max", quantile(samples, 1) } };
}

} // namespace

double quantile(Samples samples, double part)
{
    if (samples.empty())
        return 0;
    std::sort(samples.begin(), samples.end());
    const auto rank = std::ceil(part * static_cast<double>(samples.size()));
    return samples[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

bool LoadReport::hasPassed() const
{
    const bool isCorrect = completeOutputs == requests && !missingTokens && !repeatedTokens && !mixed;
    return isCorrect && !doubleRuns && !falseNotRun && !errors && !quickErrors && problems.empty();
}

std::string LoadReport::json() const
{
    const Json report { { "scenario", scenario }, { "requests", requests }, { "whole", completeOutputs },
        { "missing_tokens", missingTokens }, { "repeated_tokens", repeatedTokens }, { "mixed", mixed },
        { "double_runs", doubleRuns }, { "false_not_run", falseNotRun }, { "errors", errors },
        { "reconnects", reconnects }, { "resume_ms", quantilesJson(resume) },
        { "resume_beyond_engine_ms", quantilesJson(resumeBeyondEngine) },
        { "resume_after_silence_ms", quantilesJson(resumeAfterSilence) }, { "reconnect_ms", quantilesJson(reconnect) },
        { "extra_prefill_ratio", rounded(extraPrefillRatio) }, { "extra_decode_ratio", rounded(extraDecodeRatio) },
        { "quick_ms",
            { { "n", quick.size() }, { "p50", quantile(quick, median) }, { "p99", quantile(quick, highest) },
                { "errors", quickErrors } } },
        { "problems", problems } };
    return report.dump();
}

} // namespace lupinknot::internal
