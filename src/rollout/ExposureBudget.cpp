#include "rollout/ExposureBudget.h"

#include "common/NameHash.h"

namespace lupinknot::internal {

namespace {

// The rest covers the requests that VMs round up and those that the candidate receives after its rollout is completed.
constexpr double usedShare = 0.8;

} // namespace

ExposureBudget::ExposureBudget(const ExposureLimit& limit, double slackShare, const std::string& vmName)
    : m_limit(limit)
    , m_slackShare(slackShare)
    , m_rounding(fractionOfName(vmName))
{
}

bool ExposureBudget::tryConsume()
{
    const auto allowance = usedShare * (m_limit.share * m_requests + m_limit.slack * m_slackShare);
    if (m_consumed + 1 > allowance + m_rounding)
        return false;
    ++m_consumed;
    return true;
}

} // namespace lupinknot::internal
