#include "lupinknot/RecoveryPolicy.h"

namespace lupinknot {

RecoveryStep nextStep(const RecoveryState& state, const RecoverySettings& settings)
{
    if (state.attemptsBegun >= settings.maxAttempts)
        return RecoveryStep::GiveUp;
    const bool wouldStartOver = state.mayHaveStarted && !state.tokensHeld;
    if (!state.repeatable && wouldStartOver)
        return RecoveryStep::GiveUp;
    return RecoveryStep::Retry;
}

RunOutcome outcomeOf(const RecoveryState& state)
{
    return state.mayHaveStarted ? RunOutcome::Unknown : RunOutcome::NotRun;
}

} // namespace lupinknot
