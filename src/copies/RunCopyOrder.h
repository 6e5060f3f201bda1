// One order to an engine to copy the memory of a run to another engine while the run continues.
//
//     m_order = RunCopyOrder::start(
//         context, source, target, requestId, [this](RunCopyOrder& order, const CopyOrderAnswer& answer) { ... });
//     RunCopyOrder::abandon(std::move(m_order));       // The handle of a copy that is still made is released.
//
// Used on the relay's thread only. Owned by its user; after abandon() by its pending timer.
#pragma once

#include "copies/CopyRenewal.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace lupinknot::internal {

class HttpRoundTrip;
class RelayEndpoint;
struct HttpRoundTripResult;
struct RelayContext;

struct CopyOrderAnswer {
    CopyOrderResult result { CopyOrderResult::Unanswered };
    // Identifies the copy; empty unless the result is Copied.
    std::string handle;
};

class RunCopyOrder : public std::enable_shared_from_this<RunCopyOrder> {
public:
    // Called with Unanswered when the order times out, and again if its answer arrives later.
    using Callback = std::function<void(RunCopyOrder&, const CopyOrderAnswer&)>;

    static std::shared_ptr<RunCopyOrder> start(RelayContext&, std::shared_ptr<RelayEndpoint> source,
        std::shared_ptr<RelayEndpoint> target, const std::string& requestId, Callback);
    // Keeps the order until it is answered or no answer is expected, so that the copy does not hold memory at the
    // target until it expires. An engine may return the same handle for several copies of a run: the given one is not
    // released. No callback follows.
    static void abandon(std::shared_ptr<RunCopyOrder>, std::string handleInUse);

    const std::shared_ptr<RelayEndpoint>& source() const { return m_source; }
    const std::shared_ptr<RelayEndpoint>& target() const { return m_target; }
    Milliseconds startedAt() const { return m_startedAt; }
    // True while an answer may still arrive, although the order has timed out.
    bool isOpen() const { return m_isOpen; }

private:
    RunCopyOrder(RelayContext&, std::shared_ptr<RelayEndpoint> source, std::shared_ptr<RelayEndpoint> target, Callback);
    void handleAnswer(const HttpRoundTripResult&);
    void timedOut();

    RelayContext& m_context;
    const std::shared_ptr<RelayEndpoint> m_source;
    const std::shared_ptr<RelayEndpoint> m_target;
    const Milliseconds m_startedAt;
    Callback m_callback;
    std::string m_handleInUse;
    std::shared_ptr<HttpRoundTrip> m_request;
    bool m_isOpen { true };
    boost::asio::steady_timer m_timeout;
    // Runs after the order was abandoned.
    boost::asio::steady_timer m_lifetime;
};

} // namespace lupinknot::internal
