// Forecasts the delay that a prompt sent to an engine now causes: for its own stream until the first event, and for the
// streams that the engine generates meanwhile, because an engine interleaves chunks of prefill with decoding.
//
//     const auto delay = forecastDelay(prompt, load, pace);      // The engine with the lowest delay is the best.
//
// Pure functions of their arguments; thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include "relay/EngineReport.h"
#include <optional>

namespace lupinknot::internal {

class RelayEndpoint;

// What a request requires of an engine.
struct EngineWork {
    // Tokens of the prompt, and the most tokens of the answer; 0 when unknown.
    std::uint32_t promptTokens { 0 };
    std::uint32_t maxAnswerTokens { 0 };
};

// What this VM has observed of the engines of a service.
struct EnginePace {
    // Milliseconds per prompt token for an engine that prefills nothing else.
    double prefillTimePerToken { 0.2 };
    // Tokens of a typical prompt.
    double typicalPromptTokens { 5000 };
    // Weight of the delay that the request causes to each other run at the engine, as a share of its own prefill time.
    // A run loses up to 0.85 of the prefill time, but a delay in the middle of an answer rarely makes it late
    // (docs/design/load-model.md).
    double slowdownShare { 0.4 };

    // The pace of an engine that takes so many times as long as its service for all work. The delays of the other runs
    // there grow with it too.
    EnginePace scaledBy(double relativePace) const
    {
        return { prefillTimePerToken * relativePace, typicalPromptTokens, slowdownShare };
    }
};

// Prefill time of the prompt at an idle engine.
Milliseconds prefillTime(const EngineWork&, const EnginePace&);

// The delay of the request's own first event plus the weighted sum of the delays of the other runs at the engine. An
// engine without memory for the request gets a large extra delay. Prompts that this VM has sent to the engine count
// even when the report is older and lacks them.
Milliseconds forecastDelay(
    const EngineWork&, const EngineReport&, std::uint32_t ownPromptsInPrefill, const EnginePace&);
// The same for an endpoint by its newest report; one that has never reported counts as idle.
Milliseconds forecastDelay(const EngineWork&, const RelayEndpoint&, const EnginePace&);

// The time until the request's own first event, without the delay that it causes to others. `aheadShare` is the share
// of the waiting prompts that the engine is expected to read before this one. Memory does not count: the engine
// preempts less urgent runs when it runs out.
Milliseconds forecastFirstEvent(
    const EngineWork&, const EngineReport&, std::uint32_t ownPromptsInPrefill, const EnginePace&, double aheadShare);
// The same for an endpoint by its newest report; empty if it has never reported.
std::optional<Milliseconds> forecastFirstEvent(
    const EngineWork&, const RelayEndpoint&, const EnginePace&, double aheadShare);

} // namespace lupinknot::internal
