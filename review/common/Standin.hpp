// Stand-ins for the cases in this folder: HTTP/1.1 over blocking sockets, the platform's store, child processes and the
// record of a run. They follow PROTOCOL.md and DEPLOY.md. Each connection has its own thread; a case ends with its
// process.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace standin {

using nlohmann::json;
using Ms = std::chrono::milliseconds;

inline std::int64_t nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<Ms>(std::chrono::steady_clock::now() - start).count();
}

inline void pause(std::int64_t milliseconds) { std::this_thread::sleep_for(Ms(milliseconds)); }

// Exit codes of a case.
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

inline bool hasTrouble()
{
    const char* const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// What was sent, answered and run, one line each.
class Record {
public:
    static Record& instance()
    {
        static Record only;
        return only;
    }
    void open(const std::string& path) { m_file.open(path, std::ios::trunc); }
    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << nowMs() << " " << text << "\n";
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline void record(const std::string& text) { Record::instance().line(text); }

struct Message {
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return "";
    }
    bool has(const std::string& name) const
    {
        return std::any_of(headers.begin(), headers.end(),
            [&name](const auto& field) { return strcasecmp(field.first.c_str(), name.c_str()) == 0; });
    }
    // Of a request.
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
    // Of a response.
    int status() const { return std::atoi(start.substr(std::min(start.find(' ') + 1, start.size())).c_str()); }
};

enum class ReadResult {
    Complete,
    Closed, // Before the first byte.
    Partial, // The peer ended or reset the connection within the message.
};

class Connection {
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    int fd() const { return m_fd; }
    bool wasReset() const { return m_wasReset; }
    const std::string& buffered() const { return m_buffer; }

    bool send(const std::string& bytes)
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const auto count = ::send(m_fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            done += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Reads a request or a response. The body has a length, is chunked, or, where isResponse, ends with the connection.
    ReadResult read(Message& message, bool isResponse)
    {
        message = {};
        std::size_t end = std::string::npos;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill())
                return m_buffer.empty() ? ReadResult::Closed : ReadResult::Partial;
        }
        std::istringstream lines(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(lines, line);
        message.start = withoutReturn(line);
        while (std::getline(lines, line)) {
            line = withoutReturn(line);
            const auto colon = std::min(line.find(':'), line.size());
            auto value = line.substr(std::min(colon + 1, line.size()));
            value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
            message.headers.emplace_back(line.substr(0, colon), value);
        }
        if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0)
            return readChunks(message);
        if (message.has("Content-Length"))
            return readLength(message, std::strtoull(message.header("Content-Length").c_str(), nullptr, 10));
        if (!isResponse)
            return ReadResult::Complete;
        while (fill()) { }
        message.body = std::exchange(m_buffer, {});
        return m_wasReset ? ReadResult::Partial : ReadResult::Complete;
    }

    // Reads what has come; false at the end of the connection.
    bool fill()
    {
        char piece[65536];
        const auto count = ::recv(m_fd, piece, sizeof(piece), 0);
        if (count > 0) {
            m_buffer.append(piece, static_cast<std::size_t>(count));
            return true;
        }
        m_wasReset = m_wasReset || (count < 0 && errno == ECONNRESET);
        return false;
    }

    void close()
    {
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }
    void reset()
    {
        const linger now { 1, 0 };
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close();
    }

private:
    static std::string withoutReturn(std::string line)
    {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        return line;
    }
    ReadResult readLength(Message& message, std::size_t length)
    {
        while (m_buffer.size() < length) {
            if (!fill()) {
                message.body = std::exchange(m_buffer, {});
                return ReadResult::Partial;
            }
        }
        message.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return ReadResult::Complete;
    }
    ReadResult readChunks(Message& message)
    {
        for (;;) {
            std::size_t end = std::string::npos;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill())
                    return ReadResult::Partial;
            }
            const auto size = std::strtoull(m_buffer.substr(0, end).c_str(), nullptr, 16);
            m_buffer.erase(0, end + 2);
            while (m_buffer.size() < size + 2) {
                if (!fill()) {
                    message.body += m_buffer;
                    return ReadResult::Partial;
                }
            }
            message.body += m_buffer.substr(0, size);
            m_buffer.erase(0, size + 2);
            if (size == 0)
                return ReadResult::Complete;
        }
    }

    int m_fd;
    std::string m_buffer;
    bool m_wasReset { false };
};

