#include "relay/CrashGuard.h"

#include "common/EventLog.h"
#include "lupinknot/Clock.h"
#include "quarantine/CrashReports.h"
#include "relay/EndpointDirectory.h"
#include "relay/RelaySettings.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace lupinknot::internal {

namespace {

// Hundreds of charges at once are a lost zone's; more than these are not looked at.
constexpr std::size_t mostCharges = 2000;
constexpr Milliseconds forgettingInterval { 60'000 };
// The log has whole numbers.
constexpr double percent = 100;

std::int64_t inPercent(double weight) { return static_cast<std::int64_t>(weight * percent); }

} // namespace

CrashGuard::CrashGuard(boost::asio::io_context& ioContext, const Clock& clock, const RelaySettings& settings,
    const EndpointDirectory& directory)
    : m_ioContext(ioContext)
    , m_clock(clock)
    , m_settings(settings)
    , m_directory(directory)
    , m_quarantine(settings.vmName)
    , m_judgementTimer(ioContext)
    , m_forgettingTimer(ioContext)
{
    armForgetting();
}

CrashGuard::~CrashGuard() = default;

// The time of day of an instant of this VM's clock.
std::int64_t CrashGuard::timeOfDayAt(Milliseconds instant) const
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return (std::chrono::duration_cast<Milliseconds>(now) - (m_clock.now() - instant)).count();
}

double CrashGuard::openWeight(const std::string& digest) const
{
    double weight = 0;
    for (const auto& charge : m_charges) {
        if (charge.loss.digest == digest)
            weight += charge.weight;
    }
    return weight;
}

QuarantineStatus CrashGuard::quarantineStatus(const std::string& digest) const
{
    if (m_quarantine.isHeld(digest, m_clock.now()))
        return QuarantineStatus::Held;
    const auto open = openWeight(digest);
    return open > 0 && m_quarantine.wouldBeHeld(digest, open) ? QuarantineStatus::Pending : QuarantineStatus::Free;
}

Milliseconds CrashGuard::quarantineTimeLeft(const std::string& digest) const
{
    return std::max(m_quarantine.heldUntil(digest) - m_clock.now(), m_settings.retryAfter);
}

bool CrashGuard::isSuspect(const std::string& digest) const
{
    return m_quarantine.isSuspect(digest) || openWeight(digest) > 0;
}

void CrashGuard::watch(const std::string& digest, const std::shared_ptr<HeldListener>& listener)
{
    m_watching.emplace(digest, listener);
}

void CrashGuard::unwatch(const std::string& digest, const HeldListener& listener)
{
    const auto [begin, end] = m_watching.equal_range(digest);
    const auto known
        = std::find_if(begin, end, [&listener](const auto& entry) { return entry.second.get() == &listener; });
    if (known != end)
        m_watching.erase(known);
}

void CrashGuard::noteLoss(RequestLoss loss)
{
    if (!m_settings.policies.has(Policy::CrashQuarantine))
        return;
    const auto& entry = loss.endpoint->entry();
    EndpointLoss event { entry.incarnationName(), entry.service, entry.availabilityZone, loss.digest, m_clock.now() };
    const auto lastAliveAt = loss.endpoint->lastAliveAt();
    const bool wasLost = m_losses.wasLostBefore(event.endpointId, loss.sentAt, lastAliveAt);
    m_losses.note(event, lastAliveAt);
    const bool isExcused = wasLost || m_served.has(loss.digest, m_clock.now());
    const auto weight = isExcused ? 0 : crashWeight(loss.run);
    if (weight <= 0 || m_charges.size() >= mostCharges)
        return;
    m_charges.push_back({ std::move(loss), std::move(event), weight });
    armJudgement();
}

void CrashGuard::armJudgement()
{
    if (m_isJudgementArmed || m_charges.empty())
        return;
    m_isJudgementArmed = true;
    m_judgementTimer.expires_after(m_charges.front().event.at + EndpointLosses::correlationWindow - m_clock.now());
    m_judgementTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        m_isJudgementArmed = false;
        judge();
    });
}

void CrashGuard::judge()
{
    const auto due = m_clock.now() - EndpointLosses::correlationWindow;
    while (!m_charges.empty() && m_charges.front().event.at <= due) {
        const auto charge = std::move(m_charges.front());
        m_charges.pop_front();
        judge(charge);
    }
    armJudgement();
}

