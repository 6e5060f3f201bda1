// Measures the memory that a daemon needs for each connection, generation, held token and endpoint, in bytes.
//
// Each figure is the growth of the allocator's used bytes while many objects of a kind are created, divided by their
// number.

#include "common/Log.h"
#include "daemon/Daemon.h"
#include "http/HttpServer.h"
#include "lupinknot/Generation.h"
#include "lupinknot/GenerationDriver.h"
#include "standin/TokenSequence.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <thread>

namespace {

using namespace lupinknot;
using namespace lupinknot::internal;

std::size_t usedBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void print(const char* what, std::size_t before, std::size_t after, std::size_t count)
{
    std::cout << "| " << what << " | "
              << (static_cast<double>(after) - static_cast<double>(before)) / static_cast<double>(count) << " |\n";
}

void studyTokens()
{
    constexpr std::size_t count = 100000;
    Generation generation({ count + 1, {} });
    const auto attempt = generation.beginAttempt();
    const auto before = usedBytes();
    for (std::size_t i = 0; i < count; ++i)
        generation.append(
            attempt, i, { static_cast<TokenId>(i % 50000), textOfToken(static_cast<TokenId>(i % 50000)) });
    print("held token", before, usedBytes(), count);
}

void studyGenerations()
{
    class IdleHost final : public AttemptHost {
    public:
        std::optional<EndpointChoice> chooseEndpoint(const std::vector<EndpointName>&) override { return std::nullopt; }
        void startAttempt(const AttemptOrder&) override { }
        void cancelAttempt(AttemptNumber) override { }
        void attemptEnded(const AttemptEnd&) override { }
        void resumed(const ResumeReport&) override { }
    };
    constexpr std::size_t count = 10000;
    IdleHost host;
    const RecoverySettings settings;
    std::vector<std::unique_ptr<GenerationDriver>> drivers;
    drivers.reserve(count);
    const auto before = usedBytes();
    for (std::size_t i = 0; i < count; ++i)
        drivers.push_back(std::make_unique<GenerationDriver>(GenerationRequest {}, settings, host));
    print("driver of a generation, without tokens", before, usedBytes(), count);
}

void studyConnections()
{
    constexpr std::size_t count = 2000;
    boost::asio::io_context ioContext;
    HttpServer server(ioContext, {}, [](const auto&) {});
    server.start();
    std::thread runner([&ioContext] { ioContext.run(); });
    std::vector<boost::asio::ip::tcp::socket> sockets;
    sockets.reserve(count);
    boost::asio::io_context peers;
    const auto before = usedBytes();
    for (std::size_t i = 0; i < count; ++i) {
        sockets.emplace_back(peers);
        sockets.back().connect({ boost::asio::ip::make_address("127.0.0.1"), server.port() });
    }
    while (server.connectionCount() < count)
        std::this_thread::sleep_for(Milliseconds { 1 });
    print("idle connection, both ends", before, usedBytes(), count);
    ioContext.stop();
    runner.join();
}

void studyEndpoints()
{
    constexpr std::size_t count = 1100;
    DaemonSettings settings;
    settings.vm = { "a1", "z1" };
    const auto before = usedBytes();
    for (std::size_t i = 0; i < count; ++i)
        settings.endpoints.push_back({ "endpoint-" + std::to_string(i), "z1", "10.0.0.1", 8000, { "m1" } });
    Daemon daemon(settings);
    print("endpoint, with its settings twice", before, usedBytes(), count);
}

} // namespace

int main()
{
    initializeLog(LogLevel::Error);
    try {
        std::cout << "| what | bytes each |\n|---|---|\n";
        studyTokens();
        studyGenerations();
        studyConnections();
        studyEndpoints();
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "FootprintStudy: " << error.what() << "\n";
        return 1;
    }
}
