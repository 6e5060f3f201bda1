// One endpoint as this VM knows it: its entry, this VM's calls in flight there, and what its answers have shown.
//
// Lives from its first entry until its last call in this process has ended. Used on the relay's thread only.
#pragma once

#include "endpoint/EndpointSignals.h"
#include "http/ClientConnection.h"
#include "limits/KnownLimit.h"
#include "limits/PermitSource.h"
#include "limits/RejectionLimit.h"
#include "placement/EndpointLoad.h"
#include "relay/EndpointEntry.h"
#include "relay/EngineReport.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace lupinknot::internal {

class EndpointConnector;
struct StatedLimit;
struct StatedLoad;
struct AnswerFields;

// Which idle connection may carry a request.
struct ConnectionNeeds {
    // The longest idle time; shorter if the endpoint has announced a shorter idle timeout, less the margin.
    Milliseconds maxIdleTime { 0 };
    Milliseconds idleTimeoutMargin { 0 };
    // Numbers of connections that may not carry it.
    std::vector<std::uint64_t> excluded {};
};

class RelayEndpoint {
public:
    // Without a connector, connections are direct.
    RelayEndpoint(boost::asio::io_context&, EndpointEntry, const ClientConnectionSettings&, Milliseconds now,
        EndpointConnector* = nullptr);
    ~RelayEndpoint();
    RelayEndpoint(const RelayEndpoint&) = delete;
    RelayEndpoint& operator=(const RelayEndpoint&) = delete;

    const EndpointEntry& entry() const { return m_entry; }
    // Applies a new entry of the same incarnation; the endpoint is listed from then on.
    void updateEntry(EndpointEntry, Milliseconds now);

    // The most recently used idle connection that meets the needs, or a new connection. When only an excluded one is
    // idle, the new connection replaces it, so that the number of connections does not grow.
    std::shared_ptr<ClientConnection> takeConnection(Milliseconds now, const ConnectionNeeds&);
    std::shared_ptr<ClientConnection> openConnection();
    // Keeps the connection if it can carry another request, and closes it otherwise.
    void giveBack(const std::shared_ptr<ClientConnection>&, Milliseconds now);
    void closeKeptConnections();
    // A request on a kept connection is unanswered for longer than usual: checks whether the endpoint can be reached.
    void checkReachable();
    // True for a connection that may hang because this VM is partitioned from all endpoints.
    bool mayHang(const ClientConnection&) const;

    unsigned inFlight() const { return m_inFlight; }
    void callStarted() { ++m_inFlight; }
    void callEnded() { --m_inFlight; }

    // Prompts of this VM that the endpoint is prefilling; see PrefillScope.
    unsigned promptsInPrefill() const { return m_promptsBeingRead; }
    void prefillStarted() { ++m_promptsBeingRead; }
    void prefillEnded() { --m_promptsBeingRead; }
    // The last load report and its time; null when the endpoint has never been probed.
    void noteReport(const EngineReport& report, Milliseconds now) { m_report = TimedReport { report, now }; }
    const EngineReport* report() const { return m_report ? &m_report->report : nullptr; }

    // The load that an answer has stated within the last loadTrustedFor; null when there is none. While the endpoint
    // serves others, its load changes with each call.
    const EndpointLoad* statedLoad(Milliseconds now) const
    {
        return m_statedLoad && now - m_statedLoad->at <= loadTrustedFor ? &m_statedLoad->load : nullptr;
    }
    static constexpr Milliseconds loadTrustedFor { 300 };
    // How long work takes according to the last stated load, relative to what the endpoint usually states.
    double statedSlowdown() const { return m_statedSlowdown; }

    // Applies what a new answer states about back-off, shutdown and load.
    void noteSignals(const AnswerFields&, Milliseconds now);
    // Sets the function to call when a back-off begins or is extended; it must outlive this object.
    void onBackOff(const std::function<void(const RelayEndpoint&)>& callback) { m_onBackOff = &callback; }
    const EndpointSignals& signals() const { return m_signals; }
    // Applies the signals that were known of this incarnation before it was dropped.
    void restoreSignals(const EndpointSignals&, Milliseconds now);
    bool isInBackOff(Milliseconds now) const { return m_signals.isInBackOff(now); }

