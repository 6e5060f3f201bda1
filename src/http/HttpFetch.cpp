#include "http/HttpFetch.h"

#include "http/HttpCall.h"

#include <charconv>
#include <condition_variable>
#include <mutex>

namespace lupinknot::internal {

namespace {

// Collects the response and wakes the waiting thread at its end.
class Collector final : public HttpCallListener {
public:
    void headerArrived(unsigned status, const HttpHeaders& headers) override
    {
        const std::lock_guard lock(m_mutex);
        m_result.response.status = status;
        m_result.response.headers = headers;
    }

    void bodyArrived(std::string_view piece) override
    {
        const std::lock_guard lock(m_mutex);
        m_result.response.body.append(piece);
    }

    void ended() override { complete(std::nullopt, ""); }
    void failed(HttpCallFailure failure, const std::string& message) override { complete(failure, message); }

    HttpFetchResult wait()
    {
        std::unique_lock lock(m_mutex);
        m_condition.wait(lock, [this] { return m_isComplete; });
        return m_result;
    }

private:
    void complete(std::optional<HttpCallFailure> failure, const std::string& message)
    {
        const std::lock_guard lock(m_mutex);
        m_result.failure = failure;
        m_result.message = message;
        m_isComplete = true;
        m_condition.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_condition;
    HttpFetchResult m_result { { 0, {}, {} }, {}, {} };
    bool m_isComplete { false };
};

} // namespace

HttpFetchResult fetch(const SocketAddress& address, const HttpRequest& request, Milliseconds timeout)
{
    const auto collector = std::make_shared<Collector>();
    HttpCall::start(address, request, timeout, collector);
    return collector->wait();
}

std::optional<SocketAddress> parseSocketAddress(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || !colon)
        return std::nullopt;
    SocketAddress address { text.substr(0, colon), 0 };
    const auto end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    const bool isPort = parsed.ec == std::errc() && parsed.ptr == end && address.port > 0 && address.port <= 65535;
    if (!isPort)
        return std::nullopt;
    return address;
}

} // namespace lupinknot::internal
