#include "copies/CopyOutcomes.h"

namespace lupinknot::internal {

namespace {

// Callers whose VMs fail together resume within this time.
constexpr Milliseconds rejectionMemory { 2000 };
// A single copy may be missing because its holder had no room or was lost.
constexpr unsigned minRejections = 2;

} // namespace

void CopyOutcomes::noteRejected(Milliseconds now)
{
    ++m_rejectedInSuccession;
    m_rejectedAt = now;
}

bool CopyOutcomes::areExpected(Milliseconds now) const
{
    return m_rejectedInSuccession < minRejections || now - m_rejectedAt >= rejectionMemory;
}

} // namespace lupinknot::internal