// An address of this process alone: all of 127.0.0.0/8 is this machine.
inline std::string ownHost(int number)
{
    const auto id = static_cast<int>(::getpid());
    return "127." + std::to_string(2 + id / 250 % 250) + "." + std::to_string(id % 250) + "." + std::to_string(number);
}

struct Address {
    std::string host;
    int port { 0 };
    std::string text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in in {};
    in.sin_family = AF_INET;
    in.sin_port = htons(static_cast<std::uint16_t>(address.port));
    ::inet_pton(AF_INET, address.host.c_str(), &in.sin_addr);
    return in;
}

inline int listenOn(Address& address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto in = socketAddress(address);
    socklen_t size = sizeof(in);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&in), size) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&in), &size);
    address.port = ntohs(in.sin_port);
    return fd;
}

// The first port from the given one on that is free on all hosts. Below the ports that the kernel gives to clients.
inline int freePort(const std::vector<std::string>& hosts, int from)
{
    for (int port = from;; ++port) {
        const bool isFree = std::all_of(hosts.begin(), hosts.end(), [port](const std::string& host) {
            Address address { host, port };
            const int fd = listenOn(address);
            if (fd >= 0)
                ::close(fd);
            return fd >= 0;
        });
        if (isFree || port > from + 500)
            return port;
    }
}

inline std::shared_ptr<Connection> connectTo(const Address& address, std::int64_t timeoutMs = 0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto in = socketAddress(address);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&in), sizeof(in)) != 0) {
        ::close(fd);
        return nullptr;
    }
    if (timeoutMs > 0) {
        const timeval time { timeoutMs / 1000, timeoutMs % 1000 * 1000 };
        ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    }
    return std::make_shared<Connection>(fd);
}

// Accepts connections and serves each on a thread.
class Server {
public:
    using Handler = std::function<void(const std::shared_ptr<Connection>&)>;

    explicit Server(const std::string& host, int port = 0)
        : m_address { host, port }
        , m_fd(listenOn(m_address))
    {
    }
    ~Server()
    {
        if (m_acceptor.joinable())
            m_acceptor.detach();
    }
    bool isListening() const { return m_fd >= 0; }
    const Address& address() const { return m_address; }
    void serve(Handler handler)
    {
        m_handler = std::move(handler);
        accept();
    }
    // Refuses new connections, or accepts them again; open ones go on.
    void setListening(bool isOn)
    {
        if (isOn == isListening())
            return;
        if (isOn) {
            m_fd = listenOn(m_address);
            accept();
            return;
        }
        ::shutdown(m_fd, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_fd);
        m_fd = -1;
    }

private:
    void accept()
    {
        if (m_acceptor.joinable())
            m_acceptor.join();
        m_acceptor = std::thread([fd = m_fd, handler = m_handler] {
            for (;;) {
                const int client = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (client < 0)
                    return;
                std::thread([connection = std::make_shared<Connection>(client), handler] {
                    handler(connection);
                }).detach();
            }
        });
    }

    Address m_address;
    int m_fd;
    Handler m_handler;
    std::thread m_acceptor;
};

inline std::string encodeBase64(const std::string& bytes)
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63U];
    }
    return text;
}

inline std::string percentDecoded(const std::string& text)
{
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            bytes += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            bytes += text[i];
        }
    }
    return bytes;
}

inline std::map<std::string, std::string> queryOf(const std::string& target)
{
    std::map<std::string, std::string> parameters;
    std::istringstream rest(target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1));
    for (std::string pair; std::getline(rest, pair, '&');) {
        const auto equals = std::min(pair.find('='), pair.size());
        parameters[pair.substr(0, equals)] = percentDecoded(pair.substr(std::min(equals + 1, pair.size())));
    }
    return parameters;
}

