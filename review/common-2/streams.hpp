// Streams: how a runner serves them, and a client that reads one and takes it up again when it breaks off.
#pragma once

#include "world.hpp"

namespace world {

struct StreamSettings {
    int events { 150 };
    milliseconds prefill { 100 };
    milliseconds interval { 40 };
};

// The runs of one engine. It takes no copies of other engines' runs (no room), and stops a run when it is asked to.
class Engine {
public:
    Engine(Store& store, const Address& address, const std::string& zone, StreamSettings settings)
        : m_runner(store, address, "quill", zone)
        , m_settings(settings)
    {
        m_runner.calls = [this](int fd, const Message& request) { return answerCall(fd, request); };
        m_runner.work = [this](Runner&, int fd, const Message& request) { return run(fd, request); };
    }

    Runner& runner() { return m_runner; }
    int runCount()
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<int>(m_open.size());
    }

    // A new process: it holds and knows nothing of before.
    void start(const std::string& id, const std::string& version)
    {
        {
            const std::lock_guard lock(m_mutex);
            ++m_process;
            m_open.clear();
            m_handles.clear();
        }
        m_runner.version = version;
        m_runner.start(id);
    }

private:
    bool answerCall(int fd, const Message& request)
    {
        if (request.path() == "/api/kv-move") {
            const auto body = json::parse(request.body, nullptr, false);
            const auto id = body.is_object() ? body.value("id", std::string()) : std::string();
            const bool stops = body.is_object() && body.contains("last");
            std::string handle;
            bool isKnown = false;
            {
                const std::lock_guard lock(m_mutex);
                const auto open = m_open.find(id);
                isKnown = open != m_open.end();
                if (isKnown && stops) {
                    *open->second = true;
                    handle = "h" + newId();
                    m_handles.insert(handle);
                }
            }
            record("%s: kv-move of %s%s: %s", m_runner.id().c_str(), id.c_str(), stops ? " with last" : "",
                isKnown ? stops ? "stopped" : "no room" : "no such run");
            const auto text
                = handle.empty() ? std::string("{}") : json { { "handle", handle }, { "create-rev", 0 } }.dump();
            return sendAll(fd, response(isKnown ? 503 : 404, { { "Content-Type", "application/json" } }, text));
        }
        return sendAll(fd, response(request.method() == "DELETE" ? 200 : 404, {}, ""));
    }

    bool run(int fd, const Message& request)
    {
        const auto id = request.header("X-Request-Id");
        const auto from = request.header("Kv-From");
        const auto own = m_runner.id();
        const auto version = m_runner.version;
        const auto isStopped = std::make_shared<std::atomic<bool>>(false);
        int process = 0;
        {
            const std::lock_guard lock(m_mutex);
            const bool isHeld = from.empty() || m_handles.erase(from.substr(from.rfind('/') + 1)) > 0;
            if (!isHeld)
                return sendAll(fd, response(503, { { "X-Request-Id", id }, { "X-Not-Executed", "1" } }, ""));
            process = m_process;
            m_open[id] = isStopped;
        }
        const int last = atoi(request.header("Last-Event-Id").c_str());
        record("runner %s (%s) runs %s after event %d", own.c_str(), version.c_str(), id.c_str(), last);
        pause(m_settings.prefill);
        auto headers = m_runner.answerHeaders(request);
        headers.emplace_back("Content-Type", "text/event-stream");
        headers.emplace_back("Transfer-Encoding", "chunked");
        bool isOpen = sendAll(fd, responseHead(200, headers));
        for (int number = last + 1; isOpen && !*isStopped && number <= m_settings.events; ++number) {
            const auto event = "id: " + std::to_string(number) + "\ndata: " + version + " " + own + "\n\n";
            char size[20];
            snprintf(size, sizeof(size), "%zx\r\n", event.size());
            isOpen = sendAll(fd, size + event + "\r\n");
            pause(m_settings.interval);
            pollfd peer { fd, POLLIN, 0 };
            char byte = 0;
            if (poll(&peer, 1, 0) == 1 && recv(fd, &byte, 1, MSG_PEEK) <= 0)
                isOpen = false;
        }
        const bool isWhole = isOpen && !*isStopped && sendAll(fd, "0\r\n\r\n");
        record("runner %s ends its run of %s%s", own.c_str(), id.c_str(), isWhole ? "" : ", not whole");
        const std::lock_guard lock(m_mutex);
        if (process == m_process)
            m_open.erase(id);
        return isWhole;
    }

