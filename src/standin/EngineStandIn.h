// A stand-in for a model engine.
//
// It implements the engines' published protocol: `POST /v1/completions` streams tokens and cancels the work when the
// connection is lost. In addition, `DELETE /v1/streams/ID` cancels a stream, `GET /v1/streams/ID?from=N` re-attaches to
// it, `GET /load` returns a delayed load report, `GET /stats` returns the work done, and `POST /control` sets faults.
//
// It uses continuous batching: each step generates one token for every stream in the batch. Prefills run one after the
// other, and tokens in the prefix cache need no prefill time.
#pragma once

#include "lupinknot/MonotonicClock.h"
#include "standin/EngineFaults.h"
#include "standin/EngineStandInSettings.h"
#include "standin/EngineStream.h"
#include "standin/PrefixCache.h"
#include "standin/StandInServer.h"
#include <deque>
#include <map>
#include <random>

namespace lupinknot::internal {

class HttpExchange;
struct HttpResponse;

// Thread-safe; one lock protects all state.
class EngineStandIn {
public:
    explicit EngineStandIn(EngineStandInSettings);
    ~EngineStandIn();
    EngineStandIn(const EngineStandIn&) = delete;
    EngineStandIn& operator=(const EngineStandIn&) = delete;

    std::optional<std::string> start();
    unsigned short port() const { return m_server.port(); }
    // Sets faults by their keys in EngineFaults. Returns false if the text is not a JSON object.
    bool control(const std::string& json);

    // Work done so far.
    struct Work {
        std::size_t requests { 0 };
        std::size_t prefillTokens { 0 };
        std::size_t cachedTokens { 0 };
        std::size_t decodedTokens { 0 };
        std::size_t cancelled { 0 };
    };
    Work work() const;
    std::size_t activeStreams() const;

private:
    struct RequestWork {
        std::size_t prefillTokens { 0 };
        std::size_t decodedTokens { 0 };
        Milliseconds admittedAt { 0 };
        // From the request's arrival to its first token: queueing, prefill, and the step that generates the token.
        Milliseconds firstTokenTime { 0 };
    };
    struct LoadSample {
        Milliseconds at;
        std::size_t active;
    };
    using Streams = std::vector<std::shared_ptr<EngineStream>>;

    void handle(const std::shared_ptr<HttpExchange>&);
    Milliseconds pauseLeft() const;
    void dispatch(const std::shared_ptr<HttpExchange>&);
    void complete(const std::shared_ptr<HttpExchange>&);
    void admit(const std::shared_ptr<HttpExchange>&, EngineStreamRequest);
    void attach(const std::shared_ptr<EngineStream>&, const std::shared_ptr<HttpExchange>&, std::size_t position);
    void reattach(const std::shared_ptr<HttpExchange>&);
    void cancelById(const std::shared_ptr<HttpExchange>&);
    void handleDisconnect(const std::shared_ptr<EngineStream>&, const HttpExchange&);
    void cancel(const std::shared_ptr<EngineStream>&);
    HttpResponse load() const;
    HttpResponse stats() const;
    HttpResponse handleControl(const std::string& json);

    void scheduleStep();
    void step();
    Milliseconds nextStepTime();
    void stepStream(EngineStream&);
    void injectDueFaults(EngineStream&);
    void crash();
    void pause(Milliseconds);
    Streams batch() const;

    const EngineStandInSettings m_settings;
    MonotonicClock m_clock;
    mutable std::mutex m_mutex;
    // m_mutex protects the members below.
    EngineFaults m_faults;
    std::mt19937_64 m_random;
    PrefixCache m_cache;
    Streams m_streams;
    // Completed or running streams that callers may re-attach to.
    std::map<std::string, std::shared_ptr<EngineStream>> m_attachableStreams;
    std::map<std::string, RequestWork> m_requestWork;
    std::deque<LoadSample> m_loadSamples;
    Work m_work;
    Milliseconds m_prefillFreeAt { 0 };
    Milliseconds m_pausedUntil { 0 };

    StandInServer m_server;
    boost::asio::steady_timer m_stepTimer;
};

} // namespace lupinknot::internal
