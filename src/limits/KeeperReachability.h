// Which of the VMs that count for endpoints under a limit answer, as one VM sees it, and how much of a limit it gives
// out itself when it stands in for one of them.
//
// Load pattern: the first VM that counts is killed, stands still or is cut off from some VMs, while others still ask
// it. Those that do not reach it ask the next one, so that for a while two VMs count for the same endpoint.
//
//     if (!watch.isSkipped(name, now)) ...                 // Ask it, then watch.noteAnswer(name, hasAnswered, now).
//     const auto share = watch.shareAsSubstitute({ first }, now);
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
    // One that has not answered is asked again after this time.
    static constexpr Milliseconds passedOverFor { 2000 };
    // One that has not answered for this long has probably gone, and permits that it gave have been used.
    static constexpr Milliseconds presumedGoneAfter { 4000 };

    bool isSkipped(const std::string& name, Milliseconds now) const;
    // Returns true when the VM had answered until now and does not any more.
    bool noteAnswer(const std::string& name, bool hasAnswered, Milliseconds now);
    // The share of a limit that this VM gives out when those before it do not answer everybody: all of it once it has
    // not reached any of them for long.
    double shareAsSubstitute(const std::vector<std::string>& before, Milliseconds now) const;

private:
    // A VM that has not answered.
    struct Silence {
        Milliseconds since;
        Milliseconds askedLastAt;
    };

    std::map<std::string, Silence> m_silent;
};

} // namespace lupinknot::internal
