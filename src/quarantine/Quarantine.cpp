#include "quarantine/Quarantine.h"

#include "common/NameHash.h"
#include "quarantine/CrashWeight.h"
#include "quarantine/EndpointLosses.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace lupinknot::internal {

namespace {

// Weight of a further crash at the same address.
constexpr double repeatedCrashShare = 0.5;

// Connections to endpoints that end together break within milliseconds; the rest is for busy VMs.
constexpr Milliseconds simultaneousLossWindow { 50 };

// True if a failure of the zone may have caused both losses. A request that crashes endpoints loses concurrent runs at
// different times.
bool areConcurrentLosses(const CrashRecord& a, const CrashRecord& b)
{
    const bool mayBeInSameZone = a.zone == b.zone || a.zone.empty() || b.zone.empty();
    const auto window = a.wasSilent || b.wasSilent ? EndpointLosses::correlationWindow : simultaneousLossWindow;
    const auto apart = Milliseconds { std::abs(a.lostAt - b.lostAt) };
    return mayBeInSameZone && apart <= window && a.sentAt < b.lostAt && b.sentAt < a.lostAt;
}

Milliseconds spreadOf(std::string_view vmName)
{
    const auto spread = static_cast<double>(Quarantine::holdSpread.count());
    return Milliseconds { static_cast<std::int64_t>(spread * fractionOfName(vmName)) };
}

} // namespace

Quarantine::Quarantine(std::string_view vmName)
    : m_firstHold(firstHold + spreadOf(vmName))
{
}

bool Quarantine::add(const CrashRecord& record, Milliseconds at, bool isShared)
{
    if (!m_suspects.count(record.digest))
        removeOldestIfFull();
    auto& suspect = m_suspects[record.digest];
    const auto known = suspect.entries.find(record.endpointId);
    if (known != suspect.entries.end()) {
        // Another VM may report a trial's loss that is already stored; each loss that this VM sees is a new one.
        const bool endsTrial = record.endsTrial && !(isShared && known->second.record.endsTrial);
        // Several runs of the request may have been lost with the endpoint; the one that had just begun counts most.
        const bool isHeavier = record.weight > known->second.record.weight;
        if (!endsTrial && !isHeavier)
            return false;
        known->second.record.endsTrial = known->second.record.endsTrial || endsTrial;
        known->second.record.weight = std::max(known->second.record.weight, record.weight);
    } else {
        const auto maxRecords = maxRecordsPerSuspect + (record.endsTrial ? maxTrialRecordsPerSuspect : 0);
        if (suspect.entries.size() >= maxRecords)
            removeUncounted(suspect);
        if (suspect.entries.size() < maxRecords)
            suspect.entries.emplace(record.endpointId, Entry { record, at, isShared, !isShared });
        else if (!record.endsTrial)
            return false;
    }
    suspect.lastAt = std::max(suspect.lastAt, at);
    suspect.hasFailedTrial = suspect.hasFailedTrial || record.endsTrial;
    const bool renewsHold = record.endsTrial && suspect.heldUntil > Milliseconds { 0 };
    if (renewsHold || scoreOf(suspect) >= holdThreshold)
        hold(suspect);
    return true;
}

std::string Quarantine::crashName(const std::string& digest, const std::string& endpointId, Milliseconds sentAt) const
{
    const auto suspect = m_suspects.find(digest);
    auto name = endpointId;
    if (suspect == m_suspects.end())
        return name;
    const auto& entries = suspect->second.entries;
    for (std::size_t number = 2; number <= maxRecordsPerSuspect; ++number) {
        const auto known = entries.find(name);
        if (known == entries.end() || known->second.at >= sentAt)
            break;
        name = endpointId + "+" + std::to_string(number);
    }
    return name;
}

void Quarantine::hold(Suspect& suspect) const
{
    suspect.trialUntil = Milliseconds { 0 };
    suspect.heldUntil = suspect.lastAt + (suspect.hasFailedTrial ? longHold : m_firstHold);
}

