// Finds the generation of a key, and keeps completed answers for callers who return.
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
    Created, // A new generation; the caller of admit() must start it.
    Found, // The key's generation.
    KeyConflict, // The key was used with another body.
    Gone, // The record to take over no longer exists.
    NotHeld, // The caller wants to continue an answer that is not held here.
    Full, // The limit of held generations in the settings is reached.
};

struct Admission {
    AdmissionVerdict verdict;
    std::shared_ptr<LiveGeneration> generation;
};

// Thread-safe: generations are distributed over shards by their key, and each shard has its own lock.
class GenerationRegistry {
public:
    // The prefix makes ids unique across VMs and their restarts.
    GenerationRegistry(const GenerationContext&, std::string idPrefix);

    ~GenerationRegistry();
    GenerationRegistry(const GenerationRegistry&) = delete;
    GenerationRegistry& operator=(const GenerationRegistry&) = delete;

    // Finds the generation of the request's key or creates one. Two requests with the same key never create two.
    Admission admit(const CompletionRequest&);
    // The generation of a key; nothing when this VM does not run it or no longer holds it.
    std::shared_ptr<LiveGeneration> findByKey(const std::string& key);
    // Continues a generation that another VM ran. Calls the function for the record only if the key is not here:
    // when two requests arrive at once, one takes the record over and the other finds the generation. The verdict is
    // Gone when the record no longer exists or cannot be parsed.
    using TakeRecord = std::function<std::optional<ReplicaRecord>()>;
    Admission adopt(const std::string& key, const TakeRecord&);
    std::shared_ptr<LiveGeneration> findById(const std::string& id) const;
    // Removes generations that have ended and whose retention time is over.
    void sweep();
    std::size_t heldCount() const { return m_heldCount; }
    // Number of generations that have not ended.
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
