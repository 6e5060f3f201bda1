// Holds the requests that came before the VM knew what it needs to serve them.
//
// admission/StartupWait decides who waits and how long; this class carries it out: it keeps the requests in order of
// arrival, lets one go when its caller leaves, and hands each on when the news is there or its time is over.
//
//     StartupQueue queue(context, [this](const StartupQueue::Request& request) { handle(request); });
//     if (!queue.hold(exchange, arrivedAt, until)) ...        // No room.
//     queue.release();                                         // The news is there.
//
// Used on the relay's thread only. Lives for the process.
#pragma once

#include "lupinknot/Clock.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>

namespace lupinknot::internal {

class HttpExchange;
struct RelayContext;

class StartupQueue {
public:
    struct Request {
        std::shared_ptr<HttpExchange> exchange;
        Milliseconds arrivedAt { 0 };
    };
    // Told each request that waits no more.
    using Released = std::function<void(const Request&)>;

    StartupQueue(RelayContext&, Released);

    // Keeps a request until the instant, or until release(). False when there is no room for it.
    bool hold(const Request&, Milliseconds until);
    // Hands all requests on, the first one first.
    void release();

private:
    struct Held {
        Request request;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    // Takes a request out; false when it has gone already.
    bool take(const std::shared_ptr<HttpExchange>&);

    RelayContext& m_context;
    const Released m_released;
    std::list<Held> m_held;
};

} // namespace lupinknot::internal
