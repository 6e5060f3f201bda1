// Requests that endpoints have started for each organisation, counted by windows of the time of day.
//
// Window k starts k window lengths after the start of 1970. Only the newest windows are kept.
//
//     UsageCounts counts(Milliseconds { 5000 });
//     counts.add("museum", timeOfDay);
//     counts.of(counts.windowAt(timeOfDay));              // { { "museum", 1 } }
//
// Not thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include <cstdint>
#include <map>
#include <string>

namespace lupinknot::internal {

using CountsByOrganisation = std::map<std::string, std::uint64_t>;

class UsageCounts {
public:
    explicit UsageCounts(Milliseconds windowLength);

    void add(const std::string& organisation, Milliseconds timeOfDay);
    std::uint64_t windowAt(Milliseconds timeOfDay) const;
    // The counts of one window; empty when nothing was counted.
    CountsByOrganisation of(std::uint64_t window) const;
    const std::map<std::uint64_t, CountsByOrganisation>& windows() const { return m_windows; }
    // Number of additions so far; a change means that the counts have changed.
    std::uint64_t additions() const { return m_additions; }
    // Windows that are kept: a count arrives at most a few windows late.
    static constexpr std::size_t maxWindows = 8;

private:
    const Milliseconds m_windowLength;
    std::map<std::uint64_t, CountsByOrganisation> m_windows;
    std::uint64_t m_additions { 0 };
};

} // namespace lupinknot::internal