    const KnownLimit& limit() const { return m_limit; }
    // Applies a new answer's statement about the endpoint's rate limit; sentAt is when its request was sent. Returns
    // true if the change should be reported to other VMs.
    bool noteLimit(const StatedLimit&, Milliseconds sentAt, Milliseconds now);
    // Applies what another VM reports of the rate limit.
    void notePeerLimit(const LimitReport&, Milliseconds now);
    LimitReport limitReport(Milliseconds now) const { return { m_limit.perSecond(), now - m_limit.statedAt() }; }
    // Applies what a new answer shows about rejections; this VM is one of vmCount and known by its name.
    void noteRejections(const RejectionStatement&, std::size_t vmCount, const std::string& vmName, Milliseconds now);
    // True if a request may be sent only with a permit: the endpoint states a rate limit, or it is brittle and would
    // perhaps turn the request away.
    bool isLimited() const { return m_limit.perSecond().has_value() || mayReject(); }
    bool mayReject() const { return m_rejections.needsPermit(m_inFlight, m_rejectionQuota); }
    // The request for a permit.
    PermitRequest permitRequest(Milliseconds maxWait, Milliseconds now) const;
    // Applies the answer to such a request.
    void notePermitAnswer(const PermitRequest&, const LimitReport&, Milliseconds now);
    // While the endpoint is rate-limited, no permit is available for it before this time.
    void denyPermitsUntil(Milliseconds instant) { m_noPermitUntil = instant; }
    Milliseconds noPermitUntil() const { return isLimited() ? m_noPermitUntil : Milliseconds { 0 }; }

    // True if its entry or an answer states that it is shutting down, or if its entry was removed.
    bool isShuttingDown() const { return m_shuttingDownSince.has_value(); }
    // False for an endpoint that announced its shutdown or is in back-off. An endpoint whose entry was removed may take
    // work as a last resort, for the grace time only.
    bool mayTakeWork(Milliseconds now, Milliseconds grace) const;
    // True for an endpoint whose entry was removed and that takes no more work.
    bool isExpired(Milliseconds now, Milliseconds grace) const;
    bool isRemoved() const { return m_isRemoved; }
    void setRemoved(Milliseconds now);
    // The endpoint has announced that it shuts down; whether it is listed does not change.
    void setDraining(Milliseconds now);

    void avoidUntil(Milliseconds instant) { m_avoidUntil = std::max(m_avoidUntil, instant); }
    void endAvoidance() { m_avoidUntil = Milliseconds { 0 }; }
    bool isAvoided(Milliseconds now) const { return now < m_avoidUntil; }
    // An answer or event has arrived: the endpoint is alive.
    void noteAlive(Milliseconds now);
    // An answer shows that another incarnation runs at its address, so that further answers are of that one.
    void noteReplaced() { m_isReplaced = true; }
    bool isReplaced() const { return m_isReplaced; }
    // When the endpoint was last known to be alive: when it was first listed, or later.
    Milliseconds lastAliveAt() const { return m_lastAliveAt; }
    // An answer or event has arrived that only this incarnation can have sent. An answer to a probe may come from a
    // later one, which has the same address.
    void confirmAlive(Milliseconds now);
    // When the endpoint was first listed, or later confirmed to be alive.
    Milliseconds lastConfirmedAt() const { return m_lastConfirmedAt; }
    // Sets the function to call at each confirmation until it returns true.
    void awaitConfirmation(std::function<bool(Milliseconds now)>);

private:
    struct KeptConnection {
        std::shared_ptr<ClientConnection> connection;
        Milliseconds since;
    };

    bool isUsable(const KeptConnection&, Milliseconds now, const ConnectionNeeds&) const;
    void logLimitChange(LimitChange, std::string_view source) const;

    struct TimedReport {
        EngineReport report;
        Milliseconds at;
    };

    struct TimedLoad {
        EndpointLoad load;
        Milliseconds at;
    };

    void noteStatedLoad(const StatedLoad&, Milliseconds now);

    boost::asio::io_context& m_ioContext;
    EndpointEntry m_entry;
    const ClientConnectionSettings m_connectionSettings;
    EndpointConnector* const m_connector;
    // Usually empty: an empty vector owns no memory.
    std::vector<KeptConnection> m_kept;
    unsigned m_inFlight { 0 };
    unsigned m_promptsBeingRead { 0 };
    std::optional<TimedReport> m_report;
    std::optional<TimedLoad> m_statedLoad;
    double m_statedSlowdown { 1 };
    // Average of the stated paces; 0 when there are none.
    double m_usualStatedPace { 0 };
    EndpointSignals m_signals;
    const std::function<void(const RelayEndpoint&)>* m_onBackOff { nullptr };
    KnownLimit m_limit;
    RejectionLimit m_rejections;
    unsigned m_rejectionQuota { 0 };
    Milliseconds m_noPermitUntil { 0 };
    // Unreadable values are logged only once each.
    bool m_hasLoggedUnreadableLimit { false };
    bool m_hasLoggedUnreadableBackOff { false };
    bool m_hasLoggedUnreadableLoad { false };
    std::optional<Milliseconds> m_shuttingDownSince;
    bool m_isRemoved { false };
    bool m_isReplaced { false };
    Milliseconds m_avoidUntil { 0 };
    Milliseconds m_lastAliveAt;
    Milliseconds m_lastConfirmedAt;
    // Null for nearly all endpoints; a pointer saves the room of the function.
    std::unique_ptr<std::function<bool(Milliseconds)>> m_onConfirmed;
};

} // namespace lupinknot::internal
