#include "quarantine/CrashWeight.h"

namespace lupinknot::internal {

namespace {

// Endpoints ended 40 to 120 ms after the beginning; a quarter of a second more is for links and a busy VM. Of the other
// requests of an engine, which take 4 to 8 s, one in twenty has begun so lately.
constexpr Milliseconds justBegun { 350 };

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
    case RunBeginning::NotYet:
        return 0;
    case RunBeginning::Hidden:
        return halfSuspicion;
    case RunBeginning::Producing:
        if (run.workedFor >= harmlessAfter)
            return 0;
        break;
    // Without an event nothing clears it: heads may come when a request is taken, long before it begins.
    case RunBeginning::Begun:
    case RunBeginning::Assumed:
        break;
    }
    return isSharp ? fullSuspicion : halfSuspicion;
}

} // namespace lupinknot::internal
