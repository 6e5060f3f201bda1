// Stops a run that this VM has ended, at an engine that may still work on it.
//
// Closing the connection that carries a run is no proof that the engine has dropped the run: the connection may hang
// although new ones work, and some engines continue for a while. The request to stop a run uses a new connection, and
// its answer shows what became of the run. The engine keeps the KV cache of a run that it stops until it is freed.
//
//     const auto stop = RunStop::start(context, run, target, handleInUse);
//     if (stop->mayTakeEffect()) ...   // A new run of this request at the engine might be stopped as well.
//     stop->freeMemory();              // The stream does not continue from the run's KV cache.
//
// Used on the relay's thread only. Owns itself until all its requests have ended; its user may share it to look at it.
#pragma once

#include "copies/ContinuationGate.h"
#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"
#include "relay/RunStopResult.h"
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lupinknot::internal {

class HttpRoundTrip;
class RelayEndpoint;
struct HttpRoundTripResult;
struct EndedRun;
struct MoveRunAnswer;
struct RelayContext;

// What an answer says about the run; Pending if the request has to be repeated. An engine that works on another
// request for the run (Busy) has not stopped it. Without a handle, a rejection does not say whether the run was
// stopped.
RunStopResult runStopResultOf(const MoveRunAnswer&);

class RunStop : public std::enable_shared_from_this<RunStop> {
public:
    // The target is an engine other than the run's, which the protocol requires: a stop is the second step of a move.
    // The handle in use is not freed, because the stream continues from it; it may be empty.
    static std::shared_ptr<RunStop> start(
        RelayContext&, const EndedRun&, const std::shared_ptr<RelayEndpoint>& target, std::string handleInUse);

    const std::string& requestId() const { return m_requestId; }
    const std::shared_ptr<RelayEndpoint>& engine() const { return m_engine; }
    RunStopResult result() const { return m_result; }
    // True if the engine has said what became of the run, or that it is busy with another request for the run.
    bool hasAnswer() const;
    StopState state(Milliseconds now) const;
    // The KV cache that the engine has kept of the run, named by its handle; empty if there is none, or it was freed.
    const std::string& keptHandle() const { return m_keptHandle; }
    // A run continues from that KV cache.
    void noteMemoryUsed() { m_keptHandle.clear(); }
    // The stream may go on with the run: no further request is sent. One that the engine has received may still stop
    // it.
    void sendNoMore();
    // Frees that KV cache, also if the engine names it only later.
    void freeMemory();
    // True while another request will be sent, or one that the engine has not answered may still be read there: until
    // the engine has shown a sign of life after the connections of all requests were closed.
    bool mayTakeEffect() const;

private:
    RunStop(RelayContext&, const EndedRun&, const std::shared_ptr<RelayEndpoint>& target, std::string handleInUse);
    void keepHandle(const std::string&);
    void send();
    bool mustSendAgain() const;
    void sendAgainLater();
    void handleAnswer(const HttpRoundTripResult&);
    void noteNotConnected(bool isRefused);
    void finish(RunStopResult);
    void endIfDone();
    void logResult() const;

    RelayContext& m_context;
    const std::shared_ptr<RelayEndpoint> m_engine;
    const SocketAddress m_target;
    const std::string m_targetId;
    const std::string m_requestId;
    const std::string m_handleInUse;
    const EngineContact m_contact;
    const Milliseconds m_startedAt;
    std::string m_keptHandle;
    bool m_mustFreeMemory { false };
    RunStopResult m_result { RunStopResult::Pending };
    // Requests that count towards RelaySettings::runStopRequests: all but those to which the engine was busy.
    unsigned m_sent { 0 };
    unsigned m_failedConnects { 0 };
    unsigned m_busyAnswers { 0 };
    bool m_sendsNoMore { false };
    // True if the last answer said that the engine is busy with another request for the run.
    bool m_isBusy { false };
    // Requests that the engine may have received or may receive, and has not answered.
    unsigned m_unanswered { 0 };
    // Earlier requests stay open: the first one may be answered only when the KV cache has been copied.
    std::vector<std::shared_ptr<HttpRoundTrip>> m_requests;
    // When the connections of all requests were closed.
    std::optional<Milliseconds> m_closedAt;
    boost::asio::steady_timer m_retryTimer;
    boost::asio::steady_timer m_lifetime;
};

} // namespace lupinknot::internal
