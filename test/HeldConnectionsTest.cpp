#include "DaemonProcess.h"
#include "EntryProcess.h"
#include "RunUntil.h"
#include "common/ByteSizes.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t maxDescriptors = 256;
// More connections than the process may have descriptors.
constexpr std::size_t crowdSize = 320;
// Descriptors that must stay free for the VM's own connections.
constexpr std::size_t minFreeDescriptors = 16;
// The memory of the machine, as the settings state it.
constexpr std::size_t maxMemory = 64 * mebibyte;
constexpr std::size_t maxLogOfIdleCrowd = 64 * kibibyte;
// Time for the VM to accept the connections and to handle what was sent on them.
constexpr Milliseconds settleTime { 1000 };

// What callers send at an address for operators: nothing, half a header, a body that lacks a byte, a whole request.
const std::vector<std::string> operatorRequests { "", "GET /metrics HTTP/1.1\r\nHost: h\r\n",
    "POST /metrics HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nhal", "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n" };

// Callers that connect and hold their connections until the end of the test.
class Crowd {
public:
    Crowd(boost::asio::io_context& ioContext, const SocketAddress& address)
        : m_ioContext(ioContext)
        , m_address(boost::asio::ip::make_address(address.host), static_cast<unsigned short>(address.port))
    {
    }

    // Opens one more connection and sends the bytes on it.
    void join(const std::string& bytes = "")
    {
        auto& socket = m_sockets.emplace_back(m_ioContext);
        boost::system::error_code ignored;
        socket.connect(m_address, ignored);
        if (!bytes.empty())
            boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    }

    // Closes all connections, every second one with a reset.
    void leave()
    {
        bool isReset = false;
        for (auto& socket : m_sockets) {
            boost::system::error_code ignored;
            if (std::exchange(isReset, !isReset))
                socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
        }
        m_sockets.clear();
    }

private:
    boost::asio::io_context& m_ioContext;
    const tcp::endpoint m_address;
    std::deque<tcp::socket> m_sockets;
};

} // namespace

// Guards against a VM that serves nobody because callers hold all descriptors of its process.
TEST_GROUP(HeldConnections)
{
    boost::asio::io_context ioContext;
    std::unique_ptr<EntryProcess> vm;
    std::unique_ptr<Crowd> crowd;

    void setup() override
    {
        vm = std::make_unique<EntryProcess>(ioContext, EntryProcessSettings { .maxDescriptors = maxDescriptors });
        const auto problem = vm->start();
        CHECK_TEXT(!problem, problem.value_or("").c_str());
        crowd = std::make_unique<Crowd>(ioContext, vm->front());
    }

    void teardown() override
    {
        crowd.reset();
        vm.reset();
    }

    void settle()
    {
        boost::asio::steady_timer timer(ioContext, settleTime);
        bool isOver = false;
        timer.async_wait([&isOver](boost::system::error_code) { isOver = true; });
        runUntil(ioContext, [&isOver] { return isOver; });
    }

    void gather(const std::function<std::string()>& bytes)
    {
        for (std::size_t i = 0; i < crowdSize; ++i)
            crowd->join(bytes());
        settle();
    }

    void checkIsWithinLimits()
    {
        CHECK_TEXT(vm->isRunning(), vm->lastExit().c_str());
        const auto used = vm->openDescriptors();
        CHECK_TEXT(
            used + minFreeDescriptors <= maxDescriptors, ("descriptors in use: " + std::to_string(used)).c_str());
        const auto memory = vm->peakMemory();
        CHECK_TEXT(memory <= maxMemory, ("memory at most: " + std::to_string(memory)).c_str());
    }

    void checkServes()
    {
        LONGS_EQUAL_TEXT(200, vm->answerTo("/calls/ordinary"), "an ordinary request is not served");
        CHECK_FALSE_TEXT(vm->metrics().empty(), "the VM does not answer at its address for operators");
    }
};

TEST(HeldConnections, OfCallersThatSendNothingLeaveRoomForOthers)
{
    gather([] { return ""; });
    checkIsWithinLimits();
    checkServes();
    const auto logged = vm->log().size();
    CHECK_TEXT(logged <= maxLogOfIdleCrowd, ("bytes logged: " + std::to_string(logged)).c_str());
}

TEST(HeldConnections, OfCallersThatHaveBeenServedLeaveRoomForOthers)
{
    gather([this] { return vm->requestHead("/calls/1") + "Content-Length: 0\r\n\r\n"; });
    checkIsWithinLimits();
    checkServes();
}

TEST(HeldConnections, OfCallersThatSendHalfAHeaderLeaveRoomForOthers)
{
    gather([this] { return vm->requestHead("/calls/1"); });
    checkIsWithinLimits();
    checkServes();
}

TEST(HeldConnections, OfCallersThatSendHalfABodyAreBounded)
{
    gather([this] { return vm->requestHead("/calls/1") + "Content-Length: 100\r\n\r\nhalf"; });
    checkIsWithinLimits();
    crowd->leave();
    settle();
    checkServes();
}

