// Stand-ins for the platform's store, runners and clients, and lupinknot-entry as child processes, for the scripts of
// the second review. Everything listens on loopback addresses. One thread per connection; errors end the program with
// exit code 2 (the case could not run).
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace world {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

inline const Clock::time_point startedAt = Clock::now();
inline std::mutex recordMutex;
inline FILE* recordFile = nullptr;

inline double seconds() { return std::chrono::duration<double>(Clock::now() - startedAt).count(); }

// Writes a line to the record, with the seconds since the start.
inline void record(const char* format, ...)
{
    char text[2000];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const std::lock_guard lock(recordMutex);
    if (!recordFile)
        return;
    fprintf(recordFile, "%9.3f %s\n", seconds(), text);
    fflush(recordFile);
}

inline void pause(milliseconds time) { std::this_thread::sleep_for(time); }

// Ends the processes that are still running, at each way out.
inline std::mutex childrenMutex;
inline std::set<pid_t> children;
inline std::string temporaryFolder;

inline void cleanUp()
{
    const std::lock_guard lock(childrenMutex);
    for (const auto id : children) {
        kill(id, SIGCONT);
        kill(id, SIGKILL);
        waitpid(id, nullptr, 0);
    }
    children.clear();
    std::error_code ignored;
    if (!temporaryFolder.empty())
        std::filesystem::remove_all(temporaryFolder, ignored);
}

[[noreturn]] inline void leave(int code)
{
    record("exit %d", code);
    cleanUp();
    _exit(code);
}

[[noreturn]] inline void cannotRun(const std::string& problem)
{
    fprintf(stderr, "the case could not run: %s\n", problem.c_str());
    record("the case could not run: %s", problem.c_str());
    leave(exitNotRun);
}

inline void begin(const char* recordPath)
{
    signal(SIGPIPE, SIG_IGN);
    for (const int number : { SIGTERM, SIGINT, SIGHUP })
        signal(number, [](int) {
            cleanUp();
            _exit(exitNotRun);
        });
    recordFile = fopen(recordPath, "w");
    auto name = (std::filesystem::temp_directory_path() / "lupinknot-review-XXXXXX").string();
    if (!recordFile || !mkdtemp(name.data()))
        cannotRun("no record or no temporary folder");
    temporaryFolder = name;
    // The whole run is bounded.
    std::thread([] {
        pause(milliseconds(115'000));
        cannotRun("the time of the run is over");
    }).detach();
}

inline bool hasTrouble()
{
    const char* const value = getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

struct Address {
    std::string host;
    int port { 0 };
    std::string text() const { return host + ":" + std::to_string(port); }
};

// All of 127.0.0.0/8 is this machine. The process id keeps runs at the same time apart.
inline std::string hostNumber(int number)
{
    const int id = getpid();
    return "127." + std::to_string(1 + number) + "." + std::to_string(1 + id / 250 % 250) + "."
        + std::to_string(1 + id % 250);
}

inline sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(address.port));
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

inline int listenOn(Address& address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto name = socketAddress(address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0 || listen(fd, 1024) != 0)
        cannotRun("cannot listen on " + address.text());
    socklen_t size = sizeof(name);
    getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
    address.port = ntohs(name.sin_port);
    return fd;
}

inline int connectTo(const Address& address, milliseconds timeout)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto name = socketAddress(address);
    if (connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0) {
        pollfd wait { fd, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof(error);
        if (poll(&wait, 1, static_cast<int>(timeout.count())) != 1
            || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool sendAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
}

inline std::string lower(std::string text)
{
    for (auto& letter : text)
        letter = static_cast<char>(tolower(static_cast<unsigned char>(letter)));
    return text;
}

// A request or a response.
struct Message {
    std::string first;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isComplete { false };
    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (lower(key) == lower(name))
                return value;
        }
        return "";
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto start = first.find(' ') + 1;
        return first.substr(start, first.find(' ', start) - start);
    }
    std::string path() const { return target().substr(0, target().find('?')); }
    int status() const { return first.size() > 12 ? atoi(first.c_str() + 9) : 0; }
};

// Reads messages from a connection.
class Reader {
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }

    // Reads until bytes are there; false at the end, on an error or after the deadline.
    bool fill(std::optional<Clock::time_point> until = std::nullopt)
    {
        if (until) {
            const auto left = std::chrono::duration_cast<milliseconds>(*until - Clock::now()).count();
            pollfd wait { m_fd, POLLIN, 0 };
            if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) != 1)
                return false;
        }
        char piece[16384];
        const auto size = recv(m_fd, piece, sizeof(piece), 0);
        if (size <= 0)
            return false;
        m_buffer.append(piece, static_cast<size_t>(size));
        return true;
    }

    bool readHead(Message& message, std::optional<Clock::time_point> until = std::nullopt)
    {
        size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return false;
        }
        const auto head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        size_t start = head.find("\r\n");
        message.first = head.substr(0, start);
        for (start += 2; start < head.size();) {
            const auto lineEnd = head.find("\r\n", start);
            const auto line = head.substr(start, lineEnd - start);
            const auto colon = line.find(':');
            auto value = colon == std::string::npos ? "" : line.substr(colon + 1);
            value.erase(
                0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
            message.headers.emplace_back(line.substr(0, colon), value);
            start = lineEnd + 2;
        }
        return true;
    }

    bool readBytes(std::string& into, size_t count, std::optional<Clock::time_point> until = std::nullopt)
    {
        while (m_buffer.size() < count) {
            if (!fill(until))
                return false;
        }
        into.append(m_buffer, 0, count);
        m_buffer.erase(0, count);
        return true;
    }

    bool readLine(std::string& line, std::optional<Clock::time_point> until = std::nullopt)
    {
        size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill(until))
                return false;
        }
        line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }

    // Reads the body of the message; false when it is not whole.
    bool readBody(Message& message, std::optional<Clock::time_point> until = std::nullopt)
    {
        if (lower(message.header("Transfer-Encoding")) == "chunked") {
            for (;;) {
                std::string line;
                if (!readLine(line, until))
                    return false;
                const auto size = strtoul(line.c_str(), nullptr, 16);
                if (size == 0)
                    return readLine(line, until);
                if (!readBytes(message.body, size, until) || !readLine(line, until))
                    return false;
            }
        }
        const auto length = message.header("Content-Length");
        return length.empty() || readBytes(message.body, strtoul(length.c_str(), nullptr, 10), until);
    }

