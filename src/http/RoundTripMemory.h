// The memory that the responses to all round trips of an io_context may take together.
//
//     const auto holding = RoundTripMemory::of(ioContext)->open([] { ... });
//
// A service of the io_context, so that every round trip is counted, whoever starts it. Not thread-safe: used on the
// thread that runs the io_context.
#pragma once

#include "admission/AnswerMemory.h"
#include <boost/asio/execution_context.hpp>

namespace lupinknot::internal {

class RoundTripMemory final : public boost::asio::execution_context::service {
public:
    using key_type = RoundTripMemory;

    // Holds one response of the largest size and others beside it.
    static constexpr std::size_t defaultMaxBytes = 24 * mebibyte;

    explicit RoundTripMemory(boost::asio::execution_context& context)
        : service(context)
        , m_memory(std::make_shared<AnswerMemory>(defaultMaxBytes))
    {
    }

    static const std::shared_ptr<AnswerMemory>& of(boost::asio::execution_context& context)
    {
        return boost::asio::use_service<RoundTripMemory>(context).m_memory;
    }

    static inline boost::asio::execution_context::id id;

private:
    void shutdown() override { }

    const std::shared_ptr<AnswerMemory> m_memory;
};

} // namespace lupinknot::internal
