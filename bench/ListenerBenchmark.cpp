// Measures the processor time of a streamed token with one flush each: cpprestsdk's listener against HttpServer.
//
// Both are read through plain sockets. docs/LISTENER.md has the figures and the choice between the two.

#include "common/ByteSizes.h"
#include "common/Log.h"
#include "http/HttpBodySource.h"
#include "http/HttpExchange.h"
#include "http/HttpServer.h"

#include <benchmark/benchmark.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <pplx/threadpool.h>
#include <thread>

namespace {

using namespace lupinknot;
using namespace lupinknot::internal;
using boost::asio::ip::tcp;

constexpr std::size_t streams = 8;
constexpr std::size_t tokensPerStream = 2000;
const std::string token(66, 't');

unsigned short freePort()
{
    boost::asio::io_context ioContext;
    const tcp::acceptor acceptor(ioContext, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return acceptor.local_endpoint().port();
}

// Requests a stream and reads until the connection ends. Returns the number of bytes.
std::size_t readStream(unsigned short port)
{
    boost::asio::io_context ioContext;
    tcp::socket socket(ioContext);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    boost::asio::write(
        socket, boost::asio::buffer(std::string("GET /tokens HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")));
    std::size_t total = 0;
    std::vector<char> piece(64 * kibibyte);
    boost::system::error_code error;
    while (!error)
        total += socket.read_some(boost::asio::buffer(piece), error);
    return total;
}

void readAllStreams(benchmark::State& state, unsigned short port)
{
    for (auto iteration : state) {
        static_cast<void>(iteration);
        std::vector<std::thread> readers;
        for (std::size_t i = 0; i < streams; ++i)
            readers.emplace_back([port] { benchmark::DoNotOptimize(readStream(port)); });
        for (auto& reader : readers)
            reader.join();
    }
    state.SetItemsProcessed(
        static_cast<std::int64_t>(static_cast<std::size_t>(state.iterations()) * streams * tokensPerStream));
}

// Produces one token for each flush.
class TokenSource final : public HttpBodySource {
public:
    HttpBodyPiece next() override { return { token, ++m_sent == tokensPerStream }; }

private:
    std::size_t m_sent { 0 };
};

void ownServer(benchmark::State& state)
{
    boost::asio::io_context ioContext;
    const auto work = boost::asio::make_work_guard(ioContext);
    HttpServer server(ioContext, {}, [](const auto& exchange) {
        exchange->stream({ 200, {}, {} }, std::make_shared<TokenSource>());
    });
    server.start();
    constexpr std::size_t threadCount = 4;
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (std::size_t i = 0; i < threadCount; ++i)
        threads.emplace_back([&ioContext] { ioContext.run(); });
    readAllStreams(state, server.port());
    ioContext.stop();
    for (auto& thread : threads)
        thread.join();
}

void writeTokens(concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer)
{
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(token.data());
    for (std::size_t i = 0; i < tokensPerStream; ++i) {
        buffer.putn_nocopy(bytes, token.size()).wait();
        buffer.sync().wait();
    }
    buffer.close(std::ios::out).wait();
}

void cpprestListener(benchmark::State& state)
{
    const auto port = freePort();
    web::http::experimental::listener::http_listener listener(web::uri("http://127.0.0.1:" + std::to_string(port)));
    std::vector<std::thread> writers;
    std::mutex mutex;
    listener.support([&](const web::http::http_request& request) {
        const concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer;
        web::http::http_response response(web::http::status_codes::OK);
        response.set_body(buffer.create_istream());
        request.reply(response);
        const std::lock_guard lock(mutex);
        writers.emplace_back([buffer] { writeTokens(buffer); });
    });
    listener.open().wait();
    readAllStreams(state, port);
    for (auto& writer : writers)
        writer.join();
    listener.close().wait();
}

BENCHMARK(ownServer)->MeasureProcessCPUTime()->Iterations(3)->Unit(benchmark::kMillisecond);
BENCHMARK(cpprestListener)->MeasureProcessCPUTime()->Iterations(3)->Unit(benchmark::kMillisecond);

} // namespace

int main(int argc, char** argv)
{
    initializeLog(LogLevel::Error);
    crossplat::threadpool::initialize_with_threads(8);
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    std::quick_exit(0);
}
