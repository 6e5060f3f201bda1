// Measures the processor time of a relayed token: the daemon against a plain proxy that uses the same libraries.
//
// Both relay between the same engine and the same callers in this process. A third run without a relay gives the cost
// of engine and callers, which scripts/bench subtracts from both (with `--benchmark_format=json`).

#include "common/Log.h"
#include "daemon/Daemon.h"
#include "http/HttpBodySource.h"
#include "http/HttpCall.h"
#include "http/HttpCallListener.h"
#include "http/HttpExchange.h"
#include "http/HttpServer.h"
#include "load/GenerationCaller.h"
#include "standin/EngineStandIn.h"

#include <benchmark/benchmark.h>
#include <future>
#include <thread>

namespace {

using namespace lupinknot;
using namespace lupinknot::internal;

constexpr std::size_t streams = 32;
constexpr std::size_t tokensPerStream = 200;
constexpr unsigned callThreads = 8;

EngineStandInSettings engineSettings()
{
    EngineStandInSettings settings;
    settings.step = Milliseconds { 5 };
    settings.stallChance = 0;
    return settings;
}

// Forwards bytes as they arrive, without parsing them.
class BareRelay final : public HttpCallListener, public HttpBodySource, public std::enable_shared_from_this<BareRelay> {
public:
    explicit BareRelay(std::shared_ptr<HttpExchange> exchange)
        : m_exchange(std::move(exchange))
    {
    }

    void headerArrived(unsigned status, const HttpHeaders& headers) override
    {
        m_exchange->stream({ status, headers.endToEnd(), {} }, shared_from_this());
    }

    void bodyArrived(std::string_view piece) override
    {
        const std::lock_guard lock(m_mutex);
        m_bytes.append(piece);
        m_exchange->wake();
    }

    void ended() override
    {
        const std::lock_guard lock(m_mutex);
        m_isEnded = true;
        m_exchange->wake();
    }

    void failed(HttpCallFailure, const std::string&) override { ended(); }

    HttpBodyPiece next() override
    {
        const std::lock_guard lock(m_mutex);
        return { std::exchange(m_bytes, {}), m_isEnded };
    }

private:
    const std::shared_ptr<HttpExchange> m_exchange;
    std::mutex m_mutex;
    std::string m_bytes;
    bool m_isEnded { false };
};

class BareProxy {
public:
    explicit BareProxy(SocketAddress engine)
        : m_engine(std::move(engine))
        , m_work(boost::asio::make_work_guard(m_ioContext))
        , m_server(m_ioContext, {}, [this](const auto& exchange) {
            HttpCall::start(
                m_engine, exchange->request(), Milliseconds { 60000 }, std::make_shared<BareRelay>(exchange));
        })
    {
        m_server.start();
        for (int i = 0; i < 4; ++i)
            m_threads.emplace_back([this] { m_ioContext.run(); });
    }

    ~BareProxy()
    {
        m_ioContext.stop();
        for (auto& thread : m_threads)
            thread.join();
    }

    BareProxy(const BareProxy&) = delete;
    BareProxy& operator=(const BareProxy&) = delete;

    unsigned short port() const { return m_server.port(); }

private:
    const SocketAddress m_engine;
    boost::asio::io_context m_ioContext;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    HttpServer m_server;
    std::vector<std::thread> m_threads;
};

// Waits for the end of the response and ignores its content, so that the callers cost the same in each run.
class CountingListener final : public HttpCallListener {
public:
    void headerArrived(unsigned, const HttpHeaders&) override { }
    void bodyArrived(std::string_view) override { }
    void ended() override { m_ended.set_value(); }
    void failed(HttpCallFailure, const std::string&) override { m_ended.set_value(); }
    void wait() { m_ended.get_future().wait(); }

private:
    std::promise<void> m_ended;
};

void runStreams(benchmark::State& state, unsigned short port)
{
    for (auto iteration : state) {
        static_cast<void>(iteration);
        std::vector<std::shared_ptr<CountingListener>> listeners;
        for (std::size_t i = 0; i < streams; ++i) {
            const auto body = R"({"model":"story","prompt":[)" + std::to_string(i + 1) + R"(],"max_tokens":)"
                + std::to_string(tokensPerStream) + R"(,"stream":true})";
            listeners.push_back(std::make_shared<CountingListener>());
            HttpCall::start({ "127.0.0.1", port },
                { "POST", "/v1/completions", { { "Content-Type", "application/json" } }, body }, Milliseconds { 60000 },
                listeners.back());
        }
        for (const auto& listener : listeners)
            listener->wait();
    }
    state.SetItemsProcessed(
        static_cast<std::int64_t>(static_cast<std::size_t>(state.iterations()) * streams * tokensPerStream));
}

void direct(benchmark::State& state)
{
    EngineStandIn engine(engineSettings());
    engine.start();
    runStreams(state, engine.port());
}

void bareProxy(benchmark::State& state)
{
    EngineStandIn engine(engineSettings());
    engine.start();
    BareProxy proxy({ "127.0.0.1", engine.port() });
    runStreams(state, proxy.port());
}

void daemonRelay(benchmark::State& state)
{
    EngineStandIn engine(engineSettings());
    engine.start();
    DaemonSettings settings;
    settings.vm = { "a1", "z1" };
    settings.endpoints.push_back({ "e1", "z1", "127.0.0.1", engine.port(), { "story" } });
    Daemon daemon(settings);
    daemon.start();
    runStreams(state, daemon.port());
}

BENCHMARK(direct)->MeasureProcessCPUTime()->Iterations(2)->Unit(benchmark::kMillisecond);
BENCHMARK(bareProxy)->MeasureProcessCPUTime()->Iterations(2)->Unit(benchmark::kMillisecond);
BENCHMARK(daemonRelay)->MeasureProcessCPUTime()->Iterations(2)->Unit(benchmark::kMillisecond);

} // namespace

int main(int argc, char** argv)
{
    initializeLog(LogLevel::Error);
    setHttpCallThreads(callThreads);
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
