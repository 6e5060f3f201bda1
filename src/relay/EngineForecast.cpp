#include "relay/EngineForecast.h"

#include "relay/RelayEndpoint.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// A prompt that an engine is reading is half read on average.
constexpr double unreadShare = 0.5;
// Share of the time of reading a prompt that each run beside it loses: it goes on between the pieces, at a fifth of its
// pace or less.
constexpr double slowedShare = 0.85;
// Share of the engine's memory that is filled as planned; the rest covers answers that outgrow their hint and prompts
// that other VMs send at the same instant.
constexpr double plannedMemoryShare = 0.95;
// An engine without room makes the request wait until runs end, or preempts another one.
constexpr Milliseconds noRoomDelay { 20000 };
// No report can make an engine look worse than this: it may be wrong.
constexpr Milliseconds longestDelay { 60000 };

bool hasRoom(const EngineWork& work, const EngineReport& report)
{
    const auto needed = static_cast<double>(report.memoryUsed) + work.promptTokens + work.maxAnswerTokens;
    return report.memoryTotal == 0 || needed <= plannedMemoryShare * static_cast<double>(report.memoryTotal);
}

double tokensOf(const EngineWork& work, const EnginePace& pace)
{
    return work.promptTokens > 0 ? static_cast<double>(work.promptTokens) : pace.usualPromptTokens;
}

} // namespace

Milliseconds readTime(const EngineWork& work, const EnginePace& pace)
{
    return Milliseconds { static_cast<std::int64_t>(tokensOf(work, pace) * pace.prefillTimePerToken) };
}

Milliseconds forecastDelay(
    const EngineWork& work, const EngineReport& report, std::uint32_t ownPromptsBeingRead, const EnginePace& pace)
{
    const auto ownRead = tokensOf(work, pace) * pace.prefillTimePerToken;
    const auto usualRead = pace.usualPromptTokens * pace.prefillTimePerToken;
    // A prompt of this VM that the report does not know of was sent just now.
    const auto reported = report.promptsInPrefill + report.promptsWaiting;
    const double unreported = ownPromptsBeingRead > reported ? ownPromptsBeingRead - reported : 0;
    const auto wait = (unreadShare * report.promptsInPrefill + report.promptsWaiting + unreported) * usualRead;
    const auto slowed = slowedShare * report.generating * ownRead;
    const auto sum = std::min(wait + ownRead + slowed, static_cast<double>(longestDelay.count()));
    const Milliseconds delay { static_cast<std::int64_t>(sum) };
    return hasRoom(work, report) ? delay : std::min(delay + noRoomDelay, longestDelay);
}

Milliseconds forecastDelay(const EngineWork& work, const RelayEndpoint& endpoint, const EnginePace& pace)
{
    const auto* const report = endpoint.report();
    return forecastDelay(work, report ? *report : EngineReport {}, endpoint.promptsInPrefill(), pace);
}

} // namespace lupinknot::internal
