#include "daemon/GenerationRegistry.h"

#include "daemon/LiveGeneration.h"
#include "daemon/Metrics.h"
#include "http/HttpRequest.h"
#include "settings/DaemonSettings.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>

namespace lupinknot::internal {

namespace {

namespace leaf = boost::leaf;

// Reads a journaled request again. It was good when it came, so it can only fail when this VM's limits are tighter.
std::optional<CompletionRequest> requestOf(const JournaledRequest& journaled, const GenerationSettings& settings)
{
    HttpRequest message { "POST", "/v1/completions", {}, journaled.body };
    message.headers.add("Lupinknot-Organisation", journaled.organisation);
    message.headers.add("Idempotency-Key", journaled.idempotencyKey);
    message.headers.add("Lupinknot-Repeatable", journaled.repeatable ? "true" : "false");
    message.headers.add("Lupinknot-Deadline-Ms", std::to_string(std::max<std::int64_t>(1, journaled.timeLeft.count())));
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<CompletionRequest>> {
            BOOST_LEAF_AUTO(request, parseCompletionRequest(message, { settings.maxTokens, settings.deadline }));
            return std::optional<CompletionRequest>(std::move(request));
        },
        [] { return std::optional<CompletionRequest> {}; });
}

} // namespace

GenerationRegistry::GenerationRegistry(const GenerationContext& context, std::string idPrefix)
    : m_context(context)
    , m_idPrefix(std::move(idPrefix))
{
}

GenerationRegistry::~GenerationRegistry()
{
    for (const auto& generation : all())
        generation->shutDown();
}

Admission GenerationRegistry::admit(const CompletionRequest& request)
{
    const auto id = newId();
    // A request without a key is held under its id, where nobody but operators can find it.
    const auto key = request.idempotencyKey.empty()
        ? id
        : JournaledRequest::scopedKey(request.organisation, request.idempotencyKey);
    auto& shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    if (const auto entry = shard.byKey.find(key); entry != shard.byKey.end()) {
        const bool isSame = entry->second->request().bodyHash == request.bodyHash;
        return { isSame ? AdmissionVerdict::Found : AdmissionVerdict::KeyConflict, entry->second };
    }
    if (!request.resumeGeneration.empty())
        return { AdmissionVerdict::NotHeld, nullptr };
    if (m_heldCount >= static_cast<std::size_t>(m_context.settings.generation.maxGenerations))
        return { AdmissionVerdict::Full, nullptr };
    auto generation = std::make_shared<LiveGeneration>(m_context, request, id);
    shard.byKey.emplace(key, generation);
    ++m_heldCount;
    return { AdmissionVerdict::Created, std::move(generation) };
}

std::shared_ptr<LiveGeneration> GenerationRegistry::findByKey(const std::string& key)
{
    auto& shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto entry = shard.byKey.find(key);
    if (entry == shard.byKey.end())
        return nullptr;
    if (!entry->second->isVoid())
        return entry->second;
    entry->second->forget();
    shard.byKey.erase(entry);
    --m_heldCount;
    return nullptr;
}

Admission GenerationRegistry::adopt(const std::string& key, const TakeRecord& takeRecord)
{
    auto& shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    if (const auto entry = shard.byKey.find(key); entry != shard.byKey.end())
        return { AdmissionVerdict::Found, entry->second };
    auto record = takeRecord();
    auto request = record ? requestOf(record->request, m_context.settings.generation) : std::nullopt;
    if (!request)
        return { AdmissionVerdict::Gone, nullptr };
    auto generation = std::make_shared<LiveGeneration>(m_context, std::move(*request), std::move(*record));
    shard.byKey.emplace(key, generation);
    ++m_heldCount;
    return { AdmissionVerdict::Created, std::move(generation) };
}

std::shared_ptr<LiveGeneration> GenerationRegistry::findById(const std::string& id) const
{
    for (const auto& generation : all()) {
        if (generation->id() == id)
            return generation;
    }
    return nullptr;
}

void GenerationRegistry::sweep()
{
    for (auto& shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (auto entry = shard.byKey.begin(); entry != shard.byKey.end();) {
            if (!isExpired(*entry->second)) {
                ++entry;
                continue;
            }
            entry->second->forget();
            entry = shard.byKey.erase(entry);
            --m_heldCount;
        }
    }
    m_context.metrics.generationsHeld.Set(static_cast<double>(m_heldCount));
}

std::size_t GenerationRegistry::runningCount() const
{
    std::size_t count = 0;
    for (const auto& generation : all())
        count += generation->isOver() ? 0 : 1;
    return count;
}

GenerationRegistry::Shard& GenerationRegistry::shardOf(const std::string& key)
{
    return m_shards[std::hash<std::string> {}(key) % shardCount];
}

std::string GenerationRegistry::newId() { return m_idPrefix + "-" + std::to_string(m_nextId++); }

bool GenerationRegistry::isExpired(const LiveGeneration& generation) const
{
    const auto endedAt = generation.endedAt();
    return endedAt && m_context.clock.now() - *endedAt >= m_context.settings.generation.retention;
}

std::vector<std::shared_ptr<LiveGeneration>> GenerationRegistry::all() const
{
    std::vector<std::shared_ptr<LiveGeneration>> generations;
    for (const auto& shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto& entry : shard.byKey)
            generations.push_back(entry.second);
    }
    return generations;
}

} // namespace lupinknot::internal
