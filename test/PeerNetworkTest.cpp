#include "peer/PeerNetwork.h"
#include "lupinknot/MonotonicClock.h"
#include "peer/generated/Messages.pb.h"

#include "RawConnection.h"
#include "TestCluster.h"

#include <boost/asio/executor_work_guard.hpp>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

class RecordingHandler final : public PeerHandler {
public:
    void peerUp(const PeerIdentity&) override { ++connections; }
    void peerDown(const PeerIdentity&) override { ++disconnections; }
    void peerMessage(const PeerIdentity& peer, const wire::Envelope& envelope) override
    {
        const std::lock_guard lock(m_mutex);
        m_received.push_back(peer.vm + ":" + std::to_string(envelope.synced().epoch()));
    }

    std::size_t receivedCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_received.size();
    }

    std::string received(std::size_t index) const
    {
        const std::lock_guard lock(m_mutex);
        return m_received[index];
    }

    std::atomic<int> connections { 0 };
    std::atomic<int> disconnections { 0 };

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_received;
};

wire::Envelope numberedMessage(std::uint64_t number)
{
    wire::Envelope envelope;
    envelope.mutable_synced()->set_epoch(number);
    return envelope;
}

} // namespace

TEST_GROUP(PeerNetwork)
{
    MonotonicClock clock;
    boost::asio::io_context ioContext;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { boost::asio::make_work_guard(
        ioContext) };
    std::vector<std::thread> threads;
    RecordingHandler handlerA;
    RecordingHandler handlerB;
    std::shared_ptr<PeerNetwork> networkB;
    std::shared_ptr<PeerNetwork> networkA;

    void setup() override
    {
        for (int i = 0; i < 2; ++i)
            threads.emplace_back([this] { ioContext.run(); });
    }

    void teardown() override
    {
        if (networkA)
            networkA->stop();
        if (networkB)
            networkB->stop();
        ioContext.stop();
        for (auto& thread : threads)
            thread.join();
    }

    PeerNetworkSettings settingsOf(
        const std::string& vm, const std::string& peer, std::int64_t peerPort, const std::string& secret)
    {
        PeerNetworkSettings settings;
        settings.cluster.secret = secret;
        settings.cluster.reconnectInterval = Milliseconds { 10 };
        settings.cluster.heartbeatInterval = Milliseconds { 20 };
        settings.peers.push_back({ peer, "z", "127.0.0.1", peerPort });
        settings.self = { vm, "z", 7, "127.0.0.1", 80 };
        return settings;
    }

    // VM a dials VM b.
    void startBoth(const std::string& secretOfA = "s", const std::string& secretOfB = "s")
    {
        networkB = std::make_shared<PeerNetwork>(ioContext, clock, settingsOf("b", "a", 1, secretOfB));
        networkB->start(handlerB);
        networkA = std::make_shared<PeerNetwork>(ioContext, clock, settingsOf("a", "b", networkB->port(), secretOfA));
        networkA->start(handlerA);
    }
};

TEST(PeerNetwork, ConnectsBothSides)
{
    startBoth();
    CHECK(becomesTrue([this] { return networkA->find("b") && networkB->find("a"); }));
    LONGS_EQUAL(7, networkA->find("b")->incarnation);
}

TEST(PeerNetwork, DeliversMessagesInOrderBothWays)
{
    constexpr std::uint64_t count = 500;
    startBoth();
    CHECK(becomesTrue([this] { return networkA->find("b") && networkB->find("a"); }));
    for (std::uint64_t i = 0; i < count; ++i) {
        networkA->send("b", numberedMessage(i));
        networkB->send("a", numberedMessage(i));
    }
    CHECK(becomesTrue([this] { return handlerA.receivedCount() == count && handlerB.receivedCount() == count; }));
    STRCMP_EQUAL("a:0", handlerB.received(0).c_str());
    STRCMP_EQUAL("a:499", handlerB.received(count - 1).c_str());
    STRCMP_EQUAL("b:499", handlerA.received(count - 1).c_str());
}

TEST(PeerNetwork, RefusesPeerWithWrongSecret)
{
    startBoth("s", "other");
    CHECK_FALSE(networkA->send("b", numberedMessage(1)));
    std::this_thread::sleep_for(Milliseconds { 50 });
    LONGS_EQUAL(0, handlerB.connections.load());
}

TEST(PeerNetwork, ClosesConnectionThatIsNotFromAPeer)
{
    startBoth();
    RawConnection otherProgram(networkB->port());
    otherProgram.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    otherProgram.readAll();
    CHECK(becomesTrue([this] { return networkA->find("b").has_value(); }));
}

TEST(PeerNetwork, ReportsLostPeer)
{
    startBoth();
    CHECK(becomesTrue([this] { return handlerA.connections == 1; }));
    networkB->stop();
    CHECK(becomesTrue([this] { return handlerA.disconnections >= 1; }));
    CHECK_FALSE(networkA->send("b", numberedMessage(1)));
}

TEST(PeerNetwork, ReconnectsWhenPeerRestarts)
{
    startBoth();
    CHECK(becomesTrue([this] { return handlerA.connections == 1; }));
    const auto port = networkB->port();
    networkB->stop();
    CHECK(becomesTrue([this] { return handlerA.disconnections >= 1; }));
    auto settings = settingsOf("b", "a", 1, "s");
    settings.cluster.port = port;
    networkB = std::make_shared<PeerNetwork>(ioContext, clock, settings);
    CHECK(becomesTrue([this] { return !networkB->start(handlerB); }));
    CHECK(becomesTrue([this] { return networkA->find("b").has_value(); }));
}

// A frozen peer accepts connections but sends nothing. If it were dialled repeatedly, it would process the Hello of
// every connection once it resumes, and each link would replace the previous one.
TEST(PeerNetwork, OpensOnlyOneConnectionToFrozenPeer)
{
    boost::asio::ip::tcp::acceptor frozenPeer(ioContext, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    networkA = std::make_shared<PeerNetwork>(
        ioContext, clock, settingsOf("a", "b", frozenPeer.local_endpoint().port(), "s"));
    networkA->start(handlerA);
    auto first = frozenPeer.accept();
    std::this_thread::sleep_for(Milliseconds { 100 });
    frozenPeer.non_blocking(true);
    boost::system::error_code error;
    frozenPeer.accept(error);
    CHECK(error == boost::asio::error::would_block);
}
