// The time source for every decision of the library.
//
// All durations and instants are whole milliseconds. An instant counts from an unspecified start and never goes back.
// Instants of two processes cannot be compared. Code that decides takes the instant as a parameter or reads it from a
// Clock, so that a test can set it:
//
//     ManualClock clock;
//     clock.advance(Milliseconds { 20 });
#pragma once

#include <chrono>
#include <cstdint>

namespace lupinknot {

using Milliseconds = std::chrono::duration<std::int64_t, std::milli>;

// Source of the current instant. Implementations are safe to call from several threads.
class Clock {
public:
    virtual ~Clock() = default;
    virtual Milliseconds now() const = 0;
};

} // namespace lupinknot