    Runner m_runner;
    const StreamSettings m_settings;
    std::mutex m_mutex;
    int m_process { 0 };
    std::map<std::string, std::shared_ptr<std::atomic<bool>>> m_open;
    std::set<std::string> m_handles;
};

// What a client has seen of one stream, over all its attempts.
struct StreamSeen {
    std::string firstAttempt;
    int lastEvent { 0 };
    bool isWhole { false };
    bool isInOrder { true };
    int attempts { 0 };
    std::vector<std::pair<int, std::string>> versions;
};

// Reads events until the answer ends or breaks off. Returns the status, 0 without one.
inline int readStream(Connection& connection, const std::string& id, StreamSeen& seen, Clock::time_point until)
{
    Message head;
    auto& reader = connection.reader();
    if (!reader.readHead(head, until))
        return 0;
    if (head.status() != 200) {
        reader.readBody(head, until);
        record("client: %s is answered %d %s", id.c_str(), head.status(), head.body.substr(0, 120).c_str());
        return head.status();
    }
    std::string pending;
    for (;;) {
        std::string line;
        if (!reader.readLine(line, until))
            return 200;
        const auto size = strtoul(line.c_str(), nullptr, 16);
        if (size == 0) {
            seen.isWhole = reader.readLine(line, until);
            return 200;
        }
        if (!reader.readBytes(pending, size, until) || !reader.readLine(line, until))
            return 200;
        for (size_t end = 0; (end = pending.find("\n\n")) != std::string::npos; pending.erase(0, end + 2)) {
            const auto event = pending.substr(0, end);
            const auto idAt = event.find("id: ");
            const auto dataAt = event.find("data: ");
            if (idAt == std::string::npos || dataAt == std::string::npos)
                continue;
            const int number = atoi(event.c_str() + idAt + 4);
            seen.isInOrder = seen.isInOrder && number == seen.lastEvent + 1;
            seen.lastEvent = number;
            const auto data = event.substr(dataAt + 6);
            const auto version = data.substr(0, data.find(' '));
            if (seen.versions.empty() || seen.versions.back().second != version)
                seen.versions.emplace_back(number, version);
        }
    }
}

inline json quillConfiguration(int version)
{
    return { { "version", version },
        { "routes",
            json::array({ { { "name", "r-story" }, { "host", "gallery.example" }, { "path-prefix", "/story/" },
                { "kind", "streaming" }, { "timeout-ms", 25000 }, { "slo-ms", 4500 }, { "priority", 1 },
                { "service", "quill" }, { "max-attempts", 5 }, { "public", false }, { "sticky", true },
                { "resumable", true }, { "gap-aim-ms", 700 } } }) },
        { "services",
            json::array({ { { "name", "quill" }, { "health-path", "/healthz" }, { "max-conns", 360 },
                { "protocol", "h1" }, { "tls", false },
                { "engine",
                    { { "slots", 64 }, { "kv-capacity", 55000 }, { "kv-token-bytes", 327680 },
                        { "link-mbps", 260000.0 }, { "moves", true }, { "backups", true }, { "stride", 5 },
                        { "most", 12 }, { "pin-ms", 4000.0 }, { "hold-ms", 2000.0 }, { "handle-s", 4.0 },
                        { "models", json::array({ { { "name", "m" } } }) } } } } }) },
        { "limits",
            { { "max-header-bytes", 16384 }, { "max-body-bytes", 4194304 }, { "header-timeout-ms", 3000 },
                { "idle-timeout-ms", 15000 } } },
        { "tenants",
            json::array({ { { "name", "huka270" }, { "api-keys", json::array({ "key-1" }) }, { "priority", 1 } } }) } };
}

inline std::string storyText(const std::string& story, const std::string& id, const StreamSeen& seen, int deadlineMs)
{
    Headers headers { { "X-Model", "m" }, { "X-Token-Usage", "1000,750" },
        { "X-Prompt-Prefix", "5c1e07a2:200," + story + ":800" }, { "X-Deadline-Ms", std::to_string(deadlineMs) },
        { "Api-Key", "key-1" } };
    if (seen.lastEvent > 0) {
        headers.emplace_back("Last-Event-Id", std::to_string(seen.lastEvent));
        headers.emplace_back("Resumes", seen.firstAttempt);
    }
    return requestText("POST", "/story/" + story, "gallery.example", id, headers, "the prompt of " + story);
}

} // namespace world
