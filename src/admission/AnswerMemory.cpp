#include "admission/AnswerMemory.h"

#include <algorithm>
#include <utility>

namespace lupinknot::internal {

AnswerMemory::Holding::Holding(std::shared_ptr<AnswerMemory> memory, std::function<void()> giveUp)
    : m_memory(std::move(memory))
    , m_giveUp(std::move(giveUp))
{
    m_memory->m_holdings.insert(this);
}

AnswerMemory::Holding::~Holding()
{
    m_memory->m_total -= m_bytes;
    m_memory->m_holdings.erase(this);
}

void AnswerMemory::Holding::add(std::size_t bytes)
{
    if (!m_giveUp)
        return;
    m_bytes += bytes;
    // This holding may be destroyed when an answer is given up.
    const auto memory = m_memory;
    memory->m_total += bytes;
    while (memory->m_total > memory->m_maxBytes)
        memory->giveUpLargest();
}

void AnswerMemory::Holding::set(std::size_t bytes)
{
    if (bytes > m_bytes) {
        add(bytes - m_bytes);
        return;
    }
    m_memory->m_total -= m_bytes - bytes;
    m_bytes = bytes;
}

std::unique_ptr<AnswerMemory::Holding> AnswerMemory::open(std::function<void()> giveUp)
{
    return std::unique_ptr<Holding>(new Holding(shared_from_this(), std::move(giveUp)));
}

void AnswerMemory::giveUpLargest()
{
    auto* const largest = *std::max_element(m_holdings.begin(), m_holdings.end(),
        [](const Holding* left, const Holding* right) { return left->m_bytes < right->m_bytes; });
    m_total -= std::exchange(largest->m_bytes, 0);
    const auto giveUp = std::exchange(largest->m_giveUp, nullptr);
    giveUp();
}

} // namespace lupinknot::internal
