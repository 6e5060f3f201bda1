// Holds requests that arrived before the VM had the configuration and the endpoints to serve them.
//
// admission/StartupWait decides which requests wait and for how long. This class keeps them in order of arrival, drops
// those whose callers disconnect, and passes each on when the information has arrived or its time is over.
//
//     StartupQueue queue(context, [this](const StartupQueue::Request& request) { handle(request); });
//     if (!queue.hold(exchange, arrivedAt, until)) ...        // The queue is full.
//     queue.release();                                         // The information has arrived.
//
// Used on the relay's thread only. Lives for the process.
#pragma once

#include "admission/RequestRank.h"
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
        // Not named while the configuration is unknown.
        RequestRank rank {};
    };
    // Called with each request that stops waiting.
    using ReleaseCallback = std::function<void(const Request&)>;

    StartupQueue(RelayContext&, ReleaseCallback);

    // Holds the request until the given time or until release(). False when the queue is full.
    bool hold(const Request&, Milliseconds until);
    // Passes on all requests in order of arrival.
    void release();

private:
    struct Held {
        Request request;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::uint64_t place { 0 };
    };

    // Removes a request; false when it has been removed already.
    bool remove(const std::shared_ptr<HttpExchange>&);

    RelayContext& m_context;
    const ReleaseCallback m_onReleased;
    std::list<Held> m_held;
};

} // namespace lupinknot::internal
