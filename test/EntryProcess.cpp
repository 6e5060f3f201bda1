#include "EntryProcess.h"

#include "RunUntil.h"
#include "http/HttpExchange.h"
#include "http/HttpRoundTrip.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <climits>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

namespace lupinknot::platform {

using namespace lupinknot::internal;

namespace {

constexpr unsigned okStatus = 200;
constexpr Milliseconds answerTimeout { 15000 };
// A start takes well below a second; each try waits for an answer.
constexpr int startTries = 400;
constexpr Milliseconds startPause { 25 };
constexpr std::int64_t frontPort = 7000;
const std::string commentLine = "#" + std::string(78, '-') + "\n";
// The state of a listening socket in /proc/net/tcp.
constexpr std::string_view listening = "0A";

// All of 127.0.0.0/8 is this machine. The process id keeps concurrent runs apart, the number the tests of one run.
std::string ownHost()
{
    constexpr int numbers = 250;
    static int count = 0;
    const auto id = ::getpid();
    return "127." + std::to_string(2 + count++ % 100) + "." + std::to_string(id / numbers % numbers + 1) + "."
        + std::to_string(id % numbers + 1);
}

std::filesystem::path binaryFolder() { return std::filesystem::read_symlink("/proc/self/exe").parent_path(); }

std::string newFolder()
{
    auto name = (std::filesystem::temp_directory_path() / "lupinknot-entry-XXXXXX").string();
    return ::mkdtemp(name.data()) ? name : "";
}

std::string readFile(const std::string& path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

EntryProcess::EntryProcess(boost::asio::io_context& ioContext, EntryProcessSettings settings)
    : m_ioContext(ioContext)
    , m_settings(settings)
    , m_host(ownHost())
    , m_folder(newFolder())
    , m_front { m_host, frontPort }
    , m_ready { m_host, frontPort + 1 }
    , m_metrics { m_host, frontPort + 2 }
    , m_peers { m_host, frontPort + 3 }
    , m_store(ioContext, m_host, 0)
    , m_endpoint(ioContext, { .address = m_host },
          [this](const std::shared_ptr<HttpExchange>& exchange) { serveAsEndpoint(exchange); })
{
}

EntryProcess::~EntryProcess()
{
    m_process.reset();
    if (m_logReader >= 0)
        ::close(m_logReader);
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

std::optional<std::string> EntryProcess::launch()
{
    if (auto problem = m_store.start())
        return problem;
    if (auto problem = m_endpoint.start())
        return problem;
    writeConfiguration();
    writeSettings();
    const std::vector<std::string> command { (binaryFolder() / "lupinknot-entry").string(), "--settings",
        m_folder + "/vm.toml", "--metrics-port", std::to_string(m_metrics.port) };
    const auto logPath = m_folder + "/vm.log";
    if (m_settings.isLogUnread) {
        // The process opens the other end when it starts, which waits for a reader.
        if (::mkfifo(logPath.c_str(), S_IRUSR | S_IWUSR) != 0)
            return "the pipe for the log could not be created";
        m_logReader = ::open(logPath.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
    }
    m_process = std::make_unique<soak::ChildProcess>(command, logPath);
    if (!m_process->start())
        return "lupinknot-entry could not be started; is it built?";
    if (m_settings.maxDescriptors) {
        const rlimit limit { *m_settings.maxDescriptors, *m_settings.maxDescriptors };
        if (::prlimit(m_process->id(), RLIMIT_NOFILE, &limit, nullptr) != 0)
            return "the limit of descriptors could not be set";
    }
    return std::nullopt;
}

std::optional<std::string> EntryProcess::start()
{
    if (auto problem = launch())
        return problem;
    for (int i = 0; i < startTries && isRunning(); ++i) {
        const auto answer = ask(m_ready, { "GET", "/", { { "Host", "h" } }, "" });
        if (answer && answer->status == okStatus)
            return std::nullopt;
        boost::asio::steady_timer pause(m_ioContext, startPause);
        bool isOver = false;
        pause.async_wait([&isOver](boost::system::error_code) { isOver = true; });
        runUntil(m_ioContext, [&isOver] { return isOver; });
    }
    return "lupinknot-entry did not become ready: " + log();
}

bool EntryProcess::isReadingSettings() const
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_process->id()) + "/fd", error);
    if (error)
        return false;
    return std::any_of(begin(entries), end(entries), [this](const std::filesystem::directory_entry& entry) {
        std::error_code gone;
        return std::filesystem::read_symlink(entry.path(), gone) == m_folder + "/vm.toml";
    });
}

void EntryProcess::fillLog() const
{
    const auto writer = ::open((m_folder + "/vm.log").c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    const std::string text(PIPE_BUF, 'x');
    for (const auto size : { text.size(), std::size_t { 1 } }) {
        while (::write(writer, text.data(), size) > 0) { }
    }
    ::close(writer);
}

unsigned EntryProcess::answerTo(const std::string& target, const std::string& body)
{
    const HttpHeaders headers { { "Host", "h" }, { "X-Request-Id", "ordinary-" + std::to_string(++m_lastRequest) },
        { "X-Deadline-Ms", "10000" }, { "Connection", "close" } };
    const auto answer = ask(m_front, { "POST", target, headers, body });
    return answer ? answer->status : 0;
}

std::string EntryProcess::requestHead(const std::string& target)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd-" + std::to_string(++m_lastRequest)
        + "\r\nX-Deadline-Ms: 10000\r\n";
}

void EntryProcess::signal(int number)
{
    if (m_process)
        m_process->signal(number);
}

void EntryProcess::requestStop() { signal(SIGTERM); }

bool EntryProcess::isListening()
{
    boost::asio::ip::tcp::socket socket(m_ioContext);
    boost::system::error_code error;
    socket.connect({ boost::asio::ip::make_address(m_front.host), static_cast<unsigned short>(m_front.port) }, error);
    return !error;
}

std::size_t EntryProcess::openDescriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_process->id()) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::size_t EntryProcess::unreadBytes() const
{
    // Each line has a number, the local and the remote address, the state, and the bytes in the queues as
    // SENT:RECEIVED.
    char local[32];
    std::snprintf(local, sizeof(local), "%08X:%04X", ::inet_addr(m_host.c_str()), static_cast<unsigned>(m_front.port));
    std::ifstream connections("/proc/net/tcp");
    std::size_t total = 0;
    for (std::string line; std::getline(connections, line);) {
        std::istringstream words(line);
        std::string number;
        std::string from;
        std::string to;
        std::string state;
        std::string queues;
        if (words >> number >> from >> to >> state >> queues && from == local && state != listening)
            total += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
    }
    return total;
}

bool EntryProcess::isReady()
{
    const auto answer = ask(m_ready, { "GET", "/", { { "Host", "h" }, { "Connection", "close" } }, "" });
    return answer && answer->status == okStatus;
}

std::string EntryProcess::metrics()
{
    const auto answer = ask(m_metrics, { "GET", "/metrics", { { "Host", "h" }, { "Connection", "close" } }, "" });
    return answer ? answer->body : "";
}

std::string EntryProcess::log() const
{
    return m_settings.isLogUnread ? "(the log is not read)" : readFile(m_folder + "/vm.log");
}

void EntryProcess::writeConfiguration()
{
    const nlohmann::json route { { "name", "calls" }, { "host", "h" }, { "path-prefix", "/calls/" },
        { "kind", "non_idempotent" }, { "service", "plain" }, { "timeout-ms", 20000 }, { "slo-ms", 4500 },
        { "gap-aim-ms", 700 }, { "max-attempts", 2 }, { "resumable", false } };
    const nlohmann::json configuration { { "version", 1 }, { "routes", nlohmann::json::array({ route }) },
        { "services", nlohmann::json::array({ { { "name", "plain" }, { "max-conns", 100 } } }) },
        { "limits",
            { { "max-header-bytes", m_settings.maxHeaderBytes }, { "max-body-bytes", m_settings.maxBodyBytes },
                { "header-timeout-ms", 10000 }, { "idle-timeout-ms", m_settings.idleTimeoutMilliseconds } } } };
    m_store.put("op", "config", configuration.dump());
    const nlohmann::json entry { { "service", "plain" },
        { "address", SocketAddress { m_host, m_endpoint.port() }.text() }, { "zone", "zone-0" }, { "version", "" },
        { "slots", 64 }, { "state", "ready" }, { "cold-left-ms", 0 }, { "sequence", 1 } };
    m_store.put("servers", "e1", entry.dump());
}

void EntryProcess::writeSettings() const
{
    std::ofstream file(m_folder + "/vm.toml");
    for (std::size_t size = 0; size < m_settings.settingsComment; size += commentLine.size())
        file << commentLine;
    file << "node-name = \"vm0\"\nzone = \"zone-0\"\ninternal-ports = [" << m_peers.port << "]\n[listen]\nfront = \""
         << m_front.text() << "\"\nready = \"" << m_ready.text()
         << "\"\n[bounds]\ncontact-ms = 3000\nconfig-apply-ms = 2000\ndrain-ms = "
            "2500\ngrace-s = 8\n[limits]\nmemory-mb = "
         << m_settings.memoryMegabytes << "\n[platform]\naddress = \""
         << SocketAddress { m_host, m_store.port() }.text() << "\"\n";
}

void EntryProcess::serveAsEndpoint(const std::shared_ptr<HttpExchange>& exchange)
{
    ++m_endpointRequests;
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_ioContext, callTime);
    timer->async_wait([this, timer, exchange](boost::system::error_code) {
        const std::string id(exchange->request().headers.find("X-Request-Id").value_or(""));
        exchange->respond(
            { okStatus, { { "X-Request-Id", id }, { "X-Response-Signature", "e1" } }, std::string(answerBytes, 'a') });
    });
}

std::size_t EntryProcess::memoryOf(const std::string& field) const
{
    std::ifstream status("/proc/" + std::to_string(m_process->id()) + "/status");
    std::string word;
    while (status >> word) {
        std::size_t kilobytes = 0;
        if (word == field && status >> kilobytes)
            return kilobytes * kibibyte;
    }
    return 0;
}

std::optional<HttpResponse> EntryProcess::ask(const SocketAddress& address, const HttpRequest& request)
{
    bool isOver = false;
    std::optional<HttpResponse> answer;
    const auto roundTrip = HttpRoundTrip::ask(m_ioContext, ClientConnection::open(m_ioContext, address, {}), request,
        answerTimeout, [&](const HttpRoundTripResult& outcome) {
            isOver = true;
            if (outcome.answer)
                answer = *outcome.answer;
        });
    runUntil(m_ioContext, [&isOver] { return isOver; });
    return answer;
}

} // namespace lupinknot::platform
