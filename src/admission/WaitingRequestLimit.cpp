#include "admission/WaitingRequestLimit.h"

namespace lupinknot::internal {

bool WaitingRequestLimit::enter(std::size_t bytes)
{
    if (m_count >= mostRequests || bytes > mostBytes - m_bytes)
        return false;
    ++m_count;
    m_bytes += bytes;
    return true;
}

void WaitingRequestLimit::leave(std::size_t bytes)
{
    --m_count;
    m_bytes -= bytes;
}

} // namespace lupinknot::internal
