// Asks an engine to free a copy of a run's memory that is no longer needed, at both engines.
//
//     HandleRelease::send(context, source, "h7");
//
// Sent once: an engine that does not answer lets the copy expire. Used on the relay's thread only. Owned by its pending
// timer.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

namespace lupinknot::internal {

class HttpRoundTrip;
class RelayEndpoint;
struct RelayContext;

class HandleRelease : public std::enable_shared_from_this<HandleRelease> {
public:
    // The source is the engine that made the copy.
    static void send(RelayContext&, const std::shared_ptr<RelayEndpoint>& source, const std::string& handle);

private:
    explicit HandleRelease(RelayContext&);

    std::shared_ptr<HttpRoundTrip> m_request;
    boost::asio::steady_timer m_lifetime;
};

} // namespace lupinknot::internal
