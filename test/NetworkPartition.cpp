#include "NetworkPartition.h"

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <dlfcn.h>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

namespace lupinknot::internal {

namespace {

template <typename Function> Function* realFunction(const char* name)
{
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

// A listening socket whose queue is full, so that connections to it hang.
class FullListener {
public:
    FullListener()
    {
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
        socklen_t size = sizeof(m_address);
        if (::bind(listener, reinterpret_cast<sockaddr*>(&m_address), size) != 0 || ::listen(listener, 0) != 0
            || ::getsockname(listener, reinterpret_cast<sockaddr*>(&m_address), &size) != 0) {
            std::perror("cannot open a listening socket for the test");
            std::abort();
        }
        constexpr int connectionsToFillTheQueue = 4;
        for (int i = 0; i < connectionsToFillTheQueue; ++i) {
            const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            static_cast<void>(::connect(filler, reinterpret_cast<sockaddr*>(&m_address), size));
        }
    }

    const sockaddr_in& address() const { return m_address; }

private:
    sockaddr_in m_address {};
};

} // namespace

class NetworkPartition::State {
public:
    // What a system call on a connection of this VM should do.
    enum class Action {
        Pass,
        Drop,
        Reset,
    };

    // The mode of the partition from the address; nothing if the address is not a remote one.
    std::optional<PartitionMode> modeOf(const sockaddr* address)
    {
        if (address->sa_family != AF_INET)
            return std::nullopt;
        const std::lock_guard lock(m_mutex);
        const auto found = m_remotePorts.find(portOf(address));
        return found == m_remotePorts.end() ? std::nullopt : std::optional(found->second);
    }

    void add(int socket, const sockaddr* address)
    {
        const std::lock_guard lock(m_mutex);
        m_connections[socket] = { portOf(address), Action::Pass };
    }

    void remove(int socket)
    {
        const std::lock_guard lock(m_mutex);
        m_connections.erase(socket);
    }

    Action action(int socket)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_connections.find(socket);
        return found == m_connections.end() ? Action::Pass : found->second.action;
    }

    void addRemotePort(unsigned short port)
    {
        const std::lock_guard lock(m_mutex);
        m_remotePorts.emplace(port, m_mode);
    }

    void begin(PartitionMode mode)
    {
        const std::lock_guard lock(m_mutex);
        m_mode = mode;
        for (auto& port : m_remotePorts)
            port.second = mode;
        for (auto& connection : m_connections)
            apply(mode, connection.first, connection.second);
    }

    void begin(PartitionMode mode, unsigned short port)
    {
        const std::lock_guard lock(m_mutex);
        m_remotePorts[port] = mode;
        for (auto& connection : m_connections) {
            if (connection.second.port == port)
                apply(mode, connection.first, connection.second);
        }
    }

private:
    // A connection to a remote port.
    struct Connection {
        unsigned short port { 0 };
        Action action { Action::Pass };
    };

    static unsigned short portOf(const sockaddr* address)
    {
        return ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port);
    }

    static void apply(PartitionMode mode, int socket, Connection& connection)
    {
        if (mode == PartitionMode::Hang)
            connection.action = Action::Drop;
        if (mode != PartitionMode::Reset)
            return;
        connection.action = Action::Reset;
        // Wakes the VM's pending read, which then gets the reset.
        ::shutdown(socket, SHUT_RDWR);
    }

    std::mutex m_mutex;
    // The mode for ports that are added.
    PartitionMode m_mode { PartitionMode::None };
    std::map<unsigned short, PartitionMode> m_remotePorts;
    std::map<int, Connection> m_connections;
};

namespace {

thread_local std::shared_ptr<NetworkPartition::State> attached;

const FullListener& fullListener()
{
    static const FullListener listener;
    return listener;
}

using Action = NetworkPartition::State::Action;

Action actionFor(int socket) { return attached ? attached->action(socket) : Action::Pass; }

ssize_t received(Action action)
{
    errno = action == Action::Reset ? ECONNRESET : EAGAIN;
    return -1;
}

ssize_t sent(Action action, std::size_t size)
{
    if (action == Action::Drop)
        return static_cast<ssize_t>(size);
    errno = ECONNRESET;
    return -1;
}

} // namespace

NetworkPartition::NetworkPartition()
    : m_state(std::make_shared<State>())
{
    // Opened before any thread is attached.
    fullListener();
}

NetworkPartition::~NetworkPartition() = default;

void NetworkPartition::attachThisThread() { attached = m_state; }

void NetworkPartition::addRemotePort(unsigned short port) { m_state->addRemotePort(port); }

void NetworkPartition::begin(PartitionMode mode) { m_state->begin(mode); }

void NetworkPartition::begin(PartitionMode mode, unsigned short port) { m_state->begin(mode, port); }

} // namespace lupinknot::internal

using lupinknot::internal::actionFor;
using lupinknot::internal::attached;
using lupinknot::internal::PartitionMode;

extern "C" {

int connect(int socket, const sockaddr* address, socklen_t size)
{
    static auto* const real = lupinknot::internal::realFunction<int(int, const sockaddr*, socklen_t)>("connect");
    const auto mode = attached ? attached->modeOf(address) : std::nullopt;
    if (!mode)
        return real(socket, address, size);
    if (mode == PartitionMode::RefuseNew) {
        errno = ECONNREFUSED;
        return -1;
    }
    if (mode != PartitionMode::None) {
        const auto& nowhere = lupinknot::internal::fullListener().address();
        return real(socket, reinterpret_cast<const sockaddr*>(&nowhere), sizeof(nowhere));
    }
    attached->add(socket, address);
    return real(socket, address, size);
}

int close(int socket)
{
    static auto* const real = lupinknot::internal::realFunction<int(int)>("close");
    if (attached)
        attached->remove(socket);
    return real(socket);
}

ssize_t recv(int socket, void* buffer, std::size_t size, int flags)
{
    static auto* const real = lupinknot::internal::realFunction<ssize_t(int, void*, std::size_t, int)>("recv");
    const auto action = actionFor(socket);
    return action == lupinknot::internal::Action::Pass ? real(socket, buffer, size, flags)
                                                       : lupinknot::internal::received(action);
}

ssize_t recvmsg(int socket, msghdr* message, int flags)
{
    static auto* const real = lupinknot::internal::realFunction<ssize_t(int, msghdr*, int)>("recvmsg");
    const auto action = actionFor(socket);
    return action == lupinknot::internal::Action::Pass ? real(socket, message, flags)
                                                       : lupinknot::internal::received(action);
}

ssize_t send(int socket, const void* buffer, std::size_t size, int flags)
{
    static auto* const real = lupinknot::internal::realFunction<ssize_t(int, const void*, std::size_t, int)>("send");
    const auto action = actionFor(socket);
    return action == lupinknot::internal::Action::Pass ? real(socket, buffer, size, flags)
                                                       : lupinknot::internal::sent(action, size);
}

ssize_t sendmsg(int socket, const msghdr* message, int flags)
{
    static auto* const real = lupinknot::internal::realFunction<ssize_t(int, const msghdr*, int)>("sendmsg");
    const auto action = actionFor(socket);
    if (action == lupinknot::internal::Action::Pass)
        return real(socket, message, flags);
    std::size_t size = 0;
    for (std::size_t i = 0; i < message->msg_iovlen; ++i)
        size += message->msg_iov[i].iov_len;
    return lupinknot::internal::sent(action, size);
}

} // extern "C"
