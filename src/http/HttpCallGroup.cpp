#include "http/HttpCallGroup.h"

#include "http/HttpCallListener.h"

#include <vector>

namespace lupinknot::internal {

// Stands between a call and its listener, and notes when the call lets go of both.
class HttpCallGroup::Tracker final : public HttpCallListener {
public:
    Tracker(HttpCallGroup& group, std::shared_ptr<HttpCallListener> listener)
        : m_group(group)
        , m_listener(std::move(listener))
    {
    }

    ~Tracker() override
    {
        m_listener.reset();
        m_group.forget(this);
    }

    Tracker(const Tracker&) = delete;
    Tracker& operator=(const Tracker&) = delete;

    void headerArrived(unsigned status, const HttpHeaders& headers) override
    {
        m_listener->headerArrived(status, headers);
    }
    void bodyArrived(std::string_view piece) override { m_listener->bodyArrived(piece); }
    void ended() override { m_listener->ended(); }
    void failed(HttpCallFailure failure, const std::string& message) override { m_listener->failed(failure, message); }

private:
    HttpCallGroup& m_group;
    std::shared_ptr<HttpCallListener> m_listener;
};

// What a group that has ended gives back. A call that was begun and cancelled could still reach its endpoint.
class HttpCallGroup::UnsentCall final : public HttpCall {
public:
    void cancel() override { }
};

std::shared_ptr<HttpCall> HttpCallGroup::start(const SocketAddress& address, const HttpRequest& request,
    Milliseconds timeout, std::shared_ptr<HttpCallListener> listener)
{
    auto tracker = std::make_shared<Tracker>(*this, std::move(listener));
    const auto* key = tracker.get();
    {
        const std::lock_guard lock(m_mutex);
        if (m_isEnded)
            return std::make_shared<UnsentCall>();
        m_calls[key];
    }
    auto call = HttpCall::start(address, request, timeout, std::move(tracker));
    const std::lock_guard lock(m_mutex);
    if (const auto entry = m_calls.find(key); entry != m_calls.end())
        entry->second = call;
    if (m_isEnded)
        call->cancel();
    return call;
}

void HttpCallGroup::cancelAndWait()
{
    std::unique_lock lock(m_mutex);
    m_isEnded = true;
    std::vector<std::shared_ptr<HttpCall>> calls;
    for (const auto& entry : m_calls) {
        if (auto call = entry.second.lock())
            calls.push_back(std::move(call));
    }
    lock.unlock();
    for (const auto& call : calls)
        call->cancel();
    calls.clear();
    lock.lock();
    m_condition.wait(lock, [this] { return m_calls.empty(); });
}

void HttpCallGroup::forget(const Tracker* tracker)
{
    const std::lock_guard lock(m_mutex);
    m_calls.erase(tracker);
    m_condition.notify_all();
}

} // namespace lupinknot::internal
