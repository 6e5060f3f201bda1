// The speed of a service as this VM observes it, for decisions that depend on it.
//
// Each figure has a default value that is used until there are enough samples (Estimate). Figures are per service; how
// much an engine differs from its service is in EnginePaces, which uses the samples of all VMs of a zone.
//
// Used on the relay's thread only. Lives for the process.
#pragma once

#include "admission/PromptMix.h"
#include "copies/CopyOutcomes.h"
#include "relay/EngineForecast.h"
#include "relay/Estimate.h"
#include <memory>

namespace lupinknot::internal {

struct ServicePace {
    // Milliseconds from sending a call to its complete answer, for first attempts of plain calls only. Default: the
    // delay at which hedging paid off on the first customers' services, whose calls take 15 to 30 ms of work.
    Estimate callTime { 75 };
    // Milliseconds per prompt token, from sending a request to its first event. Default: that of an engine that
    // prefills 5 tokens per millisecond and nothing else.
    Estimate prefillTimePerToken { 0.2 };
    // The same, divided by the engine's pace relative to its service (EnginePaces).
    Estimate prefillTimeAtUsualPace { 0.2 };
    // Milliseconds between two events of a run, averaged over the run. Default: that of the first customers' engines
    // with a single run.
    Estimate eventInterval { 31 };
    // Events of complete answers, as a share of the most that the request allowed. Default: half of it.
    Estimate answerShare { 0.5 };
    // Tokens of prompts. Default: those of the first customers.
    Estimate promptTokens { 5000 };

    // Milliseconds from a stream's response header to its first event. Default: they arrive together.
    Estimate headerLead { 1 };
    // True once a response header has arrived before any event: an engine that has sent no header for a request has not
    // started it.
    bool headersShowStart { false };

    // When the first of the engines that were probed last was expected to have room for another prompt; 0 when unknown.
    Milliseconds engineRoomAt { 0 };

    // The copies that resumed streams of this VM have tried to continue from.
    CopyOutcomes copyOutcomes {};
    // The copies that this VM's lost and silent runs have tried to continue from.
    CopyOutcomes continuationOutcomes {};

    // This VM's prompts that wait for their first event, by priority.
    std::shared_ptr<PromptMix> waitingPrompts { std::make_shared<PromptMix>() };

    // The input of engine forecasts: the median prompt, and the pace of requests that had an engine to themselves.
    EnginePace engine() const
    {
        const auto& prefillTime = prefillTimeAtUsualPace.isKnown() ? prefillTimeAtUsualPace : prefillTimePerToken;
        return { prefillTime.quantile(undisturbedQuantile), promptTokens.quantile(median) };
    }

    // How long a run may be silent before its engine is probed for liveness. While an engine prefills a prompt, its
    // other runs take five times as long per event. The setting applies until the pace is known.
    Milliseconds silenceBeforeProbe(Milliseconds setting) const
    {
        if (!eventInterval.isKnown())
            return setting;
        return milliseconds(silentIntervals * eventInterval.quantile(undisturbedQuantile));
    }

    // The same before a run's first event, while its prompt is prefilled or queued.
    Milliseconds silenceBeforeFirstEvent(double tokens) const
    {
        return milliseconds(firstEventTolerance * prefillTimePerToken.quantile(upperQuartile) * tokens);
    }

    // The median time to a stream's first event for a prompt of so many tokens.
    Milliseconds medianTimeToFirstEvent(double tokens) const
    {
        return milliseconds(prefillTimePerToken.quantile(median) * tokens);
    }

    // Time after which an unanswered call is hedged.
    Milliseconds hedgeDelay() const { return milliseconds(callTime.quantile(hedgeQuantile)); }

    // True if the service sends headers when it accepts a request, long before the engine starts it.
    bool sendsHeadersEarly() const { return headerLead.quantile(median) > maxHeaderLead; }

    // The median time of a call.
    Milliseconds medianCallTime() const { return milliseconds(callTime.quantile(median)); }

private:
    static Milliseconds milliseconds(double time) { return Milliseconds { static_cast<std::int64_t>(time) }; }

    static constexpr double maxHeaderLead = 100;
    static constexpr double silentIntervals = 5.5;
    static constexpr double firstEventTolerance = 1.5;
    static constexpr double upperQuartile = 0.75;
    // One call in twenty is hedged.
    static constexpr double hedgeQuantile = 0.95;
    static constexpr double undisturbedQuantile = 0.1;
    static constexpr double median = 0.5;
};

} // namespace lupinknot::internal
