// Detects that the engine of a stream's current run has become silent.
//
// A silent engine may have ended, or may go on at any time: the monitor reports the silence and goes on watching.
//
// An engine that sends nothing is probed. The silence before the probe depends on the phase of the run and on the state
// of the engine's availability zone. An engine counts as silent when it does not answer a probe, or when its stream
// pauses for too long although it answers. A run that must not be repeated is probed, but never counts as silent.
//
//     const auto monitor = RunLivenessMonitor::make(context, request, { onSilent, onChecked });
//     monitor->begin(run);             // Until stop() or the next run.
//
// Used on the relay's thread only. Owned by the stream's call; after the call's destruction neither callbacks nor the
// timer run.
#pragma once

#include "relay/RunSilence.h"
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
        // The engine has become silent. Called again, at growing intervals, while StreamRun::silence is set.
        std::function<void(const RunSilence&)> onSilent;
        // Called after each periodic check of a run that is not silent.
        std::function<void()> onChecked;
    };

    // The request must outlive the monitor.
    static std::shared_ptr<RunLivenessMonitor> make(RelayContext&, const RelayRequest&, Callbacks);
    ~RunLivenessMonitor();

    void begin(std::shared_ptr<const StreamRun>);
    // An event of the run has arrived, which answers a pending probe.
    void noteEvent();
    // True if the engine did not answer the last probe of the run.
    bool hasProbeFailed() const { return m_hasProbeFailed; }
    void stop();

private:
    RunLivenessMonitor(RelayContext&, const RelayRequest&, Callbacks);
    void scheduleCheck();
    void check();
    Milliseconds silenceBeforeProbe(Milliseconds now) const;
    void sendProbe();
    void handleProbeAnswer(const HttpRoundTripResult&);
    // True if the run's connection may hang because this VM is partitioned from all endpoints.
    bool isCutOff() const;
    void reportSilent(const RunSilence&);

    RelayContext& m_context;
    const RelayRequest& m_request;
    const Callbacks m_callbacks;
    std::shared_ptr<const StreamRun> m_run;
    std::shared_ptr<HttpRoundTrip> m_probe;
    Milliseconds m_nextProbeAt { 0 };
    // When a continued silence is reported next, and the interval after that.
    Milliseconds m_nextReportAt { 0 };
    Milliseconds m_reportInterval { 0 };
    bool m_hasProbeFailed { false };
    boost::asio::steady_timer m_timer;
};

} // namespace lupinknot::internal
