#include "lupinknot/ReplicaStore.h"

#include <algorithm>

namespace lupinknot {

JournalResult ReplicaStore::open(std::uint64_t epoch, ReplicaRecord record)
{
    const std::lock_guard lock(m_mutex);
    if (epoch < m_minimumEpoch)
        return JournalResult::Refused;
    const auto found = m_entries.find(record.request.key);
    if (found != m_entries.end()) {
        auto& held = found->second.record;
        const bool isSameRunner = held.runner == record.runner;
        if (!isSameRunner || found->second.isSealed)
            return JournalResult::Refused;
        // The tokens held are kept, because callers may have seen them. The runner is about to send them again.
        if (held.request.generation == record.request.generation) {
            found->second.orphanedAt.reset();
            return JournalResult::Applied;
        }
    }
    const auto key = record.request.key;
    m_entries[key] = { std::move(record), false, std::nullopt };
    return JournalResult::Applied;
}

JournalResult ReplicaStore::append(std::uint64_t epoch, const ViewMember& runner, const std::string& key,
    std::size_t position, std::vector<Token> tokens)
{
    return write(epoch, runner, key, [&](ReplicaRecord& record) {
        if (position > record.tokens.size())
            return JournalResult::Refused;
        for (auto& token : tokens) {
            if (position++ == record.tokens.size())
                record.tokens.push_back(std::move(token));
        }
        return JournalResult::Applied;
    });
}

JournalResult ReplicaStore::setPromptIds(
    std::uint64_t epoch, const ViewMember& runner, const std::string& key, std::vector<TokenId> ids)
{
    return write(epoch, runner, key, [&](ReplicaRecord& record) {
        record.promptIds = std::move(ids);
        return JournalResult::Applied;
    });
}

JournalResult ReplicaStore::setAttempt(
    std::uint64_t epoch, const ViewMember& runner, const std::string& key, JournaledAttempt attempt)
{
    return write(epoch, runner, key, [&](ReplicaRecord& record) {
        record.attempt = std::move(attempt);
        return JournalResult::Applied;
    });
}

JournalResult ReplicaStore::finish(
    std::uint64_t epoch, const ViewMember& runner, const std::string& key, FinishReason reason)
{
    return write(epoch, runner, key, [&](ReplicaRecord& record) {
        record.finishReason = reason;
        return JournalResult::Applied;
    });
}

void ReplicaStore::drop(const ViewMember& runner, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(key);
    if (found != m_entries.end() && found->second.record.runner == runner)
        m_entries.erase(found);
}

std::optional<ReplicaRecord> ReplicaStore::find(const std::string& key) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? std::nullopt : std::make_optional(found->second.record);
}

std::optional<ReplicaRecord> ReplicaStore::seal(const std::string& key, Milliseconds now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.isSealed)
        return std::nullopt;
    found->second.isSealed = true;
    found->second.orphanedAt = now;
    return found->second.record;
}

void ReplicaStore::raiseMinimumEpoch(std::uint64_t epoch)
{
    const std::lock_guard lock(m_mutex);
    m_minimumEpoch = std::max(m_minimumEpoch, epoch);
}

void ReplicaStore::runnerLost(const std::string& vm, Milliseconds now)
{
    const std::lock_guard lock(m_mutex);
    for (auto& entry : m_entries) {
        if (entry.second.record.runner.vm == vm && !entry.second.orphanedAt)
            entry.second.orphanedAt = now;
    }
}

void ReplicaStore::runnerBack(const ViewMember& runner)
{
    const std::lock_guard lock(m_mutex);
    for (auto& entry : m_entries) {
        if (entry.second.record.runner == runner && !entry.second.isSealed)
            entry.second.orphanedAt.reset();
    }
}

void ReplicaStore::sweep(Milliseconds now, Milliseconds retention)
{
    const std::lock_guard lock(m_mutex);
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const auto orphanedAt = entry->second.orphanedAt;
        const bool isExpired = orphanedAt && now - *orphanedAt >= retention;
        entry = isExpired ? m_entries.erase(entry) : std::next(entry);
    }
}

std::size_t ReplicaStore::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_entries.size();
}

JournalResult ReplicaStore::write(
    std::uint64_t epoch, const ViewMember& runner, const std::string& key, const Change& change)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(key);
    if (epoch < m_minimumEpoch || found == m_entries.end())
        return JournalResult::Refused;
    auto& entry = found->second;
    const bool isFenced = entry.isSealed || !(entry.record.runner == runner);
    return isFenced ? JournalResult::Refused : change(entry.record);
}

} // namespace lupinknot
