#include "daemon/SharedAnswerMemory.h"

#include <boost/asio/post.hpp>

namespace lupinknot::internal {

SharedAnswerMemory::Holding::~Holding()
{
    const std::lock_guard lock(*m_mutex);
    m_holding.reset();
}

void SharedAnswerMemory::Holding::add(std::size_t bytes)
{
    const std::lock_guard lock(*m_mutex);
    m_holding->add(bytes);
}

std::unique_ptr<SharedAnswerMemory::Holding> SharedAnswerMemory::open(std::function<void()> giveUp)
{
    const std::lock_guard lock(*m_mutex);
    // Posted, because the lock is held and the owner of the answer has a lock of its own.
    auto holding = m_memory->open(
        [&ioContext = m_ioContext, giveUp = std::move(giveUp)] { boost::asio::post(ioContext, giveUp); });
    return std::unique_ptr<Holding>(new Holding(m_mutex, std::move(holding)));
}

} // namespace lupinknot::internal
