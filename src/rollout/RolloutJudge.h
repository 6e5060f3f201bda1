// Judges a candidate version by the answers that callers received, compared with the present version over the same
// time.
//
// Load pattern: a bad version fails a share of its answers, or answers several times slower, at once or later, on all
// routes or on one. Problems of the platform and of the callers affect both versions alike. Only a tenth of the
// service's requests may be sent to the candidate before the decision.
//
// A sequential probability ratio test compares the share of bad answers: that of the present version against one that
// is greater by a fifth of the rest up to 1. It ends as soon as either is a thousand times as likely as the other.
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
// Whether to accept the candidate when the time ends before the test does: true when there is some evidence for the
// candidate and none against it on any route.
bool isAcceptable(const VersionEvidence&);

} // namespace lupinknot::internal
