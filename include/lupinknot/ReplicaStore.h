// The journal that a VM keeps for others: the generations it can take over.
//
// Every rule that keeps an old runner out stands here:
//  - A record that has been taken over is sealed: its runner's further items are refused, and the runner, which shows
//  its
//    caller nothing that is not acknowledged, can show nothing more.
//  - Items of an epoch below the floor are refused. The floor rises with each view that this VM hears of.
//  - A key has one record. A second runner for it is refused until the first one's record is gone.
//
//     ReplicaStore store;
//     store.open(epoch, record);                       // Applied
//     store.append(epoch, runner, key, 0, tokens);     // Applied
//     auto taken = store.seal(key, now);                  // The record, as far as it was acknowledged.
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

// Thread-safe, under one lock of its own.
class ReplicaStore {
public:
    // Begins a record, or takes up that of the same generation with all that it holds.
    JournalResult open(std::uint64_t epoch, ReplicaRecord);
    // Adds tokens. They may overlap with those held; a gap is refused.
    JournalResult append(std::uint64_t epoch, const ViewMember& runner, const std::string& key, std::size_t position,
        std::vector<Token>);
    JournalResult setPromptIds(
        std::uint64_t epoch, const ViewMember& runner, const std::string& key, std::vector<TokenId>);
    JournalResult setAttempt(std::uint64_t epoch, const ViewMember& runner, const std::string& key, JournaledAttempt);
    JournalResult finish(std::uint64_t epoch, const ViewMember& runner, const std::string& key, FinishReason);
    // The runner needs the record no longer.
    void drop(const ViewMember& runner, const std::string& key);

    // The record of a key, sealed or not.
    std::optional<ReplicaRecord> find(const std::string& key) const;
    // Takes the record over: from here on its runner is refused. Nothing when there is none, or it has been taken.
    std::optional<ReplicaRecord> seal(const std::string& key, Milliseconds now);
    // Refuses all items of lower epochs from here on.
    void raiseFloor(std::uint64_t epoch);
    // Tells that a runner is lost, or back. Records without a runner, and those taken over, are kept for a time.
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
    // Both under the lock.
    std::unordered_map<std::string, Entry> m_entries;
    std::uint64_t m_floor { 0 };
};

} // namespace lupinknot
