// Stand-in of a model runner: streams events, keeps copies of running requests' memory (X-Kv-Backup, Kv-From) and tells
// its load. What a run produces follows from its memory: the body with which it began.
#pragma once

#include "Standin.hpp"

#include <functional>
#include <memory>

namespace standin {

// The memory of a run at the runner that keeps a copy of it.
struct RunMemory {
    std::string requestId;
    std::string prompt;
    int events { 0 };
};

struct EngineRun {
    std::string requestId;
    std::string engine;
    std::string prompt;
    std::string continuedFrom;
    std::string memoryPrompt;
};

// What all runners of a case share: the links between them, and what has run.
struct EngineWorld {
    std::mutex mutex;
    // By the address of the runner that holds the copy, and the request's id.
    std::map<std::pair<std::string, std::string>, RunMemory> copies;
    std::vector<EngineRun> runs;
};

inline std::string eventText(const std::string& prompt, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + prompt + " #" + std::to_string(number) + "\n\n";
}

class Engine {
public:
    static constexpr int slots = 64;
    static constexpr int events = 140;
    static constexpr std::int64_t prefillMs = 300;
    static constexpr std::int64_t eventMs = 30;

    // One stream of `unframedEvery` has no length and ends with its connection; 0: none.
    Engine(const std::string& host, std::string id, std::string zone, EngineWorld& world, int unframedEvery = 0)
        : m_server(host)
        , m_id(std::move(id))
        , m_zone(std::move(zone))
        , m_world(world)
        , m_unframedEvery(unframedEvery)
    {
        m_server.serve([this](const auto& connection) { serve(*connection); });
    }
    const Address& address() const { return m_server.address(); }
    const std::string& id() const { return m_id; }
    const std::string& zone() const { return m_zone; }
    json entry(const std::string& service) const { return runnerEntry(service, address(), m_zone, slots); }
    Server& server() { return m_server; }

private:
    void serve(Connection& connection)
    {
        Message request;
        while (connection.read(request, false) == ReadResult::Complete) {
            const auto path = request.target();
            if (path == "/api/report") {
                if (!connection.send(report()))
                    return;
            } else if (path == "/api/kv-move") {
                // No room for another copy.
                if (!connection.send(response(503, { { "Content-Type", "application/json" } }, "{}")))
                    return;
            } else if (request.has("X-Request-Id")) {
                if (!stream(connection, request))
                    return;
            } else if (!connection.send(response(404, {}, ""))) {
                return;
            }
            if (strcasecmp(request.header("Connection").c_str(), "close") == 0)
                return;
        }
    }

    std::string report() const
    {
        const json body { { "stage", "hybrid" }, { "models", json::array({ { { "name", "m" }, { "version", 1 } } }) },
            { "busy", false }, { "sequence", 2 }, { "waiting", 0 }, { "running", m_running.load() },
            { "kv-used", 5000 }, { "kv-total", 55000 }, { "handles", 0 }, { "runs", json::array() } };
        return response(200, { { "Content-Type", "application/json" } }, body.dump());
    }

    bool stream(Connection& connection, const Message& request)
    {
        const auto id = request.header("X-Request-Id");
        const std::vector<std::pair<std::string, std::string>> notRun { { "X-Request-Id", id },
            { "X-Not-Executed", "1" } };
        if (request.has("X-Expect-Instance") && request.header("X-Expect-Instance") != m_id)
            return connection.send(response(421, notRun, ""));
        RunMemory memory { id, request.body, std::atoi(request.header("Last-Event-Id").c_str()) };
        const auto from = request.header("Kv-From");
        const auto continuedFrom = from.substr(std::min(from.find('/') + 1, from.size()));
        if (!from.empty()) {
            const std::lock_guard lock(m_world.mutex);
            const auto copy = m_world.copies.find({ from.substr(0, from.find('/')), continuedFrom });
            if (from.substr(0, from.find('/')) != address().text() || copy == m_world.copies.end())
                return connection.send(response(503, notRun, ""));
            memory.prompt = copy->second.prompt;
            m_world.copies.erase(copy);
        }
        {
            const std::lock_guard lock(m_world.mutex);
            m_world.runs.push_back({ id, m_id, request.body, continuedFrom, memory.prompt });
        }
        record(m_id + " runs " + id + " (prompt \"" + request.body + "\") after event " + std::to_string(memory.events)
            + (from.empty() ? std::string()
                            : ", from the memory of " + continuedFrom + " (\"" + memory.prompt + "\")"));
        ++m_running;
        const bool isWhole = send(connection, request, memory, from.empty() ? prefillMs : eventMs);
        --m_running;
        return isWhole;
    }

