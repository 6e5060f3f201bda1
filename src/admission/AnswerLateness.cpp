#include "admission/AnswerLateness.h"

namespace lupinknot::internal {

Lateness latenessOf(const StreamState& state, Milliseconds now)
{
    if (state.isMidStream) {
        if (state.lastEventAt && now - *state.lastEventAt > state.longestPause)
            return Lateness::PausePassed;
        return state.isPromptCached ? Lateness::InTime : Lateness::WithoutCopy;
    }
    const auto objectiveAt = state.firstAttemptAt + state.objective;
    if (now > objectiveAt)
        return Lateness::ObjectivePassed;
    const bool isLateByForecast = state.firstEventForecast && now + *state.firstEventForecast > objectiveAt;
    return isLateByForecast && !state.isPromptCached ? Lateness::ByForecast : Lateness::InTime;
}

bool lacksRoom(const StreamState& state)
{
    return state.firstEventForecast && 2 * *state.firstEventForecast > state.objective;
}

} // namespace lupinknot::internal
