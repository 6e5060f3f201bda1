#include "relay/CrashGuard.h"

#include "common/EventLog.h"
#include "lupinknot/Clock.h"
#include "quarantine/CrashReports.h"
#include "quarantine/HoldRetraction.h"
#include "quarantine/TrialSource.h"
#include "relay/EndpointDirectory.h"
#include "relay/EndpointProbe.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySettings.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace lupinknot::internal {

namespace {

// Hundreds of losses at once come from a failed zone; losses beyond this number are ignored.
constexpr std::size_t maxPendingLosses = 2000;
constexpr std::size_t maxSuspectedLosses = 2000;
constexpr Milliseconds expiryInterval { 60'000 };
constexpr Milliseconds checkInterval { 100 };
// A silent endpoint is probed often until its loss is decided, and then until its next sign of life.
constexpr Milliseconds probeInterval { 200 };
constexpr Milliseconds lateProbeInterval { 1000 };
constexpr Milliseconds probeTime { 10'000 };
// A request waits no longer for the decision about a suspected loss: since witnesses are alive, and since the loss
// while none is. While all engines are silent, nothing is gained by sending the request.
constexpr Milliseconds maxSuspicionTime { maxEnginePause + 3 * probeInterval };
constexpr Milliseconds maxCommonSilence { Quarantine::firstHold };
// A grant that arrives later is not used: this VM has stood still, and the trial may have been granted to another VM.
constexpr Milliseconds maxTrialAnswerTime { 1000 };
// Witnesses that show no sign of life for this long may have paused as well, or this VM has.
constexpr Milliseconds maxWitnessGap { 1000 };
// How long a sign of life, or the entry of another incarnation, changes the decision about a silent endpoint.
constexpr Milliseconds suspectedLossLifetime { silenceRetractionTime };
// Log fields are integers.
constexpr double percent = 100;

std::int64_t inPercent(double weight) { return static_cast<std::int64_t>(weight * percent); }

} // namespace

CrashGuard::CrashGuard(boost::asio::io_context& ioContext, const Clock& clock, const RelaySettings& settings,
    const EndpointDirectory& directory, RelayMetrics* metrics)
    : m_ioContext(ioContext)
    , m_clock(clock)
    , m_settings(settings)
    , m_directory(directory)
    , m_metrics(metrics)
    , m_quarantine(settings.vmName)
    , m_witnesses(clock, directory)
    , m_evaluationTimer(ioContext)
    , m_checkTimer(ioContext)
    , m_expiryTimer(ioContext)
{
    scheduleExpiry();
}

CrashGuard::~CrashGuard() = default;

// Wall-clock time in ms since the epoch of an instant of this VM's monotonic clock.
std::int64_t CrashGuard::wallClockAt(Milliseconds instant) const
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return (std::chrono::duration_cast<Milliseconds>(now) - (m_clock.now() - instant)).count();
}

double CrashGuard::pendingWeight(const std::string& digest) const
{
    double weight = 0;
    for (const auto& pendingLoss : m_pendingLosses) {
        if (pendingLoss.loss.digest == digest && !isAliveAfter(pendingLoss))
            weight += pendingLoss.weight;
    }
    return weight;
}

std::vector<CrashRecord> CrashGuard::suspectedRecords(const std::string& digest) const
{
    std::vector<CrashRecord> records;
    for (const auto& suspected : m_suspectedLosses) {
        const auto& pendingLoss = suspected.loss;
        if (pendingLoss.loss.digest == digest && isUndecided(suspected))
            records.push_back(recordOf(pendingLoss, suspected.endsTrial));
    }
    return records;
}

bool CrashGuard::isUndecided(const SuspectedLoss& suspected) const
{
    if (suspected.evidence != LossEvidence::Silent)
        return false;
    const auto now = m_clock.now();
    return suspected.othersAliveSince ? now - *suspected.othersAliveSince < maxSuspicionTime
                                      : now - suspected.loss.event.at < maxCommonSilence;
}

std::unordered_map<std::string, std::set<std::string>> CrashGuard::silentIncarnations() const
{
    std::unordered_map<std::string, std::set<std::string>> silent;
    for (const auto& suspected : m_suspectedLosses) {
        if (!suspected.aliveAt)
            silent[suspected.loss.loss.digest].insert(suspected.loss.event.endpointId);
    }
    for (const auto& pendingLoss : m_pendingLosses) {
        if (!isAliveAfter(pendingLoss))
            silent[pendingLoss.loss.digest].insert(pendingLoss.event.endpointId);
    }
    return silent;
}

void CrashGuard::admit(const std::string& digest, std::function<void(bool isAdmitted)> callback)
{
    const auto now = m_clock.now();
    const auto trialFrom = m_quarantine.trialFrom(digest);
    if (!m_trials || trialFrom == Milliseconds { 0 }) {
        callback(admitAlone(digest));
        return;
    }
    if (now < m_quarantine.noTrialUntil(digest)) {
        callback(false);
        return;
    }
    m_trials->ask(
        digest, [this, digest, trialFrom, now, callback = std::move(callback)](const TrialDecision& decision) {
            if (decision.answer == TrialAnswer::Unknown) {
                callback(admitAlone(digest));
                return;
            }
            const bool isGranted = decision.answer == TrialAnswer::Granted && m_clock.now() - now <= maxTrialAnswerTime;
            if (isGranted) {
                m_quarantine.beginTrial(digest, m_clock.now());
                logTrial(digest, trialFrom);
            } else if (decision.answer == TrialAnswer::Denied) {
                m_quarantine.denyTrialUntil(digest, m_clock.now() + decision.wait);
            }
            callback(isGranted);
        });
}

bool CrashGuard::admitAlone(const std::string& digest)
{
    const auto now = m_clock.now();
    const bool isTrial = m_quarantine.isOnTrial(digest, now);
    const bool isAdmitted = m_quarantine.admit(digest, now);
    if (isTrial && isAdmitted)
        logTrial(digest, m_quarantine.heldUntil(digest));
    return isAdmitted;
}

void CrashGuard::logTrial(const std::string& digest, Milliseconds heldUntil) const
{
    if (m_metrics)
        m_metrics->quarantineTrials.Increment();
    LogEvent("quarantine.trial")
        .text("digest", digest)
        .number("since_hold_ms", (m_clock.now() - heldUntil).count())
        .write();
}

QuarantineStatus CrashGuard::quarantineStatus(const std::string& digest) const
{
    if (m_quarantine.isHeld(digest, m_clock.now()))
        return QuarantineStatus::Held;
    const auto pending = pendingWeight(digest);
    const auto suspected = suspectedRecords(digest);
    const bool isUndecided = pending > 0 || !suspected.empty();
    return isUndecided && m_quarantine.wouldBeHeld(digest, pending, suspected) ? QuarantineStatus::Pending
                                                                               : QuarantineStatus::Free;
}

Milliseconds CrashGuard::quarantineTimeLeft(const std::string& digest) const
{
    const auto end = m_trials ? m_quarantine.noTrialUntil(digest) : m_quarantine.heldUntil(digest);
    return std::max(end - m_clock.now(), m_settings.retryAfter);
}

bool CrashGuard::isSuspect(const std::string& digest) const
{
    return m_quarantine.isSuspect(digest) || pendingWeight(digest) > 0 || !suspectedRecords(digest).empty();
}

void CrashGuard::addListener(const std::string& digest, const std::shared_ptr<QuarantineListener>& listener)
{
    m_listeners.emplace(digest, listener);
}

void CrashGuard::removeListener(const std::string& digest, const QuarantineListener& listener)
{
    const auto [begin, end] = m_listeners.equal_range(digest);
    const auto found
        = std::find_if(begin, end, [&listener](const auto& entry) { return entry.second.get() == &listener; });
    if (found != end)
        m_listeners.erase(found);
}

void CrashGuard::noteLoss(LostRun loss)
{
    if (!m_settings.policies.has(Policy::CrashQuarantine))
        return;
    const auto& entry = loss.endpoint->entry();
    EndpointLoss event { entry.incarnationName(), entry.service, entry.availabilityZone, loss.digest, m_clock.now() };
    const auto lastAliveAt = loss.endpoint->lastAliveAt();
    const bool wasLost = m_losses.wasLostBefore(event.endpointId, loss.sentAt, lastAliveAt);
    m_losses.note(event, lastAliveAt);
    const bool isNotAtFault = wasLost || m_served.has(loss.digest, m_clock.now());
    const auto weight = isNotAtFault ? 0 : crashWeight(loss.run);
    if (weight <= 0 || m_pendingLosses.size() >= maxPendingLosses)
        return;
    m_pendingLosses.push_back({ std::move(loss), std::move(event), weight });
    scheduleEvaluation();
}

void CrashGuard::scheduleEvaluation()
{
    if (m_isEvaluationScheduled || m_pendingLosses.empty())
        return;
    m_isEvaluationScheduled = true;
    m_evaluationTimer.expires_after(
        m_pendingLosses.front().event.at + EndpointLosses::correlationWindow - m_clock.now());
    m_evaluationTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        m_isEvaluationScheduled = false;
        evaluate();
    });
}

