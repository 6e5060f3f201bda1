#include "limits/LocalPermits.h"

#include <boost/asio/post.hpp>

namespace lupinknot::internal {

LocalPermits::LocalPermits(boost::asio::io_context& ioContext, const Clock& clock)
    : m_ioContext(ioContext)
    , m_clock(clock)
{
}

void LocalPermits::ask(const PermitRequest& request, std::function<void(const PermitAnswer&)> callback)
{
    const auto answer = m_keeper.ask(request, LimitKeeper::primaryShare, m_clock.now());
    boost::asio::post(m_ioContext, [callback = std::move(callback), answer] { callback(answer); });
}

void LocalPermits::reportLimit(const std::string& endpoint, const LimitReport& report)
{
    m_keeper.reportLimit(endpoint, report, m_clock.now());
}

} // namespace lupinknot::internal
