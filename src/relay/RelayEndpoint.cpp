#include "relay/RelayEndpoint.h"

#include "common/EventLog.h"
#include "common/NameHash.h"
#include "reach/EndpointConnector.h"
#include "relay/CallProtocol.h"

#include <algorithm>
#include <cstdio>

namespace lupinknot::internal {

namespace {

// Log events have integer numbers only.
std::string decimalText(double number)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3g", number);
    return text;
}

// Distinguishes permits for requests that the endpoint may turn away from those for its rate limit.
constexpr std::string_view rejectionPermitSuffix = "#rejections";

} // namespace

RelayEndpoint::RelayEndpoint(boost::asio::io_context& ioContext, EndpointEntry entry,
    const ClientConnectionSettings& settings, Milliseconds now, EndpointConnector* connector)
    : m_ioContext(ioContext)
    , m_entry(std::move(entry))
    , m_connectionSettings(settings)
    , m_connector(connector)
    , m_lastAliveAt(now)
    , m_lastConfirmedAt(now)
{
}

RelayEndpoint::~RelayEndpoint() { closeKeptConnections(); }

bool RelayEndpoint::isUsable(const KeptConnection& kept, Milliseconds now, const ConnectionNeeds& needs) const
{
    const auto announced = kept.connection->peerIdleTimeout();
    const auto longest
        = announced ? std::min(needs.maxIdleTime, *announced - needs.idleTimeoutMargin) : needs.maxIdleTime;
    const bool mayReuse = !m_connector || m_connector->mayReuse(*kept.connection);
    return mayReuse && kept.connection->isIdle() && now - kept.since <= longest;
}

std::shared_ptr<ClientConnection> RelayEndpoint::takeConnection(Milliseconds now, const ConnectionNeeds& needs)
{
    const auto isExcluded = [&needs](const KeptConnection& kept) {
        return std::find(needs.excluded.begin(), needs.excluded.end(), kept.connection->number())
            != needs.excluded.end();
    };
    // Newest first, until one can be used.
    auto kept = m_kept.end();
    while (kept != m_kept.begin()) {
        --kept;
        if (isExcluded(*kept))
            continue;
        const auto candidate = *kept;
        kept = m_kept.erase(kept);
        if (isUsable(candidate, now, needs))
            return candidate.connection;
        candidate.connection->close();
    }
    if (!m_kept.empty()) {
        m_kept.front().connection->close();
        m_kept.erase(m_kept.begin());
    }
    return openConnection();
}

std::shared_ptr<ClientConnection> RelayEndpoint::openConnection()
{
    return ClientConnection::open(
        m_ioContext, m_entry.address, m_connectionSettings, m_connector ? m_connector->pathTo(m_entry.id) : nullptr);
}

void RelayEndpoint::giveBack(const std::shared_ptr<ClientConnection>& connection, Milliseconds now)
{
    if (connection->isIdle() && !isShuttingDown())
        m_kept.push_back({ connection, now });
    else
        connection->close();
}

void RelayEndpoint::checkReachable()
{
    if (m_connector)
        m_connector->checkEndpoint({ m_entry.id, m_entry.address, m_entry.availabilityZone });
}

bool RelayEndpoint::mayHang(const ClientConnection& connection) const
{
    return m_connector && m_connector->isPartitioned() && !connection.isThroughVm();
}

void RelayEndpoint::updateEntry(EndpointEntry entry, Milliseconds now)
{
    m_entry = std::move(entry);
    m_entry.isDraining = m_entry.isDraining || m_signals.isShuttingDown();
    if (m_entry.isDraining)
        m_signals.noteShuttingDown();
    m_isRemoved = false;
    m_isReplaced = false;
    if (m_entry.isDraining)
        m_shuttingDownSince = m_shuttingDownSince.value_or(now);
    else
        m_shuttingDownSince.reset();
}

void RelayEndpoint::setRemoved(Milliseconds now)
{
    m_isRemoved = true;
    m_shuttingDownSince = m_shuttingDownSince.value_or(now);
}

void RelayEndpoint::setDraining(Milliseconds now)
{
    m_signals.noteShuttingDown();
    m_entry.isDraining = true;
    m_shuttingDownSince = m_shuttingDownSince.value_or(now);
    closeKeptConnections();
}

bool RelayEndpoint::mayTakeWork(Milliseconds now, Milliseconds grace) const
{
    if (!m_signals.accepts(now))
        return false;
    return !m_shuttingDownSince || now - *m_shuttingDownSince <= grace;
}

bool RelayEndpoint::isExpired(Milliseconds now, Milliseconds grace) const
{
    return m_isRemoved && (m_entry.isDraining || now - m_shuttingDownSince.value_or(now) > grace);
}

