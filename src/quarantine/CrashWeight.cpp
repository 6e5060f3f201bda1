#include "quarantine/CrashWeight.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// Endpoints ended 42 to 116 ms after the beginning (17 crashes); a quarter of a second more is for links and a busy VM.
// Of the other requests of an engine, which take 4 to 8 s, one in twenty has begun so lately (reckoned).
constexpr Milliseconds justBegun { 350 };
// A call that is lost sooner than an endpoint could have done anything may have met one that had ended already, behind
// something that still took connections.
constexpr Milliseconds shortestWork { 5 };
// A run that was lost after so much of its answer is one of many that an endpoint had.
constexpr Milliseconds longRun { 3000 };
constexpr Milliseconds shortestProof { 1000 };
constexpr int proofOfWork = 3;

// Kinds of failure that the end of an endpoint looks like.
bool looksLikeAnEnd(FailureKind kind)
{
    return kind == FailureKind::ConnectionLost || kind == FailureKind::EarlyEnd || kind == FailureKind::Silent;
}

} // namespace

double crashWeight(const UnfinishedRun& run)
{
    if (!looksLikeAnEnd(run.failure) || run.wasLeaving)
        return 0;
    const bool isSharp = run.workedFor <= justBegun;
    switch (run.beginning) {
    case RunStart::NotYet:
        return 0;
    // To read a prompt takes longer than this: the engine had gone already, behind something that took the connection.
    case RunStart::Hidden:
        return run.workedFor < shortestWork ? 0 : halfSuspicion;
    case RunStart::Producing:
        if (run.workedFor >= longRun)
            return 0;
        break;
    // Without an event nothing clears it.
    case RunStart::Begun:
        break;
    case RunStart::Assumed:
        if (run.workedFor < shortestWork)
            return halfSuspicion;
        break;
    }
    return isSharp ? fullSuspicion : halfSuspicion;
}

bool provesHarmless(Milliseconds producedFor, Milliseconds longestWork)
{
    return producedFor >= std::max(shortestProof, proofOfWork * longestWork);
}

} // namespace lupinknot::internal
