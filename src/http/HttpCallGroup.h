// The outgoing calls of one owner, so that it can be destroyed safely.
//
// Callbacks of a call run on threads of cpprestsdk that know nothing of the owner. Before the owner destroys what its
// listeners use, it ends the group:
//
//     HttpCallGroup calls;
//     calls.start(address, request, timeout, listener);
//     calls.cancelAndWait();              // From here on no listener of the group is called any more.
#pragma once

#include "http/HttpCall.h"
#include <condition_variable>
#include <mutex>
#include <unordered_map>

namespace lupinknot::internal {

// Thread-safe.
class HttpCallGroup {
public:
    HttpCallGroup() = default;
    ~HttpCallGroup() { cancelAndWait(); }
    HttpCallGroup(const HttpCallGroup&) = delete;
    HttpCallGroup& operator=(const HttpCallGroup&) = delete;

    // As HttpCall::start().
    std::shared_ptr<HttpCall> start(
        const SocketAddress&, const HttpRequest&, Milliseconds timeout, std::shared_ptr<HttpCallListener>);
    // Cancels every call and returns when the last listener has been let go. Calls that are started later are not
    // sent, and their listeners hear nothing.
    void cancelAndWait();

private:
    class Tracker;
    class UnsentCall;

    void forget(const Tracker*);

    std::mutex m_mutex;
    std::condition_variable m_condition;
    // Both under the lock.
    std::unordered_map<const Tracker*, std::weak_ptr<HttpCall>> m_calls;
    bool m_isEnded { false };
};

} // namespace lupinknot::internal