void CrashGuard::evaluate()
{
    const auto due = m_clock.now() - EndpointLosses::correlationWindow;
    while (!m_pendingLosses.empty() && m_pendingLosses.front().event.at <= due) {
        const auto pendingLoss = std::move(m_pendingLosses.front());
        m_pendingLosses.pop_front();
        evaluate(pendingLoss);
    }
    scheduleEvaluation();
}

bool CrashGuard::isAliveAfter(const PendingLoss& pendingLoss)
{
    return pendingLoss.loss.run.failure == FailureKind::Silent
        && pendingLoss.loss.endpoint->lastAliveAt() > pendingLoss.event.at;
}

bool CrashGuard::isCorrelatedLoss(const PendingLoss& pendingLoss) const
{
    OtherEndpointCounts others;
    for (const auto& endpoint : m_directory.endpointsOf(pendingLoss.event.service)) {
        if (endpoint->entry().incarnationName() == pendingLoss.event.endpointId)
            continue;
        ++others.inService;
        others.inZone += endpoint->entry().availabilityZone == pendingLoss.event.zone;
    }
    // An endpoint that has announced its shutdown since the loss was already shutting down at the loss.
    return pendingLoss.loss.endpoint->entry().isDraining || m_losses.isCorrelatedLoss(pendingLoss.event, others);
}