bool Quarantine::isOnTrial(const std::string& digest, Milliseconds now) const
{
    const auto suspect = m_suspects.find(digest);
    return suspect != m_suspects.end() && suspect->second.heldUntil > Milliseconds { 0 }
    && now >= suspect->second.heldUntil;
}

bool Quarantine::admit(const std::string& digest, Milliseconds now)
{
    if (isHeld(digest, now))
        return false;
    if (!isOnTrial(digest, now))
        return true;
    auto& trialUntil = m_suspects[digest].trialUntil;
    if (now < trialUntil)
        return false;
    trialUntil = now + maxTrialTime;
    return true;
}

Milliseconds Quarantine::trialFrom(const std::string& digest) const
{
    const auto suspect = m_suspects.find(digest);
    if (suspect == m_suspects.end() || suspect->second.heldUntil == Milliseconds { 0 })
        return Milliseconds { 0 };
    const auto spread = suspect->second.hasFailedTrial ? Milliseconds { 0 } : m_firstHold - firstHold;
    return suspect->second.heldUntil - spread;
}

void Quarantine::beginTrial(const std::string& digest, Milliseconds now)
{
    const auto suspect = m_suspects.find(digest);
    if (suspect == m_suspects.end())
        return;
    suspect->second.heldUntil = std::min(suspect->second.heldUntil, now);
    suspect->second.trialUntil = now + maxTrialTime;
}

void Quarantine::denyTrialUntil(const std::string& digest, Milliseconds instant)
{
    const auto suspect = m_suspects.find(digest);
    if (suspect != m_suspects.end())
        suspect->second.trialUntil = std::max(suspect->second.trialUntil, instant);
}

Milliseconds Quarantine::noTrialUntil(const std::string& digest) const
{
    const auto suspect = m_suspects.find(digest);
    return suspect == m_suspects.end() ? Milliseconds { 0 } : std::max(trialFrom(digest), suspect->second.trialUntil);
}

void Quarantine::remove(const std::string& digest, const std::string& endpointId)
{
    const auto suspect = m_suspects.find(digest);
    if (suspect == m_suspects.end())
        return;
    auto& entries = suspect->second.entries;
    const auto known = entries.find(endpointId);
    const bool endedTrial = known != entries.end() && known->second.record.endsTrial;
    entries.erase(endpointId);
    if (entries.empty())
        m_suspects.erase(suspect);
    else if (scoreOf(suspect->second) < holdThreshold)
        suspect->second.heldUntil = Milliseconds { 0 };
    else if (endedTrial)
        endTrialHold(suspect->second);
}

// Without a failed trial the hold is the first one, which has usually ended, so that another trial may begin.
void Quarantine::endTrialHold(Suspect& suspect) const
{
    const auto endsTrial = [](const auto& entry) { return entry.second.record.endsTrial; };
    suspect.hasFailedTrial = std::any_of(suspect.entries.begin(), suspect.entries.end(), endsTrial);
    suspect.lastAt = Milliseconds { 0 };
    for (const auto& [id, entry] : suspect.entries)
        suspect.lastAt = std::max(suspect.lastAt, entry.at);
    hold(suspect);
}

bool Quarantine::withdraw(const std::string& digest, const std::string& endpointId, Milliseconds aliveAt)
{
    if (isWithdrawn(digest, endpointId, aliveAt))
        return false;
    if (m_withdrawnAt.size() >= maxWithdrawals) {
        m_withdrawnAt.erase(std::min_element(m_withdrawnAt.begin(), m_withdrawnAt.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; }));
    }
    m_withdrawnAt[{ digest, endpointId }] = aliveAt;
    const auto suspect = m_suspects.find(digest);
    if (suspect == m_suspects.end())
        return true;
    const auto known = suspect->second.entries.find(endpointId);
    if (known != suspect->second.entries.end() && known->second.at <= aliveAt)
        remove(digest, endpointId);
    return true;
}

