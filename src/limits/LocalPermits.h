// Permits of a VM that knows no other one: it counts for itself alone.
#pragma once

#include "limits/LimitKeeper.h"
#include <boost/asio/io_context.hpp>

namespace lupinknot {
class Clock;
}

namespace lupinknot::internal {

// Used on the thread of the io_context only.
class LocalPermits final : public PermitSource {
public:
    LocalPermits(boost::asio::io_context&, const Clock&);
    void ask(const PermitRequest&, std::function<void(const PermitAnswer&)>) override;
    void reportLimit(const std::string& endpoint, const LimitReport&) override;

private:
    boost::asio::io_context& m_ioContext;
    const Clock& m_clock;
    LimitKeeper m_keeper;
};

} // namespace lupinknot::internal
