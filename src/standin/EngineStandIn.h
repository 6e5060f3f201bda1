// A stand-in for a model engine.
//
// It speaks the engines' published protocol: `POST /v1/completions` streams tokens and cancels the work when the
// connection goes. Beside it stand `DELETE /v1/streams/ID` to cancel, `GET /v1/streams/ID?from=N` to re-attach,
// `GET /load` for a report that lags, `GET /stats` for the work done, and `POST /control` for faults.
//
// It batches continuously: each step makes one token for every stream in the batch. Prefills run one after the other,
// and tokens in the prefix cache cost nothing.
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

// Thread-safe, under one lock.
class EngineStandIn {
public:
    explicit EngineStandIn(EngineStandInSettings);
    ~EngineStandIn();
    EngineStandIn(const EngineStandIn&) = delete;
    EngineStandIn& operator=(const EngineStandIn&) = delete;

    std::optional<std::string> start();
    unsigned short port() const { return m_server.port(); }
    // Sets faults by the names of EngineFaults. Returns false when a name or value is unknown.
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
        // From the request's arrival to its first token: wait, prefill, and the step that makes the token.
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
    void connectionGone(const std::shared_ptr<EngineStream>&, const HttpExchange&);
    void cancel(const std::shared_ptr<EngineStream>&);
    HttpResponse load() const;
    HttpResponse stats() const;
    HttpResponse controlled(const std::string& json);

    void scheduleStep();
    void step();
    Milliseconds nextStepTime();
    void stepStream(EngineStream&);
    void strike(EngineStream&);
    void crash();
    void pause(Milliseconds);
    Streams batch() const;

    const EngineStandInSettings m_settings;
    MonotonicClock m_clock;
    mutable std::mutex m_mutex;
    // All that follows is under the lock.
    EngineFaults m_faults;
    std::mt19937_64 m_random;
    PrefixCache m_cache;
    Streams m_streams;
    // Completed or running streams that may be re-attached to.
    std::map<std::string, std::shared_ptr<EngineStream>> m_kept;
    std::map<std::string, RequestWork> m_requestWork;
    std::deque<LoadSample> m_loadSamples;
    Work m_work;
    Milliseconds m_prefillFreeAt { 0 };
    Milliseconds m_pausedUntil { 0 };

    StandInServer m_server;
    boost::asio::steady_timer m_stepTimer;
};

} // namespace lupinknot::internal
