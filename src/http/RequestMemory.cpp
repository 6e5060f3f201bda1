#include "http/RequestMemory.h"

#include <algorithm>
#include <utility>

namespace lupinknot::internal {

namespace {

// A request that needs no more than this part of the memory is small. Small requests share the part that large ones
// cannot take. Both are divisors.
constexpr std::size_t smallRequestDivisor = 64;
constexpr std::size_t reservedDivisor = 4;
// Time for which the bytes of an ordinary request are held on average before it is complete: it arrives within twice
// this time. Longer times would let a crowd of large bodies, each held for less, refuse small slow requests.
constexpr Milliseconds ordinaryTime { 250 };

} // namespace

RequestMemory::Holding::Holding(
    std::shared_ptr<RequestMemory> memory, Milliseconds now, std::function<void()> onRefused)
    : m_memory(std::move(memory))
    , m_onRefused(std::move(onRefused))
    , m_changedAt(now)
{
}

RequestMemory::Holding::~Holding()
{
    const std::lock_guard lock(m_memory->m_mutex);
    m_memory->m_total -= m_bytes;
    if (m_isComplete)
        m_memory->m_completeTotal -= m_bytes;
    m_memory->m_incomplete.erase(this);
}

bool RequestMemory::Holding::resize(std::size_t bytes, Milliseconds now)
{
    const std::lock_guard lock(m_memory->m_mutex);
    if (m_isRefused)
        return false;
    m_memory->changeBytes(*this, bytes, now);
    m_memory->makeRoom(*this, now);
    return !m_isRefused;
}

bool RequestMemory::Holding::complete(std::size_t bytes, Milliseconds now)
{
    const std::lock_guard lock(m_memory->m_mutex);
    if (m_isRefused)
        return false;
    m_memory->changeBytes(*this, bytes, now);
    if (m_memory->m_completeTotal + bytes > m_memory->maxComplete(bytes)) {
        m_memory->refuse(*this);
        return false;
    }
    m_isComplete = true;
    m_memory->m_completeTotal += bytes;
    m_memory->m_incomplete.erase(this);
    m_memory->makeRoom(*this, now);
    return true;
}

std::int64_t RequestMemory::Holding::costAt(Milliseconds now) const
{
    // Requests that arrive in the same millisecond are compared by their memory.
    const auto time = std::max(now - m_changedAt, Milliseconds { 0 }) + Milliseconds { 1 };
    return m_cost + static_cast<std::int64_t>(m_bytes) * time.count();
}

std::int64_t RequestMemory::Holding::excessAt(Milliseconds now) const
{
    return std::max<std::int64_t>(costAt(now) - static_cast<std::int64_t>(m_bytes) * ordinaryTime.count(), 0);
}

bool RequestMemory::Holding::isPreferredTo(const Holding& other, Milliseconds now) const
{
    return std::pair(excessAt(now), costAt(now)) < std::pair(other.excessAt(now), other.costAt(now));
}

std::unique_ptr<RequestMemory::Holding> RequestMemory::open(Milliseconds now, std::function<void()> onRefused)
{
    return std::unique_ptr<Holding>(new Holding(shared_from_this(), now, std::move(onRefused)));
}

void RequestMemory::setLimit(std::size_t maxBytes)
{
    const std::lock_guard lock(m_mutex);
    m_maxBytes = maxBytes;
}

std::size_t RequestMemory::limit() const
{
    const std::lock_guard lock(m_mutex);
    return m_maxBytes;
}

std::size_t RequestMemory::total() const
{
    const std::lock_guard lock(m_mutex);
    return m_total;
}

std::size_t RequestMemory::completeTotal() const
{
    const std::lock_guard lock(m_mutex);
    return m_completeTotal;
}

std::uint64_t RequestMemory::refusedCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_refusedCount;
}

void RequestMemory::changeBytes(Holding& holding, std::size_t bytes, Milliseconds now)
{
    const auto time = std::max(now - holding.m_changedAt, Milliseconds { 0 });
    holding.m_cost += static_cast<std::int64_t>(holding.m_bytes) * time.count();
    holding.m_changedAt = now;
    m_total += bytes - holding.m_bytes;
    holding.m_bytes = bytes;
    if (bytes > 0)
        m_incomplete.insert(&holding);
}

void RequestMemory::refuse(Holding& holding)
{
    holding.m_isRefused = true;
    m_total -= std::exchange(holding.m_bytes, 0);
    m_incomplete.erase(&holding);
    ++m_refusedCount;
}

void RequestMemory::makeRoom(const Holding& growing, Milliseconds now)
{
    while (m_total > m_maxBytes && !m_incomplete.empty()) {
        auto* const victim = *std::max_element(m_incomplete.begin(), m_incomplete.end(),
            [now](const Holding* left, const Holding* right) { return left->isPreferredTo(*right, now); });
        refuse(*victim);
        if (victim != &growing)
            victim->m_onRefused();
    }
}

std::size_t RequestMemory::maxComplete(std::size_t bytes) const
{
    return bytes > m_maxBytes / smallRequestDivisor ? m_maxBytes - m_maxBytes / reservedDivisor : m_maxBytes;
}

} // namespace lupinknot::internal
