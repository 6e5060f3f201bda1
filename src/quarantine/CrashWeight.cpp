#include "quarantine/CrashWeight.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// Endpoints crashed 42 to 116 ms after the beginning of the run (17 crashes); another 250 ms covers network delay and a
// busy VM. Of an engine's other requests, which take 4 to 8 s, one in twenty has begun this recently.
constexpr Milliseconds maxAgeOfNewRun { 350 };
// Shorter than an endpoint can have worked on the request: the endpoint may have crashed before, behind a proxy that
// still accepted connections.
constexpr Milliseconds minWorkTime { 5 };
// A run lost after producing its answer for this long is one of many that the endpoint was running.
constexpr Milliseconds longRunTime { 3000 };
constexpr Milliseconds minProofTime { 1000 };
constexpr int proofFactor = 3;

// Failures that look like a crash of the endpoint.
bool looksLikeCrash(FailureKind kind)
{
    return kind == FailureKind::ConnectionLost || kind == FailureKind::EarlyEnd || kind == FailureKind::Silent;
}

} // namespace

double crashWeight(const UnfinishedRun& run)
{
    if (!looksLikeCrash(run.failure) || run.wasShuttingDown)
        return 0;
    const bool hasJustBegun = run.workedFor <= maxAgeOfNewRun;
    switch (run.beginning) {
    case RunStart::NotYet:
        return 0;
    // Prefill takes longer than this: the engine had crashed before, behind a proxy that accepted the connection.
    case RunStart::Hidden:
        return run.workedFor < minWorkTime ? 0 : halfSuspicion;
    case RunStart::Producing:
        if (run.workedFor >= longRunTime)
            return 0;
        break;
    // Without an event there is no evidence in favour of the request.
    case RunStart::Begun:
        break;
    case RunStart::Assumed:
        if (run.workedFor < minWorkTime)
            return halfSuspicion;
        break;
    }
    return hasJustBegun ? fullSuspicion : halfSuspicion;
}

bool provesHarmless(Milliseconds producedFor, Milliseconds longestWork)
{
    return producedFor >= std::max(minProofTime, proofFactor * longestWork);
}

} // namespace lupinknot::internal
