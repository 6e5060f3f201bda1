// Finds the generation of a key, and keeps ended answers for callers who come back.
#pragma once

#include "daemon/GenerationContext.h"
#include "lupinknot/ReplicaRecord.h"
#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace lupinknot::internal {

class LiveGeneration;
struct CompletionRequest;

enum class AdmissionVerdict {
    Created, // A new generation; the caller of admit() starts it.
    Found, // The key's generation.
    KeyConflict, // The key belongs to another body.
    Gone, // The record that was to be taken over is no longer there.
    NotHeld, // The caller wants to go on with an answer that is not held here.
    Full, // As many generations are held as the settings allow.
};

struct Admission {
    AdmissionVerdict verdict;
    std::shared_ptr<LiveGeneration> generation;
};

// Thread-safe: generations are spread over shards by their key, each shard under its own lock.
class GenerationRegistry {
public:
    // The prefix makes ids unique over VMs and their restarts.
    GenerationRegistry(const GenerationContext&, std::string idPrefix);

    ~GenerationRegistry();
    GenerationRegistry(const GenerationRegistry&) = delete;
    GenerationRegistry& operator=(const GenerationRegistry&) = delete;

    // Finds the generation of the request's key or makes a new one. Two requests with one key never make two.
    Admission admit(const CompletionRequest&);
    // The generation of a key; nothing when this VM does not run it, or no longer.
    std::shared_ptr<LiveGeneration> findByKey(const std::string& key);
    // Takes up a generation that another VM ran. Asks for the record only if the key is not here, so that of two
    // requests one takes it over and the other finds it. Nothing when the record is gone or cannot be read.
    using TakeRecord = std::function<std::optional<ReplicaRecord>()>;
    Admission adopt(const std::string& key, const TakeRecord&);
    std::shared_ptr<LiveGeneration> findById(const std::string& id) const;
    // Lets go of generations that have ended and whose time of retention is over.
    void sweep();
    std::size_t heldCount() const { return m_heldCount; }
    // Generations that have not ended.
    std::size_t runningCount() const;

private:
    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<std::string, std::shared_ptr<LiveGeneration>> byKey;
    };
    static constexpr std::size_t shardCount = 16;

    Shard& shardOf(const std::string& key);
    std::string newId();
    bool isExpired(const LiveGeneration&) const;
    std::vector<std::shared_ptr<LiveGeneration>> all() const;

    const GenerationContext m_context;
    const std::string m_idPrefix;
    std::array<Shard, shardCount> m_shards;
    std::atomic<std::uint64_t> m_nextId { 1 };
    std::atomic<std::size_t> m_heldCount { 0 };
};

} // namespace lupinknot::internal
