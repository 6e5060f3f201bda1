// Forecasts how long a prompt that is sent to an engine now delays streams: its own, until its first event, and those
// that the engine produces meanwhile, because an engine reads prompts in pieces between the tokens of its other runs.
//
//     const auto delay = forecastDelay(prompt, load, pace);      // The engine with the lowest one is the best.
//
// Pure functions of their arguments; thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include "relay/EngineReport.h"

namespace lupinknot::internal {

class RelayEndpoint;

// What a request asks of an engine.
struct EngineWork {
    // Tokens of the prompt, and most tokens of the answer; 0 when unknown.
    std::uint32_t promptTokens { 0 };
    std::uint32_t maxAnswerTokens { 0 };
};

// What this VM has seen of the engines of a service.
struct EnginePace {
    // Milliseconds that a token of a prompt takes to be read by an engine that reads nothing else.
    double prefillTimePerToken { 0.2 };
    // Tokens of a usual prompt.
    double usualPromptTokens { 5000 };
};

// How long an engine with nothing else to do takes to read the prompt.
Milliseconds readTime(const EngineWork&, const EnginePace&);

// The delay of the request's own first event and, added up, that of the runs beside it. Engines whose memory cannot
// take the request are put far behind. Prompts that this VM has sent there count also when the report, being older,
// lacks them.
Milliseconds forecastDelay(
    const EngineWork&, const EngineReport&, std::uint32_t ownPromptsBeingRead, const EnginePace&);
// The same for an endpoint by its newest report; one that has never reported is taken to have nothing to do.
Milliseconds forecastDelay(const EngineWork&, const RelayEndpoint&, const EnginePace&);

} // namespace lupinknot::internal