void RelayEndpoint::noteSignals(const AnswerFields& fields, Milliseconds now)
{
    noteStatedLoad(fields.load, now);
    const auto& backOff = fields.backOff;
    if (!backOff.unreadable.empty() && !std::exchange(m_hasLoggedUnreadableBackOff, true))
        LogEvent("endpoint.rest-unreadable").text("endpoint", m_entry.id).text("value", backOff.unreadable).write();
    const bool wasInBackOff = m_signals.isInBackOff(now);
    if (backOff.time && m_signals.noteBackOff(*backOff.time, now)) {
        LogEvent("endpoint.rests", wasInBackOff ? LogImportance::Routine : LogImportance::Notable)
            .text("endpoint", m_entry.id)
            .text("service", m_entry.service)
            .number("for_ms", backOff.time->count())
            .flag("was_resting", wasInBackOff)
            .write();
        if (m_onBackOff && *m_onBackOff)
            (*m_onBackOff)(*this);
    }
    if (!fields.isShuttingDown || m_signals.isShuttingDown())
        return;
    LogEvent("endpoint.leaves").text("endpoint", m_entry.id).text("service", m_entry.service).write();
    setDraining(now);
}

void RelayEndpoint::noteStatedLoad(const StatedLoad& stated, Milliseconds now)
{
    if (!stated.unreadable.empty() && !std::exchange(m_hasLoggedUnreadableLoad, true))
        LogEvent("endpoint.load-unreadable").text("endpoint", m_entry.id).text("value", stated.unreadable).write();
    if (!stated.load)
        return;
    m_statedLoad = TimedLoad { *stated.load, now };
    if (!stated.load->pace)
        return;
    // Phases in which an endpoint is slower last some hundred milliseconds, so that a slow average is its usual pace.
    constexpr double newestShare = 0.05;
    const auto pace = *stated.load->pace;
    m_usualStatedPace = m_usualStatedPace == 0 ? pace : m_usualStatedPace + newestShare * (pace - m_usualStatedPace);
    m_statedSlowdown = pace / m_usualStatedPace;
}

void RelayEndpoint::restoreSignals(const EndpointSignals& earlier, Milliseconds now)
{
    m_signals.merge(earlier);
    if (m_signals.isShuttingDown())
        setDraining(now);
}

void RelayEndpoint::closeKeptConnections()
{
    for (const auto& kept : m_kept)
        kept.connection->close();
    m_kept.clear();
}

bool RelayEndpoint::noteLimit(const StatedLimit& answered, Milliseconds sentAt, Milliseconds now)
{
    if (!answered.unreadable.empty()) {
        if (!std::exchange(m_hasLoggedUnreadableLimit, true))
            LogEvent("endpoint.limit-unreadable")
                .text("endpoint", m_entry.id)
                .text("limit", answered.unreadable)
                .write();
        return false;
    }
    const auto change = m_limit.noteAnswer(answered.perSecond, sentAt, now);
    logLimitChange(change, "answer");
    return change != LimitChange::None;
}

void RelayEndpoint::noteRejections(
    const RejectionStatement& statement, std::size_t vmCount, const std::string& vmName, Milliseconds now)
{
    const bool hasChanged = m_rejections.noteAnswer(statement, vmCount, now);
    m_rejectionQuota = RejectionLimit::quota(m_entry.slots, vmCount, fractionOfName(vmName + m_entry.id));
    if (hasChanged)
        LogEvent("endpoint.brittle")
            .text("endpoint", m_entry.id)
            .text("service", m_entry.service)
            .text("tolerated_per_second", m_rejections.isBrittle() ? decimalText(*m_rejections.tolerated()) : "")
            .number("quota", m_rejectionQuota)
            .write();
}

PermitRequest RelayEndpoint::permitRequest(Milliseconds maxWait, Milliseconds now) const
{
    if (m_limit.perSecond() || !mayReject())
        return { m_entry.incarnationName(), limitReport(now), maxWait };
    return { m_entry.incarnationName() + std::string(rejectionPermitSuffix),
        { m_rejections.permitsPerSecond(), Milliseconds { 0 } }, maxWait };
}

void RelayEndpoint::notePermitAnswer(const PermitRequest& request, const LimitReport& report, Milliseconds now)
{
    if (request.endpoint == m_entry.incarnationName())
        notePeerLimit(report, now);
}

void RelayEndpoint::notePeerLimit(const LimitReport& report, Milliseconds now)
{
    logLimitChange(m_limit.notePeerReport(report.perSecond, now - report.age), "vm");
}

void RelayEndpoint::logLimitChange(LimitChange change, std::string_view source) const
{
    if (change == LimitChange::None || change == LimitChange::Confirmed)
        return;
    const auto& perSecond = m_limit.perSecond();
    LogEvent("endpoint.limit")
        .text("endpoint", m_entry.id)
        .text("service", m_entry.service)
        .text("change", nameIn(limitChangeNames, change))
        .text("per_second", perSecond ? decimalText(*perSecond) : "")
        .text("heard_from", source)
        .write();
}

void RelayEndpoint::noteAlive(Milliseconds now)
{
    if (m_isReplaced)
        return;
    m_lastAliveAt = now;
    m_avoidUntil = std::min(m_avoidUntil, now);
}

void RelayEndpoint::confirmAlive(Milliseconds now)
{
    noteAlive(now);
    m_lastConfirmedAt = now;
    if (m_onConfirmed && (*m_onConfirmed)(now))
        m_onConfirmed.reset();
}

void RelayEndpoint::awaitConfirmation(std::function<bool(Milliseconds)> callback)
{
    m_onConfirmed = std::make_unique<std::function<bool(Milliseconds)>>(std::move(callback));
}

} // namespace lupinknot::internal
