// Measures the cost of the journal by flush interval: latency added to a token, bytes between VMs, processor time.
//
// Two daemons, one engine with steps of equal length, 30 journaled streams at about 1,000 tokens a second. Each stream
// with an idempotency key has a twin without one, which is not journaled. Both get their tokens from the same steps of
// the engine, so the difference of their arrival times is the latency that the journal adds. A run without any key
// gives the processor time without a journal.

#include "common/Log.h"
#include "daemon/Daemon.h"
#include "http/HttpCall.h"
#include "http/HttpCallListener.h"
#include "http/HttpFetch.h"
#include "http/SseParser.h"
#include "standin/EngineStandIn.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <cmath>
#include <ctime>
#include <future>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace lupinknot;
using namespace lupinknot::internal;

constexpr std::size_t pairs = 30;
constexpr std::size_t tokensPerStream = 150;
constexpr Milliseconds step { 30 };

using Microseconds = std::chrono::duration<double, std::micro>;

Microseconds now() { return std::chrono::steady_clock::now().time_since_epoch(); }

double processSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::int64_t freePort()
{
    boost::asio::io_context ioContext;
    const boost::asio::ip::tcp::acceptor acceptor(ioContext, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
}

// Records the arrival time of each token.
class ArrivalListener final : public HttpCallListener {
public:
    void headerArrived(unsigned, const HttpHeaders&) override { }
    void bodyArrived(std::string_view piece) override
    {
        std::vector<SseEvent> events;
        m_parser.feed(piece, events);
        for (const auto& event : events) {
            if (!event.id.empty())
                m_arrivals.push_back(now());
        }
    }
    void ended() override { m_ended.set_value(); }
    void failed(HttpCallFailure, const std::string&) override { m_ended.set_value(); }

    const std::vector<Microseconds>& wait()
    {
        m_ended.get_future().wait();
        return m_arrivals;
    }

private:
    SseParser m_parser;
    std::vector<Microseconds> m_arrivals;
    std::promise<void> m_ended;
};

struct StudyResult {
    double latencyMedian { 0 };
    double latencyHigh { 0 };
    double bytesPerToken { 0 };
    double processorMicroseconds { 0 };
};

class Study {
public:
    explicit Study(Milliseconds flush)
        : m_engine(engineSettings())
    {
        m_engine.start();
        const std::array<std::int64_t, 2> ports { freePort(), freePort() };
        for (std::size_t i = 0; i < 2; ++i) {
            DaemonSettings settings;
            settings.vm = { i ? "vm2" : "vm1", "z1" };
            settings.journal.flushInterval = flush;
            settings.cluster.port = ports[i];
            settings.peers.push_back({ i ? "vm1" : "vm2", "z1", "127.0.0.1", ports[1 - i] });
            settings.endpoints.push_back({ "e1", "z1", "127.0.0.1", m_engine.port(), { "story" } });
            m_daemons[i] = std::make_unique<Daemon>(settings);
            m_daemons[i]->start();
        }
        while (sentBytes() < 100)
            std::this_thread::sleep_for(Milliseconds { 5 });
    }

    StudyResult run(bool isJournaled)
    {
        const auto bytesBefore = sentBytes();
        const auto processorBefore = processSeconds();
        std::vector<std::shared_ptr<ArrivalListener>> journaled;
        std::vector<std::shared_ptr<ArrivalListener>> twins;
        for (std::size_t i = 0; i < pairs; ++i) {
            journaled.push_back(startStream(i, isJournaled));
            twins.push_back(startStream(i, false));
        }
        std::vector<double> added;
        for (std::size_t i = 0; i < pairs; ++i)
            compare(journaled[i]->wait(), twins[i]->wait(), added);
        std::sort(added.begin(), added.end());
        const auto tokens = static_cast<double>(pairs * tokensPerStream);
        return { added[added.size() / 2], added[added.size() * 95 / 100],
            static_cast<double>(sentBytes() - bytesBefore) / tokens,
            (processSeconds() - processorBefore) * 1e6 / (2 * tokens) };
    }

private:
    static EngineStandInSettings engineSettings()
    {
        EngineStandInSettings settings;
        settings.step = step;
        settings.jitter = 0;
        settings.stallChance = 0;
        settings.maxBatch = 2 * pairs;
        return settings;
    }

    std::shared_ptr<ArrivalListener> startStream(std::size_t index, bool hasKey)
    {
        const auto body = R"({"model":"story","prompt":[)" + std::to_string(index + 1) + R"(],"max_tokens":)"
            + std::to_string(tokensPerStream) + R"(,"stream":true})";
        HttpRequest request { "POST", "/v1/completions", { { "Content-Type", "application/json" } }, body };
        if (hasKey)
            request.headers.add("Idempotency-Key", "k" + std::to_string(index));
        auto listener = std::make_shared<ArrivalListener>();
        HttpCall::start({ "127.0.0.1", m_daemons[0]->port() }, request, Milliseconds { 60000 }, listener);
        return listener;
    }

    // Whole steps are subtracted: the engine admits the twins one after the other, possibly in different steps.
    static void compare(
        const std::vector<Microseconds>& journaled, const std::vector<Microseconds>& twin, std::vector<double>& added)
    {
        const auto stepTime = Microseconds(step).count();
        for (std::size_t i = 0; i < std::min(journaled.size(), twin.size()); ++i) {
            const auto difference = (journaled[i] - twin[i]).count();
            added.push_back((difference - std::round(difference / stepTime) * stepTime) / 1000);
        }
    }

    std::uint64_t sentBytes() const
    {
        std::uint64_t bytes = 0;
        for (const auto& daemon : m_daemons) {
            const auto status
                = fetch({ "127.0.0.1", daemon->adminPort() }, { "GET", "/v1/status", {}, {} }, Milliseconds { 5000 });
            bytes += nlohmann::json::parse(status.response.body)["peer_bytes_sent"].get<std::uint64_t>();
        }
        return bytes;
    }

    EngineStandIn m_engine;
    std::array<std::unique_ptr<Daemon>, 2> m_daemons;
};

void print(const char* name, const StudyResult& found)
{
    std::cout << "| " << name << " | " << found.latencyMedian << " ms | " << found.latencyHigh << " ms | "
              << found.bytesPerToken << " | " << found.processorMicroseconds << " µs |\n";
}

} // namespace

int main()
{
    initializeLog(LogLevel::Error);
    setHttpCallThreads(8);
    std::cout << "| flush interval | added p50 | added p95 | bytes between VMs a journaled token | processor time a "
                 "token, whole process |\n|---|---|---|---|---|\n";
    print("no journal", Study(Milliseconds { 1 }).run(false));
    for (const auto flush : { 0, 1, 2, 5, 10 })
        print((std::to_string(flush) + " ms").c_str(), Study(Milliseconds { flush }).run(true));
    std::cout.flush();
    std::quick_exit(0);
}