    bool send(Connection& connection, const Message& request, RunMemory& memory, std::int64_t untilFirst)
    {
        pause(untilFirst);
        const auto id = request.header("X-Request-Id");
        const bool isFramed = m_unframedEvery == 0 || ++m_streams % m_unframedEvery != 0;
        if (!isFramed)
            record(m_id + " answers " + id + " without a length");
        if (!connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + id
                + "\r\nX-Response-Signature: s-" + m_id + "-" + id
                + (isFramed ? "\r\nTransfer-Encoding: chunked\r\n\r\n" : "\r\n\r\n")))
            return false;
        const auto holder = request.header("X-Kv-Backup");
        while (memory.events < events) {
            const auto text = eventText(memory.prompt, ++memory.events);
            char size[20];
            std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
            if (!connection.send(isFramed ? size + text + "\r\n" : text)) {
                record(m_id + " can't send event " + std::to_string(memory.events) + " of " + id);
                return false;
            }
            if (!holder.empty()) {
                const std::lock_guard lock(m_world.mutex);
                m_world.copies[{ holder, id }] = memory;
            }
            pause(eventMs);
        }
        if (!holder.empty()) {
            const std::lock_guard lock(m_world.mutex);
            m_world.copies.erase({ holder, id });
        }
        return isFramed && connection.send("0\r\n\r\n");
    }

    Server m_server;
    const std::string m_id;
    const std::string m_zone;
    EngineWorld& m_world;
    const int m_unframedEvery;
    std::atomic<int> m_streams { 0 };
    std::atomic<int> m_running { 0 };
};

// A configuration as in sites/veilgate.toml with one service of model runners and one resumable route.
inline json engineConfiguration()
{
    return { { "version", 3 },
        { "routes",
            json::array({ { { "name", "story" }, { "host", "case.example" }, { "path-prefix", "/story/" },
                { "kind", "streaming" }, { "service", "llm" }, { "timeout-ms", 25000 }, { "slo-ms", 4500 },
                { "priority", 1 }, { "max-attempts", 5 }, { "public", false }, { "sticky", true },
                { "resumable", true }, { "gap-aim-ms", 700 } } }) },
        { "services",
            json::array({ { { "name", "llm" }, { "health-path", "/healthz" }, { "max-conns", 360 },
                { "protocol", "h1" }, { "tls", false },
                { "engine",
                    { { "slots", Engine::slots }, { "kv-capacity", 55000 }, { "kv-token-bytes", 327680 },
                        { "link-mbps", 260000.0 }, { "moves", true }, { "backups", true }, { "stride", 5 },
                        { "most", 12 }, { "pin-ms", 4000.0 }, { "hold-ms", 2000.0 }, { "handle-s", 4.0 },
                        { "models", json::array({ { { "name", "m" } } }) } } } } }) },
        { "limits",
            { { "max-header-bytes", 16384 }, { "max-body-bytes", 4194304 }, { "header-timeout-ms", 3000 },
                { "idle-timeout-ms", 15000 } } },
        { "tenants",
            json::array({ { { "name", "studio" }, { "api-keys", json::array({ "key1" }) }, { "priority", 1 } } }) } };
}

} // namespace standin
