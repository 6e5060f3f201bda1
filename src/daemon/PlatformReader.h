// Reads the platform's list of live and leaving endpoints, again and again.
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

// Thread-safe. While the platform does not answer, the last reading stays in force: the endpoints go on serving.
class PlatformReader final : public HttpCallListener, public std::enable_shared_from_this<PlatformReader> {
public:
    PlatformReader(const GenerationContext&, EndpointTable&);

    void start();
    void stop();
    // The age of the last good reading; nothing when there was none.
    std::optional<Milliseconds> age() const;

    void headerArrived(unsigned status, const HttpHeaders&) override;
    void bodyArrived(std::string_view piece) override;
    void ended() override;
    void failed(HttpCallFailure, const std::string& message) override;

private:
    static constexpr std::size_t maxListBytes = 16 * mebibyte;

    void readList();
    void waitForNext();
    void takeList();
    void noteFailure(const std::string& reason);

    const GenerationContext m_context;
    EndpointTable& m_endpoints;
    mutable std::mutex m_mutex;
    // All that follows is under the lock.
    boost::asio::steady_timer m_timer;
    std::shared_ptr<HttpCall> m_call;
    unsigned m_status { 0 };
    std::string m_body;
    std::optional<Milliseconds> m_lastReading;
    bool m_isFailing { false };
    bool m_isStopped { false };
};

} // namespace lupinknot::internal
