// When the report of a usage window is fixed and sent.
//
// A report is fixed halfway between the end of its window and the time it is due: by then the counts of all VMs have
// arrived, and enough time is left for repeating the report and for a change of the leader.
//
// After a restore of the store from an older copy, the fixed report of a window may be lost although it was sent. A
// window that was to be fixed before the restore is therefore never fixed again, only repeated if its report is known.
//
//     const UsageSchedule schedule { Milliseconds { 5000 }, Milliseconds { 10000 } };
//     const auto window = schedule.nextWindow(completed, timeOfDay);
//     if (timeOfDay >= schedule.fixAt(window)) ...
//
// A plain value; times are times of day.
#pragma once

#include "lupinknot/Clock.h"
#include <algorithm>
#include <cstdint>

namespace lupinknot::internal {

struct UsageSchedule {
    Milliseconds windowLength { 0 };
    // Time from the end of a window until its report is due.
    Milliseconds dueAfter { 0 };

    bool isActive() const { return windowLength.count() > 0; }
    Milliseconds endOf(std::uint64_t window) const { return windowLength * (static_cast<std::int64_t>(window) + 1); }
    Milliseconds fixAt(std::uint64_t window) const { return endOf(window) + dueAfter / 2; }
    // The last window whose report was to be fixed by this time.
    std::uint64_t lastFixedBy(Milliseconds timeOfDay) const
    {
        return static_cast<std::uint64_t>(std::max((timeOfDay - dueAfter / 2) / windowLength - 1, std::int64_t { 0 }));
    }
    // The first window that is not completed and whose report is not overdue by more than the time it had.
    std::uint64_t nextWindow(std::uint64_t completed, Milliseconds timeOfDay) const
    {
        const auto oldest = std::max((timeOfDay - 2 * dueAfter) / windowLength, std::int64_t { 0 });
        return std::max(completed + 1, static_cast<std::uint64_t>(oldest));
    }
};

} // namespace lupinknot::internal