inline std::string response(
    int status, const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store: rows in tables, transactions and feeds.
class Store {
public:
    explicit Store(const std::string& host)
        : m_server(host)
    {
        m_server.serve([this](const auto& connection) { serve(*connection); });
    }
    bool isListening() const { return m_server.isListening(); }
    const Address& address() const { return m_server.address(); }

    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[{ table, "", key }] = { encodeBase64(value), ++m_version, false };
        m_changed.notify_all();
    }
    void remove(const std::string& table, const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        auto& row = m_rows[{ table, "", key }];
        row = { "", ++m_version, true };
        m_changed.notify_all();
    }

private:
    using Key = std::tuple<std::string, std::string, std::string>;
    struct Row {
        std::string value;
        std::uint64_t version { 0 };
        bool isRemoved { false };
    };

    json encode(const Key& key, const Row& row) const
    {
        json encoded { { "table", std::get<0>(key) }, { "part", std::get<1>(key) }, { "key", std::get<2>(key) },
            { "ver", row.version } };
        if (row.isRemoved)
            encoded["removed"] = true;
        else
            encoded["value"] = row.value;
        return encoded;
    }

    void serve(Connection& connection)
    {
        Message request;
        while (connection.read(request, false) == ReadResult::Complete) {
            pause(2);
            const auto [status, body] = answer(request);
            if (!connection.send(response(status, { { "Content-Type", "application/json" } }, body)))
                return;
            if (strcasecmp(request.header("Connection").c_str(), "close") == 0)
                return;
        }
    }

    std::pair<int, std::string> answer(const Message& request)
    {
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        auto query = queryOf(target);
        std::unique_lock lock(m_mutex);
        if (path == "/api/rows-get")
            return { 200, get(query).dump() };
        if (path == "/api/rows-feed")
            return feed(query, lock);
        if (path == "/api/rows-tx")
            return transact(json::parse(request.body));
        if (path == "/api/rows-parts")
            return { 200, finished({ { "parts", json::array({ "" }) }, { "more-pages", false } }).dump() };
        return { 404, "" };
    }

    json finished(json body) const
    {
        body["ver"] = m_version;
        body["now-ms"] = nowMs();
        return body;
    }

    json get(std::map<std::string, std::string>& query)
    {
        const std::size_t limit = std::min<std::size_t>(
            query.count("limit") ? std::strtoul(query["limit"].c_str(), nullptr, 10) : 500, 500);
        auto rows = json::array();
        bool hasMore = false;
        const Key from { query["table"], query["part"], query["from"] };
        for (auto row = m_rows.lower_bound(from); row != m_rows.end(); ++row) {
            const auto& [table, part, key] = row->first;
            if (table != query["table"] || part != query["part"]
                || (query.count("target-version") && key >= query["target-version"]))
                break;
            if (row->second.isRemoved)
                continue;
            if (rows.size() == limit) {
                hasMore = true;
                break;
            }
            rows.push_back(encode(row->first, row->second));
        }
        return finished({ { "rows", rows }, { "more-pages", hasMore } });
    }

    std::pair<int, std::string> feed(std::map<std::string, std::string>& query, std::unique_lock<std::mutex>& lock)
    {
        const auto after = std::strtoull(query["after"].c_str(), nullptr, 10);
        const Ms wait(std::strtoll(query["wait-ms"].c_str(), nullptr, 10));
        const auto changes = [&] {
            std::map<std::uint64_t, json> byVersion;
            auto rows = json::array();
            for (const auto& [key, row] : m_rows) {
                if (std::get<0>(key) == query["table"] && row.version > after)
                    rows.push_back(encode(key, row));
            }
            std::stable_sort(
                rows.begin(), rows.end(), [](const json& a, const json& b) { return a["ver"] < b["ver"]; });
            return rows;
        };
        m_changed.wait_for(lock, wait, [&] { return !changes().empty(); });
        return { 200, finished({ { "rows", changes() } }).dump() };
    }

    std::pair<int, std::string> transact(const json& body)
    {
        const auto keyOf = [](const json& entry) {
            return Key { entry.at("table").get<std::string>(), entry.value("part", std::string()),
                entry.at("key").get<std::string>() };
        };
        bool holds = true;
        auto current = json::array();
        for (const auto& expected : body.value("expected-revision", json::array())) {
            const auto found = m_rows.find(keyOf(expected));
            const bool isThere = found != m_rows.end() && !found->second.isRemoved;
            holds = holds && (isThere ? found->second.version : 0) == expected.at("ver").get<std::uint64_t>();
            if (isThere)
                current.push_back(encode(found->first, found->second));
        }
        if (!holds)
            return { 412, finished({ { "rows", current } }).dump() };
        ++m_version;
        for (const auto& row : body.value("set-keys", json::array()))
            m_rows[keyOf(row)] = { row.at("value").get<std::string>(), m_version, false };
        for (const auto& row : body.value("remove", json::array()))
            m_rows[keyOf(row)] = { "", m_version, true };
        m_changed.notify_all();
        return { 200, finished(json::object()).dump() };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::uint64_t m_version { 0 };
    Server m_server;
};

// A program of the project, started as the deploy file says.
class Child {
public:
    Child() = default;
    ~Child() { end(); }
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;

    bool start(
        const std::vector<std::string>& words, const std::vector<std::string>& environment, const std::string& logPath)
    {
        std::vector<char*> arguments;
        for (const auto& word : words)
            arguments.push_back(const_cast<char*>(word.c_str()));
        arguments.push_back(nullptr);
        std::vector<char*> variables;
        for (const auto& variable : environment)
            variables.push_back(const_cast<char*>(variable.c_str()));
        variables.push_back(nullptr);
        const auto parent = ::getpid();
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(127);
            const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::execve(arguments[0], arguments.data(), variables.data());
            ::_exit(127);
        }
        return m_pid > 0;
    }
    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    // The wait status if the process has ended.
    std::optional<int> ended()
    {
        int status = 0;
        if (!m_status && m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid)
            m_status = status;
        return m_status;
    }
    bool isRunning() { return m_pid > 0 && !ended(); }
    void end()
    {
        if (!isRunning())
            return;
        ::kill(m_pid, SIGKILL);
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        m_status = status;
    }
    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid { -1 };
    std::optional<int> m_status;
};