private:
    int m_fd;
    std::string m_buffer;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline const char* reason(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 404:
        return "Not Found";
    case 410:
        return "Gone";
    case 412:
        return "Precondition Failed";
    case 421:
        return "Misdirected Request";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

inline std::string responseHead(int status, const Headers& headers)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reason(status) + "\r\n";
    for (const auto& [name, value] : headers)
        head += name + ": " + value + "\r\n";
    return head + "\r\n";
}

inline std::string response(int status, Headers headers, const std::string& body)
{
    headers.emplace_back("Content-Length", std::to_string(body.size()));
    return responseHead(status, headers) + body;
}

// A server with a thread for each connection. stop() cuts all connections, as the end of its process does.
class Server {
public:
    // Returns false to close the connection.
    using Handler = std::function<bool(int fd, Reader&, Message&)>;

    Server(Address address, Handler handler)
        : m_address(std::move(address))
        , m_handler(std::move(handler))
    {
    }

    const Address& address() const { return m_address; }

    void start()
    {
        m_listener = listenOn(m_address);
        m_isRunning = true;
        std::thread([this, listener = m_listener, generation = ++m_generation] {
            for (;;) {
                const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    return;
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                {
                    const std::lock_guard lock(m_mutex);
                    if (generation != m_generation || !m_isRunning) {
                        close(fd);
                        continue;
                    }
                    m_connections.insert(fd);
                }
                std::thread([this, fd] { serve(fd); }).detach();
            }
        }).detach();
    }

    void stop()
    {
        m_isRunning = false;
        shutdown(m_listener, SHUT_RDWR);
        close(m_listener);
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_connections)
            shutdown(fd, SHUT_RDWR);
    }