CrashRecord CrashGuard::recordOf(const PendingLoss& pendingLoss, bool endsTrial) const
{
    const auto& loss = pendingLoss.loss;
    return { loss.digest, m_quarantine.crashName(loss.digest, pendingLoss.event.endpointId, loss.sentAt),
        loss.endpoint->entry().address.text(), pendingLoss.weight, loss.run.workedFor, endsTrial,
        wallClockAt(loss.sentAt), wallClockAt(pendingLoss.event.at),
        loss.run.wasThroughVm ? std::string() : pendingLoss.event.zone, loss.run.failure == FailureKind::Silent };
}

std::string CrashGuard::count(const PendingLoss& pendingLoss, bool endsTrial)
{
    const auto& digest = pendingLoss.loss.digest;
    const auto record = recordOf(pendingLoss, endsTrial);
    if (add(record, pendingLoss.event.at, CrashRecordSource::Own) && m_directReports)
        m_directReports->publish(record);
    for (const auto& unshared : m_quarantine.takeUnshared(digest)) {
        if (m_reports)
            m_reports->publish(unshared);
    }
    return record.endpointId;
}

void CrashGuard::evaluate(const PendingLoss& pendingLoss)
{
    const auto& loss = pendingLoss.loss;
    const bool isCorrelated = isCorrelatedLoss(pendingLoss);
    const bool endsTrial = m_quarantine.isOnTrial(loss.digest, m_clock.now());
    const bool isSilent = loss.run.failure == FailureKind::Silent;
    const auto evidence = !isSilent ? LossEvidence::ConnectionBroke
        : isAliveAfter(pendingLoss) ? LossEvidence::Alive
                                    : LossEvidence::Silent;
    if (m_metrics)
        m_metrics->countLossEvidence(evidence);
    LogEvent("quarantine.judged")
        .text("request", loss.requestId)
        .text("digest", loss.digest)
        .text("endpoint", pendingLoss.event.endpointId)
        .text("zone", pendingLoss.event.zone)
        .text("failure", traitsOf(loss.run.failure).name)
        .text("evidence", nameIn(lossEvidenceNames, evidence))
        .text("beginning", nameIn(runStartNames, loss.run.beginning))
        .number("worked_ms", loss.run.workedFor.count())
        .number("weight_percent", inPercent(pendingLoss.weight))
        .flag("through_vm", loss.run.wasThroughVm)
        .flag("went_with_others", isCorrelated)
        .write();
    if (isCorrelated)
        return;
    if (!isSilent) {
        count(pendingLoss, endsTrial);
        return;
    }
    if (m_suspectedLosses.size() >= maxSuspectedLosses)
        return;
    m_suspectedLosses.push_back({ pendingLoss, endsTrial, evidence });
    update(m_suspectedLosses.back(), silentIncarnations()[loss.digest]);
    scheduleCheck();
}

