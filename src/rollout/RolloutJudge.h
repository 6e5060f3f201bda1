// Judges a candidate version by what callers have seen of it, beside the present version at the same time.
//
// Load pattern: a bad version fails a share of its answers, or answers several times slower, at once or later, on all
// routes or on one. The platform's and the callers' troubles strike both versions alike. Few answers may be spent on
// finding out: a tenth of the service's requests.
//
// A sequential test of the share of bad answers: the present version's share against one that is greater by a fifth
// of what is left. It ends as soon as either is a thousand times as likely as the other.
//
//     if (judge(evidence) == Judgement::Bad) ...              // On all routes together or on any single one.
//
// Pure functions of their arguments; thread-safe.
#pragma once

#include "rollout/VersionEvidence.h"

namespace lupinknot::internal {

enum class Judgement {
    Open,
    Good,
    Bad,
};

Judgement judge(const VersionEvidence&);
// What to do when the time ends before the test does: true when there is some evidence for the candidate, and none
// against it on any route.
bool isAcceptable(const VersionEvidence&);

} // namespace lupinknot::internal