private:
    void serve(int fd)
    {
        Reader reader(fd);
        for (;;) {
            Message request;
            if (!reader.readHead(request) || !m_handler(fd, reader, request))
                break;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_connections.erase(fd);
        }
        close(fd);
    }

    Address m_address;
    const Handler m_handler;
    int m_listener { -1 };
    std::atomic<bool> m_isRunning { false };
    std::atomic<int> m_generation { 0 };
    std::mutex m_mutex;
    std::set<int> m_connections;
};

inline std::string encodeBase64(const std::string& bytes)
{
    static const char* const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        const auto at
            = [&](size_t index) { return index < bytes.size() ? static_cast<unsigned char>(bytes[index]) : 0U; };
        const unsigned group = at(i) << 16U | at(i + 1) << 8U | at(i + 2);
        text += letters[group >> 18U];
        text += letters[group >> 12U & 63U];
        text += i + 1 < bytes.size() ? letters[group >> 6U & 63U] : '=';
        text += i + 2 < bytes.size() ? letters[group & 63U] : '=';
    }
    return text;
}

inline std::string decodePercent(const std::string& text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

// The platform's store: tables with versions, reads, long polls and transactions under conditions. Values are kept in
// base64.
class Store {
public:
    explicit Store(Address address)
        : m_server(std::move(address),
            [this](int fd, Reader& reader, Message& request) { return handle(fd, reader, request); })
    {
    }

    void start() { m_server.start(); }
    const Address& address() const { return m_server.address(); }

    // How long the store takes for an answer to a call; by default 4 ms.
    std::function<milliseconds(const Message&)> answerTime;

    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        auto& row = m_tables[table][key];
        row = { encodeBase64(value), ++m_version, false };
        m_changed.notify_all();
    }

    void remove(const std::string& table, const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_tables[table].find(key);
        if (found == m_tables[table].end() || found->second.isRemoved)
            return;
        found->second = { "", ++m_version, true };
        m_changed.notify_all();
    }

    // Watches hear nothing for the time; then the history is dropped and they are cut.
    void forgetHistory(milliseconds silence)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isSilent = true;
        }
        pause(silence);
        const std::lock_guard lock(m_mutex);
        m_isSilent = false;
        m_historyFrom = m_version;
        ++m_cuts;
        m_changed.notify_all();
    }

    // The keys that a read of the table gives, in its order.
    std::vector<std::string> keys(const std::string& table)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> present;
        for (const auto& [key, row] : m_tables[table]) {
            if (!row.isRemoved)
                present.push_back(key);
        }
        return present;
    }