TEST(HeldConnections, OfCallersThatWaitForContinueAreBounded)
{
    gather([this] { return vm->requestHead("/calls/1") + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n"; });
    checkIsWithinLimits();
    crowd->leave();
    settle();
    checkServes();
}

// The crowd stays while the ordinary caller opens its connection.
TEST(HeldConnections, OfCallersWhoseBodiesLackAByteLeaveRoomForOthers)
{
    gather([this] { return vm->requestHead("/calls/1") + "Content-Length: 4\r\n\r\nhal"; });
    checkIsWithinLimits();
    checkServes();
    checkIsWithinLimits();
}

TEST(HeldConnections, OfCallersThatWaitForContinueLeaveRoomForOthers)
{
    gather([this] { return vm->requestHead("/calls/1") + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n"; });
    checkIsWithinLimits();
    checkServes();
    checkIsWithinLimits();
}

TEST(HeldConnections, OfCallersThatDoNotReadAnswersAreBounded)
{
    vm->answerBytes = 256 * kibibyte;
    gather([this] { return vm->requestHead("/calls/1") + "Content-Length: 0\r\n\r\n"; });
    checkIsWithinLimits();
    crowd->leave();
    settle();
    checkServes();
}

TEST(HeldConnections, ThatAreOpenedAndClosedLeaveNothingBehind)
{
    constexpr int rounds = 10;
    const auto before = vm->openDescriptors();
    for (int i = 0; i < rounds; ++i) {
        for (std::size_t k = 0; k < crowdSize; ++k)
            crowd->join(k % 2 ? "" : vm->requestHead("/calls/1"));
        crowd->leave();
    }
    settle();
    checkIsWithinLimits();
    checkServes();
    const auto after = vm->openDescriptors();
    CHECK_TEXT(after <= before + minFreeDescriptors, ("descriptors left open: " + std::to_string(after)).c_str());
}

// The addresses for other VMs and for operators are served by the same code.
TEST(HeldConnections, AtTheAddressForOtherVmsLeaveRoomForCallers)
{
    crowd = std::make_unique<Crowd>(ioContext, vm->peers());
    gather([] { return ""; });
    checkIsWithinLimits();
    checkServes();
}

// Guards against a VM that takes no more requests because callers hold its readiness or metrics address.
TEST(HeldConnections, AtTheReadinessAddressLeaveRoomForOthers)
{
    crowd = std::make_unique<Crowd>(ioContext, vm->readinessAddress());
    for (const auto& bytes : operatorRequests) {
        gather([&bytes] { return bytes; });
        checkIsWithinLimits();
        CHECK_TEXT(vm->isReady(), ("not ready beside callers that send: " + bytes).c_str());
        checkServes();
        checkIsWithinLimits();
    }
}

TEST(HeldConnections, AtTheMetricsAddressLeaveRoomForOthers)
{
    crowd = std::make_unique<Crowd>(ioContext, vm->metricsAddress());
    for (const auto& bytes : operatorRequests) {
        gather([&bytes] { return bytes; });
        checkIsWithinLimits();
        CHECK_TEXT(vm->isReady(), ("not ready beside callers that send: " + bytes).c_str());
        checkServes();
        checkIsWithinLimits();
    }
}

// Each holds a connection to an endpoint too, with half a request on it.
TEST(HeldConnections, ThatAreTunnelsLeaveRoomForCallers)
{
    crowd = std::make_unique<Crowd>(ioContext, vm->peers());
    const auto endpoint = vm->endpoint().text();
    gather([&] {
        return "CONNECT " + endpoint + " HTTP/1.1\r\nHost: " + endpoint + "\r\n\r\n" + vm->requestHead("/calls/1");
    });
    checkIsWithinLimits();
    checkServes();
    CHECK(vm->isReady());
    checkIsWithinLimits();
    STRCMP_CONTAINS("\nlupinknot_relay_tunnels_opened_total ", vm->metrics().c_str());
    CHECK_TEXT(
        vm->metrics().find("\nlupinknot_relay_tunnels_opened_total 0\n") == std::string::npos, "no tunnel opened");
}

// The same for lupinknotd.
TEST_GROUP(HeldConnectionsOfDaemon) {};

TEST(HeldConnectionsOfDaemon, OfCallersThatSendNothingLeaveRoomForOthers)
{
    DaemonProcess daemon;
    CHECK(daemon.start(maxDescriptors));
    boost::asio::io_context ioContext;
    Crowd crowd(ioContext, daemon.front());
    for (std::size_t i = 0; i < crowdSize; ++i)
        crowd.join();
    std::this_thread::sleep_for(settleTime);
    CHECK(daemon.isRunning());
    const auto used = daemon.openDescriptors();
    CHECK_TEXT(used + minFreeDescriptors <= maxDescriptors, ("descriptors in use: " + std::to_string(used)).c_str());
    LONGS_EQUAL_TEXT(200, daemon.answerTo("/thumbs/1"), "an ordinary request is not served");
}
