#include "admission/RetryWait.h"

#include <algorithm>

namespace lupinknot::internal {

std::optional<Milliseconds> earliestRetry(const RetryProspects& prospects)
{
    if (!prospects.ofWholePart)
        return prospects.forPurpose;
    const auto ofWholePart = std::max(*prospects.ofWholePart, prospects.wholePartFrom);
    return std::min(prospects.forPurpose.value_or(ofWholePart), ofWholePart);
}

bool mayWaitForRetry(Milliseconds retryAt, Milliseconds timeToFinish, Milliseconds deadline)
{
    return retryAt + timeToFinish <= deadline;
}

} // namespace lupinknot::internal
