#include "http/SocketLiveness.h"

#include <netinet/tcp.h>

namespace lupinknot::internal {

namespace net = boost::asio;

namespace {

template <int name> using TcpOption = net::detail::socket_option::integer<IPPROTO_TCP, name>;

int seconds(Milliseconds time)
{
    return static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(time).count());
}

} // namespace

void applyLiveness(net::ip::tcp::socket& socket, const SocketLiveness& liveness)
{
    boost::system::error_code ignored;
    socket.set_option(net::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(seconds(liveness.idle)), ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(seconds(liveness.interval)), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(liveness.probes), ignored);
    limitUnacknowledgedTime(socket, liveness.dropAfter());
}

void limitUnacknowledgedTime(net::ip::tcp::socket& socket, Milliseconds time)
{
    boost::system::error_code ignored;
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(time.count())), ignored);
}

} // namespace lupinknot::internal
