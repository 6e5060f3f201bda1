#include "relay/EngineForecast.h"

#include "relay/RelayEndpoint.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// On average, half of a prompt in prefill is still to be processed.
constexpr double remainingPrefillShare = 0.5;
// Share of the engine's memory that may be planned for; the rest covers answers that exceed their stated maximum and
// prompts that other VMs send at the same time.
constexpr double plannedMemoryShare = 0.95;
// An engine without free memory makes the request wait until runs end, or preempts another run.
constexpr Milliseconds noMemoryDelay { 20000 };
// A report may be wrong, so that no report raises an engine's delay above this.
constexpr Milliseconds longestDelay { 60000 };

bool hasFreeMemory(const EngineWork& work, const EngineReport& report)
{
    const auto needed = static_cast<double>(report.memoryUsed) + work.promptTokens + work.maxAnswerTokens;
    return report.memoryTotal == 0 || needed <= plannedMemoryShare * static_cast<double>(report.memoryTotal);
}

double tokensOf(const EngineWork& work, const EnginePace& pace)
{
    return work.promptTokens > 0 ? static_cast<double>(work.promptTokens) : pace.typicalPromptTokens;
}

} // namespace

Milliseconds prefillTime(const EngineWork& work, const EnginePace& pace)
{
    return Milliseconds { static_cast<std::int64_t>(tokensOf(work, pace) * pace.prefillTimePerToken) };
}

Milliseconds forecastDelay(
    const EngineWork& work, const EngineReport& report, std::uint32_t ownPromptsInPrefill, const EnginePace& pace)
{
    const auto ownPrefill = tokensOf(work, pace) * pace.prefillTimePerToken;
    const auto typicalPrefill = pace.typicalPromptTokens * pace.prefillTimePerToken;
    // A prompt of this VM that the report lacks was sent after the report.
    const auto reported = report.promptsInPrefill + report.promptsWaiting;
    const double unreported = ownPromptsInPrefill > reported ? ownPromptsInPrefill - reported : 0;
    const auto wait
        = (remainingPrefillShare * report.promptsInPrefill + report.promptsWaiting + unreported) * typicalPrefill;
    const auto slowed = pace.slowdownShare * report.generating * ownPrefill;
    const auto sum = std::min(wait + ownPrefill + slowed, static_cast<double>(longestDelay.count()));
    const Milliseconds delay { static_cast<std::int64_t>(sum) };
    return hasFreeMemory(work, report) ? delay : std::min(delay + noMemoryDelay, longestDelay);
}

Milliseconds forecastDelay(const EngineWork& work, const RelayEndpoint& endpoint, const EnginePace& pace)
{
    const auto* const report = endpoint.report();
    return forecastDelay(work, report ? *report : EngineReport {}, endpoint.promptsInPrefill(), pace);
}

Milliseconds forecastFirstEvent(const EngineWork& work, const EngineReport& report, std::uint32_t ownPromptsInPrefill,
    const EnginePace& pace, double aheadShare)
{
    const auto reported = report.promptsInPrefill + report.promptsWaiting;
    const double unreported = ownPromptsInPrefill > reported ? ownPromptsInPrefill - reported : 0;
    const auto ahead
        = remainingPrefillShare * report.promptsInPrefill + aheadShare * report.promptsWaiting + unreported;
    const auto sum
        = ahead * pace.typicalPromptTokens * pace.prefillTimePerToken + tokensOf(work, pace) * pace.prefillTimePerToken;
    return Milliseconds { static_cast<std::int64_t>(std::min(sum, static_cast<double>(longestDelay.count()))) };
}

std::optional<Milliseconds> forecastFirstEvent(
    const EngineWork& work, const RelayEndpoint& endpoint, const EnginePace& pace, double aheadShare)
{
    const auto* const report = endpoint.report();
    if (!report)
        return std::nullopt;
    return forecastFirstEvent(work, *report, endpoint.promptsInPrefill(), pace, aheadShare);
}

} // namespace lupinknot::internal