private:
    struct Row {
        std::string value;
        uint64_t version { 0 };
        bool isRemoved { false };
    };

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const auto query = target.find('?');
        std::string rest = query == std::string::npos ? "" : target.substr(query + 1);
        while (!rest.empty()) {
            const auto end = std::min(rest.find('&'), rest.size());
            const auto pair = rest.substr(0, end);
            rest.erase(0, std::min(end + 1, rest.size()));
            const auto equals = pair.find('=');
            if (pair.substr(0, equals) == name)
                return equals == std::string::npos ? "" : decodePercent(pair.substr(equals + 1));
        }
        return "";
    }

    json nowAnd(json body) const
    {
        body["ver"] = m_version;
        body["now-ms"] = static_cast<int64_t>(1000 * seconds());
        return body;
    }

    static json encoded(const std::string& table, const std::string& key, const Row& row)
    {
        json out { { "table", table }, { "part", "" }, { "key", key }, { "ver", row.version } };
        if (row.isRemoved)
            out["removed"] = true;
        else
            out["value"] = row.value;
        return out;
    }

    bool handle(int fd, Reader& reader, Message& request)
    {
        if (!reader.readBody(request))
            return false;
        pause(answerTime ? answerTime(request) : milliseconds(4));
        int status = 404;
        json body = json::object();
        const auto path = request.path();
        if (path == "/api/rows-get")
            body = get(request.target()), status = 200;
        else if (path == "/api/rows-feed")
            body = feed(request.target(), status);
        else if (path == "/api/rows-tx")
            body = transact(request.body, status);
        return status != 0
            && sendAll(
                fd, response(status, { { "Content-Type", "application/json" }, { "Store-Era", "1" } }, body.dump()));
    }

    json get(const std::string& target)
    {
        const std::lock_guard lock(m_mutex);
        const auto table = parameter(target, "table");
        const auto from = parameter(target, "from");
        const auto end = parameter(target, "target-version");
        const auto limitText = parameter(target, "limit");
        const size_t limit = limitText.empty() ? 500 : std::min<size_t>(500, strtoul(limitText.c_str(), nullptr, 10));
        auto rows = json::array();
        bool hasMore = false;
        for (auto row = m_tables[table].lower_bound(from); row != m_tables[table].end(); ++row) {
            if (!end.empty() && row->first >= end)
                break;
            if (row->second.isRemoved)
                continue;
            hasMore = rows.size() == limit;
            if (hasMore)
                break;
            rows.push_back(encoded(table, row->first, row->second));
        }
        return nowAnd({ { "rows", rows }, { "more-pages", hasMore } });
    }

    // Sets the status to 0 for a watch that is cut.
    json feed(const std::string& target, int& status)
    {
        std::unique_lock lock(m_mutex);
        const auto table = parameter(target, "table");
        const auto after = strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const auto until = Clock::now() + milliseconds(strtoull(parameter(target, "wait-ms").c_str(), nullptr, 10));
        const auto hasChange = [&] {
            return std::any_of(m_tables[table].begin(), m_tables[table].end(),
                [after](const auto& entry) { return entry.second.version > after; });
        };
        status = 410;
        if (after < m_historyFrom || after > m_version)
            return nowAnd(json::object());
        const auto cuts = m_cuts;
        // A watch that hears nothing is held until it is cut; a call that does not wait is answered.
        const bool isWatch = parameter(target, "wait-ms") != "0";
        while (isWatch && (m_isSilent || (!hasChange() && Clock::now() < until))) {
            if (m_isSilent)
                m_changed.wait(lock);
            else
                m_changed.wait_until(lock, until);
            status = 0;
            if (m_cuts != cuts)
                return json::object();
        }
        status = 200;
        std::map<uint64_t, std::vector<json>> ordered;
        for (const auto& [key, row] : m_tables[table]) {
            if (row.version > after)
                ordered[row.version].push_back(encoded(table, key, row));
        }
        auto rows = json::array();
        for (auto& [version, changes] : ordered) {
            for (auto& change : changes)
                rows.push_back(std::move(change));
        }
        return nowAnd({ { "rows", rows } });
    }

    json transact(const std::string& text, int& status)
    {
        const std::lock_guard lock(m_mutex);
        const auto body = json::parse(text, nullptr, false);
        status = 200;
        if (!body.is_object()) {
            status = 400;
            return json::object();
        }
        auto current = json::array();
        bool isAsExpected = true;
        for (const auto& expected : body.value("expected-revision", json::array())) {
            const auto table = expected.at("table").get<std::string>();
            const auto key = expected.at("key").get<std::string>();
            const auto found = m_tables[table].find(key);
            const bool isThere = found != m_tables[table].end() && !found->second.isRemoved;
            isAsExpected = isAsExpected && (isThere ? found->second.version : 0) == expected.at("ver").get<uint64_t>();
            if (isThere)
                current.push_back(encoded(table, key, found->second));
        }
        if (!isAsExpected) {
            status = 412;
            return nowAnd({ { "rows", current } });
        }
        const auto version = ++m_version;
        for (const auto& row : body.value("set-keys", json::array()))
            m_tables[row.at("table").get<std::string>()][row.at("key").get<std::string>()]
                = { row.at("value").get<std::string>(), version, false };
        for (const auto& row : body.value("remove", json::array())) {
            const auto found = m_tables[row.at("table").get<std::string>()].find(row.at("key").get<std::string>());
            if (found != m_tables[row.at("table").get<std::string>()].end())
                found->second = { "", version, true };
        }
        m_changed.notify_all();
        return nowAnd(json::object());
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    uint64_t m_version { 10 };
    // Changes up to this version are forgotten.
    uint64_t m_historyFrom { 0 };
    bool m_isSilent { false };
    int m_cuts { 0 };
    std::map<std::string, std::map<std::string, Row>> m_tables;
    Server m_server;
};