void CrashGuard::scheduleCheck()
{
    if (m_isCheckScheduled || m_suspectedLosses.empty())
        return;
    m_isCheckScheduled = true;
    m_checkTimer.expires_after(checkInterval);
    m_checkTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        m_isCheckScheduled = false;
        checkSuspectedLosses();
    });
}

void CrashGuard::checkSuspectedLosses()
{
    const auto now = m_clock.now();
    std::erase_if(m_suspectedLosses, [&](const SuspectedLoss& suspected) {
        const auto& loss = suspected.loss.loss;
        const bool wasShuttingDown = loss.endpoint->entry().isDraining && suspected.crashName.empty();
        return now - suspected.loss.event.at >= suspectedLossLifetime || m_served.has(loss.digest, now)
            || wasShuttingDown;
    });
    std::set<std::string> silent;
    auto silentUnder = silentIncarnations();
    for (auto& suspected : m_suspectedLosses) {
        update(suspected, silentUnder[suspected.loss.loss.digest]);
        if (!suspected.aliveAt)
            silent.insert(suspected.loss.event.endpointId);
    }
    std::erase_if(m_silentEndpoints, [&silent](const auto& entry) { return !silent.contains(entry.first); });
    if (m_suspectedLosses.empty())
        m_witnesses.forget();
    scheduleCheck();
}

std::shared_ptr<RelayEndpoint> CrashGuard::listedAtAddress(const SuspectedLoss& suspected) const
{
    return m_directory.findAt(suspected.loss.loss.endpoint->entry().address.text());
}

bool CrashGuard::isReplaced(const SuspectedLoss& suspected) const
{
    const auto& endpoint = *suspected.loss.loss.endpoint;
    const auto listed = listedAtAddress(suspected);
    if (listed && listed.get() != &endpoint)
        return listed->entry().incarnationName() != suspected.loss.event.endpointId;
    return endpoint.isReplaced();
}

bool CrashGuard::isRemoved(const SuspectedLoss& suspected) const
{
    return suspected.loss.loss.endpoint->isRemoved() && !listedAtAddress(suspected);
}

void CrashGuard::observeOthers(SuspectedLoss& suspected, const std::set<std::string>& silent)
{
    const auto& event = suspected.loss.event;
    const auto aliveAt = m_witnesses.lastAliveAt(event, silent);
    suspected.areOthersSilent = aliveAt && *aliveAt <= event.at;
    if (!aliveAt || *aliveAt <= std::max(event.at, suspected.othersAliveAt))
        return;
    if (!suspected.othersAliveSince || *aliveAt - suspected.othersAliveAt > maxWitnessGap)
        suspected.othersAliveSince = aliveAt;
    suspected.othersAliveAt = *aliveAt;
}

std::optional<Milliseconds> CrashGuard::firstSignOfLife(const SuspectedLoss& suspected) const
{
    if (suspected.aliveAt)
        return suspected.aliveAt;
    auto lastAliveAt = suspected.loss.loss.endpoint->lastAliveAt();
    // The entry may have expired and be listed again.
    const auto listed = listedAtAddress(suspected);
    if (listed && listed->entry().incarnationName() == suspected.loss.event.endpointId)
        lastAliveAt = std::max(lastAliveAt, listed->lastAliveAt());
    return lastAliveAt > suspected.loss.event.at ? std::optional(lastAliveAt) : std::nullopt;
}

bool CrashGuard::isReplacedBefore(const SuspectedLoss& suspected, Milliseconds aliveAt) const
{
    const auto listed = listedAtAddress(suspected);
    if (!listed || listed->entry().incarnationName() == suspected.loss.event.endpointId
        || listed->entry().startTime == 0)
        return false;
    return static_cast<std::int64_t>(listed->entry().startTime) <= wallClockAt(aliveAt);
}

