// Journal records of generations that other VMs run and that this VM can take over.
//
// All rules that fence off an old runner are in this class:
//  - A record that has been taken over is sealed: further items of its runner are refused. The runner shows its caller
//    nothing that is not acknowledged, so it can show nothing more.
//  - Items of an epoch below the minimum are refused. raiseMinimumEpoch() takes the minimum from each view that this
//    VM learns of.
//  - A key has one record. A second runner for it is refused until the first one's record has been removed.
//
//     ReplicaStore store;
//     store.open(epoch, record);                       // Applied
//     store.append(epoch, runner, key, 0, tokens);     // Applied
//     auto taken = store.seal(key, now);               // The record, as far as it was acknowledged.
//     store.append(epoch, runner, key, 3, more);       // Refused
#pragma once

#include "lupinknot/EnumNames.h"
#include "lupinknot/ReplicaRecord.h"
#include <functional>
#include <mutex>
#include <unordered_map>

namespace lupinknot {

enum class JournalResult {
    Applied,
    Refused, // Another VM is responsible now; the runner must stop.
};

inline constexpr std::array<EnumName<JournalResult>, 2> journalResultNames { {
    { JournalResult::Applied, "applied" },
    { JournalResult::Refused, "refused" },
} };

// Thread-safe, protected by its own lock.
class ReplicaStore {
public:
    // Begins a record. A record of the same generation that exists already is kept with everything it holds.
    JournalResult open(std::uint64_t epoch, ReplicaRecord);
    // Adds tokens. They may overlap with those already held; a gap is refused.
    JournalResult append(std::uint64_t epoch, const ViewMember& runner, const std::string& key, std::size_t position,
        std::vector<Token>);
    JournalResult setPromptIds(
        std::uint64_t epoch, const ViewMember& runner, const std::string& key, std::vector<TokenId>);
    JournalResult setAttempt(std::uint64_t epoch, const ViewMember& runner, const std::string& key, JournaledAttempt);
    JournalResult finish(std::uint64_t epoch, const ViewMember& runner, const std::string& key, FinishReason);
    // Removes a record that its runner no longer needs.
    void drop(const ViewMember& runner, const std::string& key);

    // The record of a key, sealed or not.
    std::optional<ReplicaRecord> find(const std::string& key) const;
    // Takes the record over: its runner is refused from now on. Empty when there is none or it has already been taken
    // over.
    std::optional<ReplicaRecord> seal(const std::string& key, Milliseconds now);
    // Refuses all items of lower epochs from now on.
    void raiseMinimumEpoch(std::uint64_t epoch);
    // Marks a runner as lost, or as back. Records without a runner, and those taken over, are removed by sweep() once
    // the retention time has passed.
    void runnerLost(const std::string& vm, Milliseconds now);
    void runnerBack(const ViewMember& runner);
    void sweep(Milliseconds now, Milliseconds retention);
    std::size_t size() const;

private:
    struct Entry {
        ReplicaRecord record;
        bool isSealed { false };
        std::optional<Milliseconds> orphanedAt;
    };

    using Change = std::function<JournalResult(ReplicaRecord&)>;

    // Changes the record of a key if its runner may still write to it.
    JournalResult write(std::uint64_t epoch, const ViewMember& runner, const std::string& key, const Change&);

    mutable std::mutex m_mutex;
    // Both are protected by m_mutex.
    std::unordered_map<std::string, Entry> m_entries;
    std::uint64_t m_minimumEpoch { 0 };
};

} // namespace lupinknot
