// Reads the platform's list of endpoints, with their states, at regular intervals.
#pragma once

#include "common/ByteSizes.h"
#include "daemon/GenerationContext.h"
#include "http/HttpCallListener.h"
#include "lupinknot/Clock.h"
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>
#include <string>

namespace lupinknot::internal {

class EndpointTable;
class HttpCall;

// Thread-safe. While the platform does not respond, the last list remains in use, so the endpoints continue to serve.
class PlatformReader final : public HttpCallListener, public std::enable_shared_from_this<PlatformReader> {
public:
    PlatformReader(const GenerationContext&, EndpointTable&);

    void start();
    void stop();
    // The time since the list was last read successfully; nothing when it never was.
    std::optional<Milliseconds> age() const;

    void headerArrived(unsigned status, const HttpHeaders&) override;
    void bodyArrived(std::string_view piece) override;
    void ended() override;
    void failed(HttpCallFailure, const std::string& message) override;

private:
    static constexpr std::size_t maxListBytes = 16 * mebibyte;

    void readList();
    void scheduleNextRead();
    void applyList();
    void noteFailure(const std::string& reason);

    const GenerationContext m_context;
    EndpointTable& m_endpoints;
    mutable std::mutex m_mutex;
    // The members below are guarded by the lock.
    boost::asio::steady_timer m_timer;
    std::shared_ptr<HttpCall> m_call;
    unsigned m_status { 0 };
    std::string m_body;
    std::optional<Milliseconds> m_lastReadAt;
    bool m_isFailing { false };
    bool m_isStopped { false };
};

} // namespace lupinknot::internal
