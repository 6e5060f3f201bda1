// Bounds the memory of all answers that services are sending, for calls on several threads (admission/AnswerMemory).
//
//     auto holding = memory.open([] { ... });          // Called on a thread of the io_context when it is given up.
//     holding->add(piece.size());
//
// Thread-safe. Holdings may outlive it, but are not added to after its end.
#pragma once

#include "admission/AnswerMemory.h"
#include <boost/asio/io_context.hpp>
#include <mutex>

namespace lupinknot::internal {

class SharedAnswerMemory {
public:
    // Holds three answers of the largest size.
    static constexpr std::size_t defaultMaxBytes = 48 * mebibyte;

    // The bytes of one answer; they are free again when it is destroyed.
    class Holding {
    public:
        ~Holding();
        Holding(const Holding&) = delete;
        Holding& operator=(const Holding&) = delete;

        void add(std::size_t bytes);

    private:
        friend class SharedAnswerMemory;
        Holding(std::shared_ptr<std::mutex> mutex, std::unique_ptr<AnswerMemory::Holding> holding)
            : m_mutex(std::move(mutex))
            , m_holding(std::move(holding))
        {
        }

        const std::shared_ptr<std::mutex> m_mutex;
        std::unique_ptr<AnswerMemory::Holding> m_holding;
    };

    explicit SharedAnswerMemory(boost::asio::io_context& ioContext)
        : m_ioContext(ioContext)
    {
    }

    std::unique_ptr<Holding> open(std::function<void()> giveUp);

private:
    boost::asio::io_context& m_ioContext;
    // Guards m_memory.
    const std::shared_ptr<std::mutex> m_mutex { std::make_shared<std::mutex>() };
    const std::shared_ptr<AnswerMemory> m_memory { std::make_shared<AnswerMemory>(defaultMaxBytes) };
};

} // namespace lupinknot::internal