// A runner. It writes its entry once it has started; the entry changes when more than `sequence` does, and goes three
// heartbeats after the last write of a runner that crashed.
class Runner {
public:
    static constexpr milliseconds heartbeat { 1200 };

    Runner(Store& store, Address address, std::string service, std::string zone)
        : m_store(store)
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_server(std::move(address),
              [this](int fd, Reader& reader, Message& request) { return handle(fd, reader, request); })
    {
    }

    const Address& address() const { return m_server.address(); }
    std::string id() const
    {
        const std::lock_guard lock(m_mutex);
        return m_id;
    }

    // Serves under the id and writes the entry.
    void start(const std::string& id)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_id = id;
            ++m_process;
        }
        m_born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        m_server.start();
        m_store.put("servers", id, entry("ready").dump());
        record("runner %s of %s starts at %s", id.c_str(), m_service.c_str(), address().text().c_str());
    }

    json entry(const std::string& state) const
    {
        return { { "service", m_service }, { "address", address().text() }, { "zone", m_zone }, { "version", version },
            { "slots", 6 }, { "state", state }, { "cold-left-ms", 0 }, { "sequence", 1 }, { "born", m_born } };
    }

    // It has drained: its entry goes, and the process ends.
    void leave()
    {
        m_store.remove("servers", id());
        m_server.stop();
        record("runner %s has left", id().c_str());
    }

    // The process ends. Its last heartbeat was half a heartbeat ago, so that its entry goes two and a half later.
    void crash()
    {
        m_server.stop();
        const auto old = id();
        record("runner %s crashes", old.c_str());
        std::thread([this, old, process = m_process.load()] {
            pause(heartbeat * 5 / 2);
            // It has started again under the same id.
            if (process != m_process && old == id())
                return;
            m_store.remove("servers", old);
            record("the entry of %s lapses", old.c_str());
        }).detach();
    }

    // The version of its software.
    std::string version { "v1" };
    // When it answers again: it is silent until then.
    std::function<Clock::time_point()> answersAt;
    // Answers calls of its interface other than the health check and the report.
    std::function<bool(int fd, const Message&)> calls;
    // How a request is answered once it has been read and is for this runner; returns false to close the connection.
    std::function<bool(Runner&, int fd, const Message&)> work;

    Headers answerHeaders(const Message& request) const
    {
        return { { "X-Request-Id", request.header("X-Request-Id") }, { "X-Response-Signature", id() + ".sig" } };
    }

    // Requests that it has begun to run, by id.
    std::map<std::string, int> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    bool handle(int fd, Reader& reader, Message& request)
    {
        if (!reader.readBody(request))
            return false;
        if (answersAt)
            std::this_thread::sleep_until(answersAt());
        const auto own = id();
        const auto requestId = request.header("X-Request-Id");
        if (request.path() == "/healthz")
            return sendAll(fd, response(200, { { "X-Instance-Id", own } }, ""));
        if (request.path() == "/api/report")
            return sendAll(fd,
                response(200, { { "Content-Type", "application/json" } },
                    json { { "stage", "hybrid" }, { "models", json::array() }, { "busy", false }, { "sequence", 1 },
                        { "waiting", 0 }, { "running", 0 }, { "kv-used", 0 }, { "kv-total", 55000 }, { "handles", 0 },
                        { "runs", json::array() } }
                        .dump()));
        if (request.path().rfind("/api/", 0) == 0)
            return calls ? calls(fd, request) : sendAll(fd, response(404, {}, ""));
        const auto expected = request.header("X-Expect-Instance");
        if (!expected.empty() && expected != own) {
            record("runner %s turns %s away, which expects %s", own.c_str(), requestId.c_str(), expected.c_str());
            return sendAll(fd,
                response(
                    421, { { "X-Request-Id", requestId }, { "X-Not-Executed", "1" }, { "X-Instance-Id", own } }, ""));
        }
        {
            const std::lock_guard lock(m_mutex);
            ++m_runs[requestId];
        }
        if (work)
            return work(*this, fd, request);
        pause(milliseconds(15));
        return sendAll(fd, response(200, answerHeaders(request), "answer to " + requestId));
    }

    Store& m_store;
    const std::string m_service;
    const std::string m_zone;
    mutable std::mutex m_mutex;
    std::string m_id;
    std::atomic<int> m_process { 0 };
    int64_t m_born { 0 };
    std::map<std::string, int> m_runs;
    Server m_server;
};

