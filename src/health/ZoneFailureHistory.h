// Learns from the last failures of whole zones of a service which zone is likely to fail next, and how often zones
// fail.
//
// Load pattern: zones fail in turn (a, c, b, a, c, b), every 3 to 7 s. At each failure the position of the failed zone
// in the order of the time since each zone's last failure is counted, longest ago first. Zones that fail in turn always
// have the first position, and a zone that fails again and again the last one.
//
//     history.add("a", now);
//     const auto risk = history.risks({ "a", "b", "c" }, now);     // Expected failures per second, by zone.
//
// Where failures have no memory, all positions are equally frequent, and no zone must be preferred because of chance.
// The probabilities of the positions (Dirichlet prior of one for each zone) are used only if the positions are at
// least minEvidence times as probable under them as under equal shares; otherwise all zones have equal shares.
//
// A plain value without input or output; not thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lupinknot::internal {

class ZoneFailureHistory {
public:
    struct Failure {
        std::string zone;
        Milliseconds at;
    };

    static constexpr std::size_t maxFailures = 32;
    // With equal shares, evidence of this strength ever arises in at most one of this many histories.
    static constexpr double minEvidence = 9;
    // Two failures of a zone within this time are one, seen by different collectors or by VMs that used its endpoints
    // before they returned.
    static constexpr Milliseconds sameFailureWithin { 2000 };

    // The retracted failures that are remembered, and how exactly VMs agree on the time of a failure.
    static constexpr std::size_t maxRetracted = 32;
    static constexpr Milliseconds sameInstantWithin { 400 };

    // Adds a failure, which may be earlier than the others. Returns false if it is known already or was retracted.
    bool add(const std::string& zone, Milliseconds at);
    // Removes a failure that was none. Other VMs may still state it.
    void retract(const std::string& zone, Milliseconds at);
    bool isEmpty() const { return m_failures.empty(); }
    // Oldest first.
    const std::vector<Failure>& failures() const { return m_failures; }

    // The probability that each zone is the next to fail, in the order of the zones.
    std::vector<double> shares(const std::vector<std::string>& zones) const;
    // The expected failures per second, of any zone and of each zone in their order.
    double rate(Milliseconds now) const;
    std::vector<double> risks(const std::vector<std::string>& zones, Milliseconds now) const;
    // How many times more probable the failures' order is if it has a memory than if it has none.
    double evidence(const std::vector<std::string>& zones) const;

private:
    // How often the failed zone was at each position. A zone that tied with another one, because neither had failed
    // yet, does not count.
    std::vector<double> positionCounts(const std::vector<std::string>& zones) const;

    std::vector<Failure> m_failures;
    std::deque<Failure> m_retracted;
};

} // namespace lupinknot::internal