bool Quarantine::isWithdrawn(const std::string& digest, const std::string& endpointId, Milliseconds lostAt) const
{
    const auto withdrawn = m_withdrawnAt.find({ digest, endpointId });
    return withdrawn != m_withdrawnAt.end() && lostAt <= withdrawn->second;
}

std::vector<CrashRecord> Quarantine::takeUnshared(const std::string& digest)
{
    std::vector<CrashRecord> unshared;
    const auto suspect = m_suspects.find(digest);
    if (suspect == m_suspects.end() || scoreOf(suspect->second) < shareThreshold)
        return unshared;
    for (auto& [id, entry] : suspect->second.entries) {
        if (!std::exchange(entry.isShared, true))
            unshared.push_back(entry.record);
    }
    return unshared;
}

std::vector<std::string> Quarantine::clear(const std::string& digest, Milliseconds now)
{
    std::vector<std::string> shared;
    const auto suspect = m_suspects.find(digest);
    if (suspect == m_suspects.end())
        return shared;
    if (scoreOf(suspect->second) + fullSuspicion >= holdThreshold) {
        for (const auto& [id, entry] : suspect->second.entries) {
            if (entry.isShared)
                shared.push_back(id);
        }
    }
    m_suspects.erase(suspect);
    noteCleared(digest, now);
    return shared;
}

bool Quarantine::clearBefore(const std::string& digest, Milliseconds servedAt)
{
    if (isClearedSince(digest, servedAt))
        return false;
    noteCleared(digest, servedAt);
    const auto suspect = m_suspects.find(digest);
    if (suspect == m_suspects.end())
        return true;
    std::erase_if(suspect->second.entries, [servedAt](const auto& entry) { return entry.second.at <= servedAt; });
    if (suspect->second.entries.empty())
        m_suspects.erase(suspect);
    else if (scoreOf(suspect->second) < holdThreshold)
        suspect->second.heldUntil = Milliseconds { 0 };
    return true;
}

bool Quarantine::isClearedSince(const std::string& digest, Milliseconds lostAt) const
{
    const auto cleared = m_clearedAt.find(digest);
    return cleared != m_clearedAt.end() && lostAt <= cleared->second;
}

void Quarantine::noteCleared(const std::string& digest, Milliseconds at)
{
    if (m_clearedAt.size() >= maxSuspects && !m_clearedAt.contains(digest)) {
        m_clearedAt.erase(std::min_element(m_clearedAt.begin(), m_clearedAt.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; }));
    }
    auto& clearedAt = m_clearedAt.try_emplace(digest, at).first->second;
    clearedAt = std::max(clearedAt, at);
}

void Quarantine::forgetOld(Milliseconds now)
{
    const auto isOld = [now](const auto& entry) { return now - entry.second >= recordLifetime; };
    std::erase_if(m_clearedAt, isOld);
    std::erase_if(m_withdrawnAt, isOld);
    for (auto suspect = m_suspects.begin(); suspect != m_suspects.end();) {
        auto& entries = suspect->second.entries;
        for (auto entry = entries.begin(); entry != entries.end();)
            entry = now - entry->second.at < recordLifetime ? std::next(entry) : entries.erase(entry);
        // The loss of a trial that was not stored may have renewed the hold.
        const bool isOver = entries.empty() && now >= suspect->second.heldUntil;
        suspect = isOver ? m_suspects.erase(suspect) : std::next(suspect);
    }
}

std::vector<const CrashRecord*> Quarantine::countedRecords(const Suspect& suspect)
{
    std::vector<const CrashRecord*> records;
    for (const auto& entry : suspect.entries)
        records.push_back(&entry.second.record);
    std::sort(records.begin(), records.end(), [](const auto* a, const auto* b) { return a->lostAt < b->lostAt; });
    std::vector<const CrashRecord*> counted;
    for (const auto* record : records) {
        const bool isConcurrentLoss = std::any_of(counted.begin(), counted.end(),
            [record](const CrashRecord* other) { return areConcurrentLosses(*record, *other); });
        if (!isConcurrentLoss)
            counted.push_back(record);
    }
    return counted;
}

