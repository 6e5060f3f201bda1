// Time for every decision of the library.
//
// All durations and instants are whole milliseconds. An instant counts from an unspecified start and never goes back,
// so instants of two processes cannot be compared. Decisions take the instant as a parameter or read it from a Clock,
// which lets a test set it:
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
