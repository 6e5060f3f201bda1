// Adds up the usage counts of all VMs.
//
// Each report holds everything that its process has counted for a window, so a repeated or late report is harmless: for
// each process and organisation the largest count is used. Only the newest windows are kept.
//
//     aggregator.addReport("vm1/8123", window, counts);
//     const auto total = aggregator.total(window);
//
// Not thread-safe.
#pragma once

#include "duty/UsageCounts.h"

namespace lupinknot::internal {

class UsageAggregator {
public:
    void addReport(const std::string& process, std::uint64_t window, const CountsByOrganisation&);
    CountsByOrganisation total(std::uint64_t window) const;

private:
    // By window and process.
    std::map<std::uint64_t, std::map<std::string, CountsByOrganisation>> m_windows;
};

} // namespace lupinknot::internal
