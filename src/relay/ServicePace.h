// How fast a service is, as this VM sees it: what decisions that depend on speed are taken from.
//
// Each figure has a stated value for the time before anything has been seen (Estimate). Figures hold for a service, not
// for single endpoints: a VM sends each endpoint a request every few seconds, too few to tell it from the others.
// Used on the relay's thread only. Lives for the process.
#pragma once

#include "relay/EngineForecast.h"
#include "relay/Estimate.h"

namespace lupinknot::internal {

struct ServicePace {
    // Milliseconds from sending a call to its whole answer, first attempts of plain calls only. Stated: the time after
    // which a second sending paid on the first customers' services, whose calls take 15 to 30 ms of work.
    Estimate callTime { 75 };
    // Milliseconds that a token of a prompt takes to be read, from sending a request to its first event. Stated: that
    // of an engine that reads 5 tokens a millisecond and nothing else.
    Estimate prefillTimePerToken { 0.2 };
    // Milliseconds between two events of a run, on average over the run. Stated: the first customers' engines, alone.
    Estimate eventInterval { 31 };
    // Events of whole answers, as share of the most that the request allowed. Stated: half of it.
    Estimate answerShare { 0.5 };
    // Tokens of prompts. Stated: the first customers'.
    Estimate promptTokens { 5000 };

    // Milliseconds from a stream's head to its first event. Stated: they come together.
    Estimate headerLead { 1 };
    // A head has come without an event: an engine that has sent none has not begun.
    bool headersShowStart { false };

    // What to forecast engines by: the prompt that is in the middle, and the pace of those that had an engine to
    // themselves.
    EnginePace engine() const
    {
        return { prefillTimePerToken.quantile(undisturbedShare), promptTokens.quantile(middleShare) };
    }

    // Silence of a run after which its engine is asked whether it lives. While an engine reads a prompt, its other runs
    // make an event in five times their own time. The setting holds until the pace is known.
    Milliseconds silenceBeforeProbe(Milliseconds setting) const
    {
        if (!eventInterval.isKnown())
            return setting;
        return milliseconds(intervalsOfSilence * eventInterval.quantile(undisturbedShare));
    }

    // The same before a run's first event, while its prompt is read or waits for others.
    Milliseconds silenceBeforeFirstEvent(double tokens) const
    {
        return milliseconds(patienceShare * prefillTimePerToken.quantile(mostShare) * tokens);
    }

    // What a stream's first event takes in the middle, with a prompt of so many tokens.
    Milliseconds medianTimeToFirstEvent(double tokens) const
    {
        return milliseconds(prefillTimePerToken.quantile(middleShare) * tokens);
    }

    // Time after which an unanswered call is also sent to a second endpoint.
    Milliseconds hedgeDelay() const { return milliseconds(callTime.quantile(hedgedShare)); }

    // True where heads come when a request is taken, long before the engine begins it.
    bool sendsHeadersEarly() const { return headerLead.quantile(middleShare) > longestLead; }

    // What a call takes in the middle.
    Milliseconds medianCallTime() const { return milliseconds(callTime.quantile(middleShare)); }

private:
    static Milliseconds milliseconds(double time) { return Milliseconds { static_cast<std::int64_t>(time) }; }

    static constexpr double longestLead = 100;
    static constexpr double intervalsOfSilence = 5.5;
    static constexpr double patienceShare = 1.5;
    static constexpr double mostShare = 0.75;
    // One call in twenty is sent twice.
    static constexpr double hedgedShare = 0.95;
    static constexpr double undisturbedShare = 0.1;
    static constexpr double middleShare = 0.5;
};

} // namespace lupinknot::internal
