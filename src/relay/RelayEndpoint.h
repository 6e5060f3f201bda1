// One endpoint as this VM knows it: its entry, what this VM has under way there, and what its answers have shown.
//
// Lives from its first entry until its last call, in the process. Used on the relay's thread only.
#pragma once

#include "endpoint/EndpointSignals.h"
#include "http/ClientConnection.h"
#include "limits/KnownLimit.h"
#include "limits/PermitSource.h"
#include "relay/EndpointEntry.h"
#include "relay/EngineReport.h"
#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>

namespace lupinknot::internal {

struct StatedLimit;
struct AnswerFields;

class RelayEndpoint {
public:
    RelayEndpoint(boost::asio::io_context&, EndpointEntry, const ClientConnectionSettings&, Milliseconds now);
    ~RelayEndpoint();
    RelayEndpoint(const RelayEndpoint&) = delete;
    RelayEndpoint& operator=(const RelayEndpoint&) = delete;

    const EndpointEntry& entry() const { return m_entry; }
    // Takes over a new entry of the same incarnation, which is listed from here on.
    void updateEntry(EndpointEntry, Milliseconds now);

    // A kept connection that has rested no longer than allowed, the one used last, or a new one.
    std::shared_ptr<ClientConnection> takeConnection(Milliseconds now, Milliseconds maxIdleTime, Milliseconds margin);
    std::shared_ptr<ClientConnection> openConnection();
    // Keeps a connection if it can carry another request.
    void giveBack(const std::shared_ptr<ClientConnection>&, Milliseconds now);
    void closeKeptConnections();

    unsigned inFlight() const { return m_inFlight; }
    void callStarted() { ++m_inFlight; }
    void callEnded() { --m_inFlight; }

    // Prompts that it reads for this VM; see PrefillScope.
    unsigned promptsInPrefill() const { return m_promptsBeingRead; }
    void readingStarted() { ++m_promptsBeingRead; }
    void readingEnded() { --m_promptsBeingRead; }
    // What it said of its load last, and when; nothing when it was never asked.
    void noteReport(const EngineReport& report, Milliseconds now) { m_report = TimedReport { report, now }; }
    const EngineReport* report() const { return m_report ? &m_report->report : nullptr; }

    // Takes over what an answer that came now says of rest and of leaving.
    void noteSignals(const AnswerFields&, Milliseconds now);
    const EndpointSignals& signals() const { return m_signals; }
    // Takes over what was known of this start before it was forgotten.
    void restoreSignals(const EndpointSignals&, Milliseconds now);
    bool isInBackOff(Milliseconds now) const { return m_signals.isInBackOff(now); }

    const KnownLimit& limit() const { return m_limit; }
    // Takes over what an answer says of the endpoint's limit that came now to a request sent at the instant. Returns
    // whether that is news for other VMs.
    bool noteLimit(const StatedLimit&, Milliseconds sentAt, Milliseconds now);
    // Takes over what another VM has heard of it.
    void noteLimitNews(const LimitReport&, Milliseconds now);
    LimitReport limitNews(Milliseconds now) const { return { m_limit.perSecond(), now - m_limit.heardAt() }; }
    bool isLimited() const { return m_limit.perSecond().has_value(); }
    // While it is limited, no permit for it is to be had until the instant.
    void denyPermitsUntil(Milliseconds instant) { m_noPermitUntil = instant; }
    Milliseconds noPermitUntil() const { return isLimited() ? m_noPermitUntil : Milliseconds { 0 }; }

    // An endpoint leaves when it says so, in its entry or in an answer, or when its entry is gone.
    bool isLeaving() const { return m_leavingSince.has_value(); }
    // False for one that says that it leaves or rests. One whose entry has gone gets work as a last resort, for a short
    // while only.
    bool mayTakeWork(Milliseconds now, Milliseconds grace) const;
    // True for one whose entry has gone and that takes no work any more.
    bool isExpired(Milliseconds now, Milliseconds grace) const;
    bool isRemoved() const { return m_isRemoved; }
    void setRemoved(Milliseconds now);
    // It has said that it leaves; whether it is listed stays as it is.
    void setDraining(Milliseconds now);

    void avoidUntil(Milliseconds instant) { m_avoidUntil = std::max(m_avoidUntil, instant); }
    bool isAvoided(Milliseconds now) const { return now < m_avoidUntil; }
    // An answer or event came: the endpoint lives.
    void noteAlive(Milliseconds now);
    // The last instant at which it was known to live: when it was first listed, or later.
    Milliseconds lastAliveAt() const { return m_lastLife; }

private:
    struct KeptConnection {
        std::shared_ptr<ClientConnection> connection;
        Milliseconds since;
    };

    void limitChanged(LimitChange, std::string_view heardFrom) const;

    struct TimedReport {
        EngineReport report;
        Milliseconds at;
    };

    boost::asio::io_context& m_ioContext;
    EndpointEntry m_entry;
    const ClientConnectionSettings m_connectionSettings;
    std::deque<KeptConnection> m_kept;
    unsigned m_inFlight { 0 };
    unsigned m_promptsBeingRead { 0 };
    std::optional<TimedReport> m_report;
    EndpointSignals m_signals;
    KnownLimit m_limit;
    Milliseconds m_noPermitUntil { 0 };
    // Values that cannot be read are logged once each.
    bool m_isUnreadableLimitSaid { false };
    bool m_isUnreadableRestSaid { false };
    std::optional<Milliseconds> m_leavingSince;
    bool m_isRemoved { false };
    Milliseconds m_avoidUntil { 0 };
    Milliseconds m_lastLife;
};

} // namespace lupinknot::internal
