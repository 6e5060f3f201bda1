// Tracks which limit keepers respond to this VM, and what share of a limit this VM issues when it substitutes for one
// of them.
//
// Load pattern: the first keeper of an endpoint is killed, hangs or is cut off from some VMs while other VMs still
// reach it. VMs that do not reach it request permits from the next keeper, so for a while two keepers issue permits for
// the same endpoint.
//
//     if (!reachability.isSkipped(name, now)) ...          // Request a permit from the VM, then record the result:
//     reachability.noteAnswer(name, hasAnswered, now);
//     const auto share = reachability.shareAsSubstitute({ first }, now);
//
// Without input or output; not thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include <map>
#include <string>
#include <vector>

namespace lupinknot::internal {

class KeeperReachability {
public:
    // A keeper that has not answered is skipped for this long before the next request to it.
    static constexpr Milliseconds skippedFor { 2000 };
    // A keeper that has not answered for this long is probably gone, and the permits that it issued have been used.
    static constexpr Milliseconds presumedGoneAfter { 4000 };

    bool isSkipped(const std::string& name, Milliseconds now) const;
    // Records whether the VM answered. Returns true if the VM has stopped answering.
    bool noteAnswer(const std::string& name, bool hasAnswered, Milliseconds now);
    // The share of a limit that this VM issues as a substitute for the keepers `before` it: all of it once it has
    // failed to reach every one of them for `presumedGoneAfter`.
    double shareAsSubstitute(const std::vector<std::string>& before, Milliseconds now) const;

private:
    // A VM that does not answer.
    struct UnansweredPeriod {
        Milliseconds since;
        Milliseconds lastRequestAt;
    };

    std::map<std::string, UnansweredPeriod> m_unanswered;
};

} // namespace lupinknot::internal