inline std::string describeEnd(int status)
{
    return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit code " + std::to_string(WEXITSTATUS(status));
}

// One entry VM with the settings of a small deployment (the sheet of sites/veilgate.toml).
struct EntryVm {
    std::string name;
    std::string host;
    std::string zone;
    Address front, ready;
    std::string bootPath, logPath;
    int metricsPort { 0 };
    std::shared_ptr<Child> process;

    static std::string folder()
    {
        static const std::string path = [] {
            auto text = (std::filesystem::temp_directory_path() / "lupinknot-case-XXXXXX").string();
            return std::string(::mkdtemp(text.data()));
        }();
        return path;
    }

    EntryVm(const std::string& vmName, const std::string& vmHost, const Address& store,
        const std::vector<std::string>& seedHosts, const std::string& more = "", int internalPort = 0,
        const std::string& vmZone = "hall-a")
        : name(vmName)
        , host(vmHost)
        , zone(vmZone)
        , front { vmHost, freePort({ vmHost }, 8740) }
        , ready { vmHost, freePort({ vmHost }, 18749) }
        , bootPath(folder() + "/" + vmName + ".toml")
        , logPath(folder() + "/" + vmName + ".log")
        , metricsPort(freePort({ vmHost }, 9464))
    {
        const int internal = internalPort ? internalPort : freePort({ vmHost }, 7200);
        std::string seeds;
        for (const auto& seed : seedHosts)
            seeds += (seeds.empty() ? "\"" : ",\"") + seed + ":8748\"";
        std::ofstream(bootPath)
            << "node-name = \"" << name
            << "\"\nrole = \"entry\"\nmachine-class = \"edge\"\nserves = [\"edge\"]\nip = \"" << host << "\"\nzone = \""
            << zone << "\"\nregion = \"northvale\"\ninternal-ports = [" << internal << "," << internal << "]\nseeds = ["
            << seeds
            << "]\nbootstrap = true\nloss-counts = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat-ms = "
               "1200\n"
            << "contracts = "
               "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\","
               "\"platform\"]\n"
            << "[zones]\nhall-a = \"northvale\"\nhall-b = \"northvale\"\nhall-c = \"northvale\"\n"
            << "[listen]\nfront = \"" << front.text() << "\"\nready = \"" << ready.text() << "\"\n"
            << "[limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\n"
            << "[fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
            << "[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\n"
               "drain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = 2000\ndowngrade-ms = 250\n"
               "outer-ms = 5000\nfail-closed = false\nrevoke-ms = 5000\nretry-budget-ratio = 0.8\nbudget-window-s = "
               "10\n"
               "budget-slack = 150\nrecovery-s = 12\npass-ms = 120\nagain-s = 7.1\n"
            << "[platform]\naddress = \"" << store.text()
            << "\"\nform = \"table\"\nwrites-per-s = 400\nreads-per-s = 2000\ntx-ms = 3.0\npart-writes-s = 300\n"
               "row-bytes = 65536\nacross = true\nhistory-s = 20\nblob-bytes = 8388608\nblob-ms = 25.0\nblob-mb-s = "
               "80.0\n"
            << more;
    }