void Quarantine::removeUncounted(Suspect& suspect)
{
    const auto counted = countedRecords(suspect);
    const auto isUncounted = [&counted](const auto& entry) {
        return std::find(counted.begin(), counted.end(), &entry.second.record) == counted.end();
    };
    const auto found = std::find_if(suspect.entries.begin(), suspect.entries.end(), isUncounted);
    if (found != suspect.entries.end())
        suspect.entries.erase(found);
}

double Quarantine::scoreOf(const Suspect& suspect)
{
    // The greatest weight of each address counts in full.
    std::map<std::string, double> maxWeights;
    double sum = 0;
    for (const auto* record : countedRecords(suspect)) {
        auto& maxWeight = maxWeights[record->address];
        maxWeight = std::max(maxWeight, record->weight);
        sum += repeatedCrashShare * record->weight;
    }
    for (const auto& [address, weight] : maxWeights)
        sum += (1 - repeatedCrashShare) * weight;
    return sum;
}

Milliseconds Quarantine::heldUntil(const std::string& digest) const
{
    const auto suspect = m_suspects.find(digest);
    return suspect == m_suspects.end() ? Milliseconds { 0 } : suspect->second.heldUntil;
}

bool Quarantine::wouldBeHeld(const std::string& digest, double more, const std::vector<CrashRecord>& records) const
{
    const auto known = m_suspects.find(digest);
    auto suspect = known == m_suspects.end() ? Suspect {} : known->second;
    for (const auto& record : records) {
        auto& entry = suspect.entries.try_emplace(record.endpointId, Entry { record }).first->second;
        entry.record.weight = std::max(entry.record.weight, record.weight);
    }
    return scoreOf(suspect) + more >= holdThreshold;
}

QuarantineEvidence Quarantine::evidence(const std::string& digest) const
{
    QuarantineEvidence evidence;
    const auto suspect = m_suspects.find(digest);
    if (suspect == m_suspects.end())
        return evidence;
    const auto& entries = suspect->second.entries;
    evidence.score = scoreOf(suspect->second);
    evidence.concurrent = entries.size() - countedRecords(suspect->second).size();
    evidence.firstLossAt = suspect->second.lastAt;
    for (const auto& [id, entry] : entries) {
        ++(entry.isOwn ? evidence.own : evidence.reported);
        evidence.firstLossAt = std::min(evidence.firstLossAt, entry.at);
    }
    return evidence;
}

std::vector<KnownCrash> Quarantine::records(const std::string& digest) const
{
    std::vector<KnownCrash> records;
    const auto suspect = m_suspects.find(digest);
    if (suspect == m_suspects.end())
        return records;
    for (const auto& [id, entry] : suspect->second.entries)
        records.push_back({ entry.record, entry.at });
    return records;
}

std::vector<std::string> Quarantine::suspects(double minScore, std::size_t max) const
{
    std::vector<std::pair<Milliseconds, std::string>> found;
    for (const auto& [digest, suspect] : m_suspects) {
        // No record weighs more than one.
        if (static_cast<double>(suspect.entries.size()) >= minScore && scoreOf(suspect) >= minScore)
            found.emplace_back(suspect.lastAt, digest);
    }
    std::sort(found.begin(), found.end(), std::greater<>());
    std::vector<std::string> digests;
    for (std::size_t i = 0; i < std::min(max, found.size()); ++i)
        digests.push_back(std::move(found[i].second));
    return digests;
}

Milliseconds Quarantine::longestWork(const std::string& digest) const
{
    Milliseconds longest { 0 };
    const auto suspect = m_suspects.find(digest);
    if (suspect == m_suspects.end())
        return longest;
    for (const auto& [id, entry] : suspect->second.entries)
        longest = std::max(longest, entry.record.workedFor);
    return longest;
}

void Quarantine::removeOldestIfFull()
{
    if (m_suspects.size() < maxSuspects)
        return;
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(),
        [](const auto& a, const auto& b) { return a.second.lastAt < b.second.lastAt; }));
}

} // namespace lupinknot::internal