void CrashGuard::update(SuspectedLoss& suspected, const std::set<std::string>& silent)
{
    const auto now = m_clock.now();
    const auto& pendingLoss = suspected.loss;
    const auto& id = pendingLoss.event.endpointId;
    // The endpoint was replaced before its first sign of life, which is final.
    if (suspected.evidence == LossEvidence::EntryGone && suspected.aliveAt)
        return;
    suspected.aliveAt = firstSignOfLife(suspected);
    // Another incarnation may answer at the address of an endpoint whose entry is gone.
    if (!suspected.aliveAt && !isReplaced(suspected) && !isRemoved(suspected))
        probe(suspected, now);
    if (!suspected.aliveAt && suspected.evidence == LossEvidence::Silent)
        observeOthers(suspected, silent);
    const auto& asked = m_silentEndpoints[id];
    const bool hasBeenAlive = suspected.aliveAt && !isReplacedBefore(suspected, *suspected.aliveAt);
    const auto silentBesideOthers = suspected.othersAliveAt - suspected.othersAliveSince.value_or(Milliseconds { 0 });
    const auto evidence = judgeSilence(
        { hasBeenAlive, isReplaced(suspected) || (suspected.aliveAt && !hasBeenAlive), isRemoved(suspected),
            suspected.areOthersSilent, silentBesideOthers, asked.failedConnects, asked.unansweredProbes });
    const bool isCounted = !suspected.crashName.empty();
    if (evidence == suspected.evidence || (isCounted && evidence != LossEvidence::Alive))
        return;
    suspected.evidence = evidence;
    if (m_metrics)
        m_metrics->countLossEvidence(evidence);
    LogEvent(isConfirmed(evidence) ? "quarantine.confirmed" : "quarantine.taken-back")
        .text("request", pendingLoss.loss.requestId)
        .text("digest", pendingLoss.loss.digest)
        .text("endpoint", id)
        .text("evidence", nameIn(lossEvidenceNames, evidence))
        .number("after_ms", (now - pendingLoss.event.at).count())
        .flag("was_counted", isCounted)
        .write();
    if (isConfirmed(evidence))
        suspected.crashName = count(pendingLoss, suspected.endsTrial);
    else if (isCounted)
        takeBack(suspected);
}

void CrashGuard::takeBack(SuspectedLoss& suspected)
{
    const auto& digest = suspected.loss.loss.digest;
    const auto crashName = std::exchange(suspected.crashName, {});
    m_quarantine.withdraw(digest, crashName, *suspected.aliveAt);
    if (m_reports)
        m_reports->withdrawOne(digest, crashName);
    if (m_directReports)
        m_directReports->withdrawOne(digest, crashName);
}

void CrashGuard::probe(const SuspectedLoss& suspected, Milliseconds now)
{
    auto& asked = m_silentEndpoints[suspected.loss.event.endpointId];
    const bool isLate = now - suspected.loss.event.at >= probeTime;
    if (!m_probe || isLate || asked.isAsked || now < asked.nextProbeAt)
        return;
    asked.isAsked = true;
    asked.nextProbeAt = now + (suspected.crashName.empty() ? probeInterval : lateProbeInterval);
    m_probe->probe(suspected.loss.loss.endpoint, [this, id = suspected.loss.event.endpointId](ProbeResult result) {
        const auto known = m_silentEndpoints.find(id);
        if (known == m_silentEndpoints.end())
            return;
        auto& endpoint = known->second;
        endpoint.isAsked = false;
        if (result == ProbeResult::Answered)
            endpoint.failedConnects = endpoint.unansweredProbes = 0;
        else if (result == ProbeResult::NotConnected)
            ++endpoint.failedConnects;
        else if (result == ProbeResult::Unanswered) {
            endpoint.failedConnects = 0;
            ++endpoint.unansweredProbes;
        }
    });
}

bool CrashGuard::add(const CrashRecord& record, Milliseconds lostAt, CrashRecordSource source)
{
    const auto now = m_clock.now();
    const bool wasHeld = m_quarantine.isHeld(record.digest, now);
    const bool isShared = source != CrashRecordSource::Own;
    if (!m_quarantine.add(record, lostAt, isShared))
        return false;
    if (m_metrics)
        m_metrics->countCrashRecord(source);
    if (isShared) {
        LogEvent("quarantine.reported")
            .text("digest", record.digest)
            .text("endpoint", record.endpointId)
            .text("source", nameIn(crashRecordSourceNames, source))
            .number("age_ms", (now - lostAt).count())
            .flag("ends_trial", record.endsTrial)
            .write();
    }
    if (wasHeld || !m_quarantine.isHeld(record.digest, now))
        return true;
    if (m_metrics)
        m_metrics->quarantineHolds.Increment();
    logHeld(record, now);
    notifyListeners(record.digest);
    return true;
}

void CrashGuard::logHeld(const CrashRecord& last, Milliseconds now) const
{
    const auto evidence = m_quarantine.evidence(last.digest);
    LogEvent("quarantine.held")
        .text("digest", last.digest)
        .text("last_endpoint", last.endpointId)
        .number("for_ms", quarantineTimeLeft(last.digest).count())
        .number("own", static_cast<std::int64_t>(evidence.own))
        .number("reported", static_cast<std::int64_t>(evidence.reported))
        .number("concurrent", static_cast<std::int64_t>(evidence.concurrent))
        .number("score_percent", inPercent(evidence.score))
        .number("since_first_loss_ms", (now - evidence.firstLossAt).count())
        .number("suspects", static_cast<std::int64_t>(m_quarantine.suspectCount()))
        .write();
}

