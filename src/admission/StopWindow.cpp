#include "admission/StopWindow.h"

namespace lupinknot::internal {

bool mayPassOn(const StopWindow& window, Milliseconds usualTime, Milliseconds now)
{
    if (!window.endsAt)
        return true;
    const auto timeNeeded = window.hasOtherVms ? timeNeededBeforeEnd * usualTime : Milliseconds { 0 };
    return now + timeNeeded < *window.endsAt;
}

} // namespace lupinknot::internal
