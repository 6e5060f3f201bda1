// Finds out whether the engine of a stream's present run has fallen silent.
//
// An engine that sends nothing is asked whether it lives; how soon depends on what the run is doing and on what other
// engines of its zone do. One that does not answer, or whose stream pauses for too long although it answers, is silent.
// A run that must not be repeated is asked about but never taken for silent.
//
//     const auto watch = RunLivenessMonitor::make(context, request, { onSilent, onTick });
//     watch->begin(run);               // Until stop() or the next run.
//
// Used on the relay's thread only. Owned by the stream's call, which outlives neither its callbacks nor its timer.
#pragma once

#include "relay/StreamRun.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace lupinknot::internal {

class HttpRoundTrip;
struct HttpRoundTripResult;
struct RelayContext;
struct RelayRequest;

class RunLivenessMonitor : public std::enable_shared_from_this<RunLivenessMonitor> {
public:
    struct Callbacks {
        // The engine is silent. Called at most once for each run.
        std::function<void()> silent;
        // After each look at a run that is not silent.
        std::function<void()> looked;
    };

    // The request outlives the watch.
    static std::shared_ptr<RunLivenessMonitor> make(RelayContext&, const RelayRequest&, Callbacks);
    ~RunLivenessMonitor();

    void begin(std::shared_ptr<const StreamRun>);
    // An event has come: whatever was asked is answered.
    void noteEvent() { m_question.reset(); }
    void stop();

private:
    RunLivenessMonitor(RelayContext&, const RelayRequest&, Callbacks);
    void armLook();
    void look();
    Milliseconds silenceBeforeProbe(Milliseconds now) const;
    void ask();
    void answered(const HttpRoundTripResult&);
    void reportSilent();

    RelayContext& m_context;
    const RelayRequest& m_request;
    const Callbacks m_callbacks;
    std::shared_ptr<const StreamRun> m_run;
    std::shared_ptr<HttpRoundTrip> m_question;
    Milliseconds m_nextQuestionAt { 0 };
    boost::asio::steady_timer m_timer;
};

} // namespace lupinknot::internal
