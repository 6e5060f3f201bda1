// Runs an io_context until a condition holds, for tests of code that runs on one thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace lupinknot::internal {

// Returns false on a timeout that is far longer than anything in the tests takes, so that only a failing test reaches
// it.
inline bool runUntil(boost::asio::io_context& ioContext, const std::function<bool()>& condition)
{
    constexpr std::chrono::seconds timeout { 20 };
    constexpr std::chrono::milliseconds step { 20 };
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        ioContext.run_one_for(step);
        ioContext.restart();
    }
    return true;
}

} // namespace lupinknot::internal
