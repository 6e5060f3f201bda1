#include "copies/ContinuationGate.h"

namespace lupinknot::internal {

bool mayContinue(const StopState& stop, const ContinuationLimits& limits)
{
    switch (stop.progress) {
    case StopProgress::Unsent:
        return stop.contact == EngineContact::None || stop.waited >= limits.answerWait;
    case StopProgress::Sent:
        return stop.contact != EngineContact::Answers || stop.waited >= limits.answerWait;
    case StopProgress::Busy:
        return stop.waited >= limits.busyWait;
    case StopProgress::Decided:
        return true;
    }
    return true;
}

} // namespace lupinknot::internal
