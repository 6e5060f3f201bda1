#include "http/SocketLiveness.h"

#include <boost/asio/io_context.hpp>
#include <netinet/tcp.h>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(SocketLiveness)
{
    boost::asio::io_context ioContext;
    boost::asio::ip::tcp::socket socket { ioContext, boost::asio::ip::tcp::v4() };

    int option(int level, int name)
    {
        int value = 0;
        socklen_t size = sizeof(value);
        ::getsockopt(socket.native_handle(), level, name, &value, &size);
        return value;
    }
};

// A TCP_USER_TIMEOUT below this time makes keep-alive give up after a single lost probe.
TEST(SocketLiveness, DropsAnIdleConnectionOnlyAfterAllProbes)
{
    const SocketLiveness liveness;
    applyLiveness(socket, liveness);
    LONGS_EQUAL(1, option(SOL_SOCKET, SO_KEEPALIVE));
    const auto probesEnd
        = option(IPPROTO_TCP, TCP_KEEPIDLE) + option(IPPROTO_TCP, TCP_KEEPCNT) * option(IPPROTO_TCP, TCP_KEEPINTVL);
    LONGS_EQUAL(1000 * probesEnd, option(IPPROTO_TCP, TCP_USER_TIMEOUT));
    CHECK(option(IPPROTO_TCP, TCP_KEEPCNT) >= 2);
}

TEST(SocketLiveness, OutlastsAPeerThatIsSilentForASecond)
{
    CHECK(SocketLiveness().dropAfter() >= Milliseconds { 2500 });
}