bool CrashGuard::isCorrelatedLoss(const Charge& charge) const
{
    OtherEndpointCounts others;
    for (const auto& endpoint : m_directory.endpointsOf(charge.event.service)) {
        if (endpoint->entry().incarnationName() == charge.event.endpointId)
            continue;
        ++others.inService;
        others.inZone += endpoint->entry().availabilityZone == charge.event.zone;
    }
    // One that has said in the meantime that it leaves was leaving already.
    return charge.loss.endpoint->entry().isDraining || m_losses.isCorrelatedLoss(charge.event, others);
}

void CrashGuard::judge(const Charge& charge)
{
    const auto& loss = charge.loss;
    const bool isExplained = isCorrelatedLoss(charge);
    LogEvent("quarantine.judged")
        .text("request", loss.requestId)
        .text("digest", loss.digest)
        .text("endpoint", charge.event.endpointId)
        .text("zone", charge.event.zone)
        .text("failure", traitsOf(loss.run.failure).name)
        .text("beginning", nameIn(runStartNames, loss.run.beginning))
        .number("worked_ms", loss.run.workedFor.count())
        .number("weight_percent", inPercent(charge.weight))
        .flag("went_with_others", isExplained)
        .write();
    if (isExplained)
        return;
    const CrashRecord record { loss.digest, charge.event.endpointId, loss.endpoint->entry().address.text(),
        charge.weight, loss.run.workedFor, m_quarantine.isOnTrial(loss.digest, m_clock.now()), timeOfDayAt(loss.sentAt),
        timeOfDayAt(charge.event.at) };
    add(record, false);
    for (const auto& unshared : m_quarantine.takeUnshared(loss.digest)) {
        if (m_reports)
            m_reports->publish(unshared);
    }
}

void CrashGuard::add(const CrashRecord& record, bool isShared)
{
    const auto now = m_clock.now();
    const bool wasHeld = m_quarantine.isHeld(record.digest, now);
    // What a VM hears late, or once more after its start, is as old as it is.
    const auto age
        = std::clamp(Milliseconds { timeOfDayAt(now) - record.lostAt }, Milliseconds { 0 }, Quarantine::recordLifetime);
    if (!m_quarantine.add(record, record.lostAt > 0 ? now - age : now, isShared) || wasHeld
        || !m_quarantine.isHeld(record.digest, now))
        return;
    LogEvent("quarantine.held")
        .text("digest", record.digest)
        .text("last_endpoint", record.endpointId)
        .number("for_ms", quarantineTimeLeft(record.digest).count())
        .number("suspects", static_cast<std::int64_t>(m_quarantine.suspectCount()))
        .write();
    tellHeld(record.digest);
}

// Later, because a call that ends takes itself off the list.
void CrashGuard::tellHeld(const std::string& digest)
{
    const auto [begin, end] = m_watching.equal_range(digest);
    for (auto watching = begin; watching != end; ++watching)
        boost::asio::post(m_ioContext, [listener = watching->second] { listener->requestHeld(); });
}

void CrashGuard::noteProducing(const std::string& digest, Milliseconds producedFor)
{
    if (isSuspect(digest) && provesHarmless(producedFor, m_quarantine.longestWork(digest)))
        noteHarmless(digest);
}

void CrashGuard::noteHarmless(const std::string& digest)
{
    m_served.note(digest, m_clock.now());
    m_charges.erase(std::remove_if(m_charges.begin(), m_charges.end(),
                        [&digest](const Charge& charge) { return charge.loss.digest == digest; }),
        m_charges.end());
    const bool wasSuspect = m_quarantine.isSuspect(digest);
    const auto endpoints = m_quarantine.clear(digest);
    if (!wasSuspect)
        return;
    LogEvent("quarantine.cleared")
        .text("digest", digest)
        .number("taken_back", static_cast<std::int64_t>(endpoints.size()))
        .write();
    if (m_reports && !endpoints.empty())
        m_reports->withdraw(digest, endpoints);
}

void CrashGuard::addRemoteRecord(const CrashRecord& record)
{
    if (m_settings.policies.has(Policy::CrashQuarantine) && !m_served.has(record.digest, m_clock.now()))
        add(record, true);
}

void CrashGuard::removeRemoteRecord(const std::string& digest, const std::string& endpointId)
{
    m_quarantine.remove(digest, endpointId);
}

void CrashGuard::armForgetting()
{
    m_forgettingTimer.expires_after(forgettingInterval);
    m_forgettingTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        m_quarantine.forgetOld(m_clock.now());
        armForgetting();
    });
}

} // namespace lupinknot::internal