// Posted, because a call that ends removes itself from the listeners.
void CrashGuard::notifyListeners(const std::string& digest)
{
    const auto [begin, end] = m_listeners.equal_range(digest);
    for (auto registration = begin; registration != end; ++registration)
        boost::asio::post(m_ioContext, [listener = registration->second] { listener->requestQuarantined(); });
}

void CrashGuard::noteProducing(const std::string& digest, Milliseconds producedFor)
{
    if (isSuspect(digest) && provesHarmless(producedFor, m_quarantine.longestWork(digest)))
        noteHarmless(digest);
}

void CrashGuard::noteHarmless(const std::string& digest)
{
    m_served.note(digest, m_clock.now());
    m_pendingLosses.erase(std::remove_if(m_pendingLosses.begin(), m_pendingLosses.end(),
                              [&digest](const PendingLoss& pendingLoss) { return pendingLoss.loss.digest == digest; }),
        m_pendingLosses.end());
    std::erase_if(
        m_suspectedLosses, [&digest](const SuspectedLoss& suspected) { return suspected.loss.loss.digest == digest; });
    const bool wasSuspect = m_quarantine.isSuspect(digest);
    const auto endpoints = m_quarantine.clear(digest, m_clock.now());
    if (!wasSuspect)
        return;
    LogEvent("quarantine.cleared")
        .text("digest", digest)
        .number("taken_back", static_cast<std::int64_t>(endpoints.size()))
        .write();
    if (m_reports && !endpoints.empty())
        m_reports->withdraw(digest, endpoints);
    if (m_directReports)
        m_directReports->withdraw(digest, endpoints);
}

void CrashGuard::addRemoteRecord(const CrashRecord& record)
{
    const auto now = m_clock.now();
    if (!m_settings.policies.has(Policy::CrashQuarantine) || m_served.has(record.digest, now))
        return;
    // A record that arrives late, or again after a restart of this VM, counts from the time of the loss.
    const auto age
        = std::clamp(Milliseconds { wallClockAt(now) - record.lostAt }, Milliseconds { 0 }, Quarantine::recordLifetime);
    const auto lostAt = record.lostAt > 0 ? now - age : now;
    if (!m_quarantine.isWithdrawn(record.digest, record.endpointId, lostAt))
        add(record, lostAt, CrashRecordSource::Store);
}

bool CrashGuard::addReportedCrash(const KnownCrash& crash)
{
    auto record = crash.record;
    if (!m_settings.policies.has(Policy::CrashQuarantine) || m_served.has(record.digest, m_clock.now())
        || m_quarantine.isClearedSince(record.digest, crash.lostAt)
        || m_quarantine.isWithdrawn(record.digest, record.endpointId, crash.lostAt))
        return false;
    const auto ranFor = record.lostAt - record.sentAt;
    record.lostAt = wallClockAt(crash.lostAt);
    record.sentAt = record.lostAt - ranFor;
    return add(record, crash.lostAt, CrashRecordSource::Vm);
}

bool CrashGuard::noteServedElsewhere(const std::string& digest, Milliseconds servedAt)
{
    if (!m_quarantine.clearBefore(digest, servedAt))
        return false;
    m_served.note(digest, m_clock.now());
    return true;
}

std::optional<KnownCrash> CrashGuard::knownCrash(const std::string& digest, const std::string& endpointId) const
{
    for (auto& crash : m_quarantine.records(digest)) {
        if (crash.record.endpointId == endpointId)
            return std::move(crash);
    }
    return std::nullopt;
}

void CrashGuard::removeRemoteRecord(const std::string& digest, const std::string& endpointId)
{
    const bool wasSuspect = m_quarantine.isSuspect(digest);
    m_quarantine.remove(digest, endpointId);
    // Other VMs may still have the records and would report them again.
    if (wasSuspect && !m_quarantine.isSuspect(digest))
        m_quarantine.clearBefore(digest, m_clock.now());
}

void CrashGuard::scheduleExpiry()
{
    m_expiryTimer.expires_after(expiryInterval);
    m_expiryTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        m_quarantine.forgetOld(m_clock.now());
        scheduleExpiry();
    });
}

} // namespace lupinknot::internal
