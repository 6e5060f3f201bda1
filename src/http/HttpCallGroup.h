// The outgoing calls of one owner. The group lets the owner be destroyed safely.
//
// Callbacks of a call run on the threads that all calls share, independently of the owner's lifetime. The owner must
// end the group before it destroys objects that its listeners use:
//
//     HttpCallGroup calls;
//     calls.start(address, request, timeout, listener);
//     calls.cancelAndWait();              // No listener of the group is called after this.
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

    // Like HttpCall::start().
    std::shared_ptr<HttpCall> start(
        const SocketAddress&, const HttpRequest&, Milliseconds timeout, std::shared_ptr<HttpCallListener>);
    // Cancels all calls and returns when the last listener has been released. Calls started later are not sent, and
    // their listeners are never called.
    void cancelAndWait();

private:
    class Tracker;
    class UnsentCall;

    void forget(const Tracker*);

    std::mutex m_mutex;
    std::condition_variable m_condition;
    // Both are guarded by m_mutex.
    std::unordered_map<const Tracker*, std::weak_ptr<HttpCall>> m_calls;
    bool m_isEnded { false };
};

} // namespace lupinknot::internal