    bool start()
    {
        process = std::make_shared<Child>();
        return process->start({ "target/lupinknot-entry", "--metrics-port", std::to_string(metricsPort) },
            { "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", "LUPINKNOT_BOOT=" + bootPath }, logPath);
    }

    // Starts the process again. `bootstrap` is true only when the whole system starts for the first time.
    bool startAgain()
    {
        std::ifstream in(bootPath);
        std::stringstream text;
        text << in.rdbuf();
        in.close();
        auto settings = text.str();
        const std::string first = "bootstrap = true";
        if (const auto at = settings.find(first); at != std::string::npos)
            settings.replace(at, first.size(), "bootstrap = false");
        std::ofstream(bootPath) << settings;
        return start();
    }

    bool isReady() const
    {
        const auto connection = connectTo(ready, 500);
        Message answer;
        return connection
            && connection->send("GET /api/readyz HTTP/1.1\r\nHost: " + ready.text() + "\r\nConnection: close\r\n\r\n")
            && connection->read(answer, true) == ReadResult::Complete && answer.status() == 200;
    }
    bool awaitReady(std::int64_t milliseconds) const
    {
        for (const auto until = nowMs() + milliseconds; nowMs() < until; pause(100)) {
            if (isReady())
                return true;
        }
        return false;
    }
};

// The entry of a runner in the store, written again each heartbeat.
inline json runnerEntry(const std::string& service, const Address& address, const std::string& zone, int slots)
{
    return { { "service", service }, { "address", address.text() }, { "zone", zone }, { "version", "v1" },
        { "slots", slots }, { "state", "ready" }, { "cold-left-ms", 0 }, { "sequence", 0 }, { "born", 1780000000000 } };
}

// Ends the case: all processes that it started end with it.
[[noreturn]] inline void finish(int code, const std::string& verdict, const std::vector<EntryVm*>& vms)
{
    record("verdict: " + verdict);
    std::printf("%s\n", verdict.c_str());
    std::fflush(stdout);
    for (auto* const vm : vms) {
        if (vm->process)
            vm->process->end();
    }
    if (!std::getenv("KEEP"))
        std::filesystem::remove_all(EntryVm::folder());
    std::_Exit(code);
}

} // namespace standin
