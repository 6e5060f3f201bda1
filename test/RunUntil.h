// Runs an io_context until something has come true, for tests that drive code of one thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace lupinknot::internal {

// Returns false when the condition has not come true for very long: far longer than anything in the tests takes, so it
// is reached only by a test that fails.
inline bool runUntil(boost::asio::io_context& ioContext, const std::function<bool()>& condition)
{
    constexpr std::chrono::seconds patience { 20 };
    constexpr std::chrono::milliseconds step { 20 };
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        ioContext.run_one_for(step);
        ioContext.restart();
    }
    return true;
}

} // namespace lupinknot::internal