// lupinknot-entry on a machine of its own: an address of its own, and a settings file like that of DEPLOY.md.
class Entry {
public:
    Entry(int number, std::string zone, Address store, std::vector<std::string> seedHosts)
        : m_name("edge-" + zone + "-" + std::to_string(number))
        , m_host(hostNumber(number))
        , m_zone(std::move(zone))
        , m_store(std::move(store))
        , m_seedHosts(std::move(seedHosts))
    {
    }
    ~Entry() = default;

    Address front() const { return { m_host, 8740 }; }
    Address ready() const { return { m_host, 8749 }; }
    const std::string& name() const { return m_name; }
    int memoryMegabytes { 260 };
    // The bounds of the grown sheet instead of the small one's.
    bool isOfLargerFleet { false };
    // Standard output and standard error of the process.
    std::string logPath() const { return temporaryFolder + "/" + m_name + "/log"; }

    void start(bool isFirst)
    {
        const auto folder = temporaryFolder + "/" + m_name;
        std::filesystem::create_directories(folder);
        const auto settings = folder + "/boot.toml";
        {
            std::ofstream file(settings);
            file << "node-name = \"" << m_name
                 << "\"\nrole = \"entry\"\nmachine-class = \"edge\"\nserves = [\"edge\"]\n"
                 << "ip = \"" << m_host << "\"\nzone = \"" << m_zone << "\"\nregion = \"northvale\"\n"
                 << "internal-ports = [7200,7215]\nseeds = [";
            for (size_t i = 0; i < m_seedHosts.size(); ++i)
                file << (i ? "," : "") << "\"" << m_seedHosts[i] << ":8748\"";
            file << "]\nbootstrap = " << (isFirst ? "true" : "false")
                 << "\nloss-counts = false\ndiscovery = \"platform\"\n"
                 << "entry = \"vip\"\nheartbeat-ms = 1200\n"
                 << "contracts = "
                    "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\","
                    "\"platform\"]\n"
                 << "[zones]\nhall-a = \"northvale\"\nhall-b = \"northvale\"\n[listen]\nfront = \"" << front().text()
                 << "\"\nready = \"" << ready().text() << "\"\ncontrol = \"" << m_host << ":8748\"\n"
                 << "[limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = " << memoryMegabytes
                 << "\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n"
                 << "[fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
                 << (isOfLargerFleet ? "[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 4000\nack-ms = "
                                       "6000\ncatch-up-s = 6\n"
                                       "drain-ms = 3000\ngrace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = "
                                       "3000\ndowngrade-ms = 250\n"
                                       "outer-ms = 6000\n"
                                     : "[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\nack-ms = "
                                       "4000\ncatch-up-s = 4\n"
                                       "drain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = "
                                       "2000\ndowngrade-ms = 250\n"
                                       "outer-ms = 5000\n")
                 << "fail-closed = false\nrevoke-ms = 5000\nretry-budget-ratio = 0.8\nbudget-window-s = 10\n"
                 << "budget-slack = 150\nrecovery-s = 12\npass-ms = 120\nagain-s = 7.1\n"
                 << "[platform]\naddress = \"" << m_store.text() << "\"\nform = \"table\"\nwrites-per-s = 400\n"
                 << "reads-per-s = 2000\ntx-ms = 3.0\npart-writes-s = 300\nrow-bytes = 65536\nacross = true\nhistory-s "
                    "= 20\n"
                 << "blob-bytes = 8388608\nblob-ms = 25.0\nblob-mb-s = 80.0\n";
        }
        const std::lock_guard lock(childrenMutex);
        m_process = fork();
        if (m_process == 0) {
            const int log = open((folder + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            setenv("LUPINKNOT_BOOT", settings.c_str(), 1);
            execl("target/lupinknot-entry", "target/lupinknot-entry", "--metrics-port", "9464", nullptr);
            _exit(127);
        }
        children.insert(m_process);
        record("%s starts at %s", m_name.c_str(), front().text().c_str());
    }

    void signalProcess(int number, const char* what) const
    {
        record("%s: %s", m_name.c_str(), what);
        kill(m_process, number);
    }

    void killNow()
    {
        signalProcess(SIGKILL, "killed");
        const std::lock_guard lock(childrenMutex);
        waitpid(m_process, nullptr, 0);
        children.erase(m_process);
    }

    // Nothing while it runs, else how it ended.
    std::optional<int> ended()
    {
        const std::lock_guard lock(childrenMutex);
        int status = 0;
        if (!children.count(m_process) || waitpid(m_process, &status, WNOHANG) != m_process)
            return std::nullopt;
        children.erase(m_process);
        return status;
    }

    pid_t process() const { return m_process; }

    // The resident memory in kB: now, and the most so far.
    long memory(const char* field = "VmRSS:") const
    {
        std::ifstream file("/proc/" + std::to_string(m_process) + "/status");
        std::string word;
        while (file >> word) {
            if (word == field) {
                long number = 0;
                file >> number;
                return number;
            }
        }
        return 0;
    }

    void keepLog() const
    {
        const char* const path = getenv("KEEP_LOG");
        std::error_code ignored;
        if (path)
            std::filesystem::copy_file(temporaryFolder + "/" + m_name + "/log", std::string(path) + "-" + m_name,
                std::filesystem::copy_options::overwrite_existing, ignored);
    }

private:
    const std::string m_name;
    const std::string m_host;
    const std::string m_zone;
    const Address m_store;
    const std::vector<std::string> m_seedHosts;
    pid_t m_process { -1 };
};

// A client's attempt: sends the request on a new connection or on the one given, and reads the whole answer.
struct Answer {
    // 0 without a connection or without a whole answer.
    int status { 0 };
    Message message;
    std::string problem;
};

class Connection {
public:
    Connection(Address address, milliseconds connectTimeout = milliseconds(1000))
        : m_fd(connectTo(address, connectTimeout))
        , m_reader(m_fd)
    {
    }
    ~Connection()
    {
        if (m_fd >= 0)
            close(m_fd);
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool isOpen() const { return m_fd >= 0; }
    int fd() const { return m_fd; }
    Reader& reader() { return m_reader; }
    bool send(const std::string& bytes) { return m_fd >= 0 && sendAll(m_fd, bytes); }

    Answer ask(const std::string& request, milliseconds timeout)
    {
        Answer answer;
        const auto until = Clock::now() + timeout;
        if (!send(request)) {
            answer.problem = "not connected";
            return answer;
        }
        if (!m_reader.readHead(answer.message, until))
            answer.problem = "no answer";
        else if (!m_reader.readBody(answer.message, until))
            answer.problem = "cut answer";
        else
            answer.status = answer.message.status();
        return answer;
    }

private:
    const int m_fd;
    Reader m_reader;
};

inline std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device {}());
    const std::lock_guard lock(mutex);
    char text[17];
    snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

inline std::string requestText(const std::string& method, const std::string& path, const std::string& host,
    const std::string& id, const Headers& more, const std::string& body = "")
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id + "\r\n";
    for (const auto& [name, value] : more)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

// Waits until the machine says that it is ready.
inline bool awaitReady(Entry& entry, milliseconds most = milliseconds(10'000))
{
    const auto until = Clock::now() + most;
    while (Clock::now() < until) {
        Connection connection(entry.ready(), milliseconds(200));
        if (connection.ask("GET /api/readyz HTTP/1.1\r\nHost: " + entry.ready().text() + "\r\n\r\n", milliseconds(1000))
                .status
            == 200) {
            record("%s is ready", entry.name().c_str());
            return true;
        }
        pause(milliseconds(20));
    }
    return false;
}

} // namespace world
