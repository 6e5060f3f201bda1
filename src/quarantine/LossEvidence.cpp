#include "quarantine/LossEvidence.h"

namespace lupinknot::internal {

namespace {

// One connection may fail because a packet was lost or because this VM or the endpoint is busy.
constexpr unsigned minFailedConnects = 2;
// The endpoint may be in back-off or behind a partition, so that it is hardly asked.
constexpr unsigned minUnansweredProbes = 5;

} // namespace

LossEvidence judgeSilence(const SilenceFacts& facts)
{
    if (facts.hasBeenAlive)
        return LossEvidence::Alive;
    if (facts.isReplaced || (facts.isRemoved && !facts.areOthersSilent))
        return LossEvidence::EntryGone;
    if (facts.failedConnects >= minFailedConnects)
        return LossEvidence::Unreachable;
    if (facts.silentBesideOthers >= maxEnginePause && facts.unansweredProbes >= minUnansweredProbes)
        return LossEvidence::StillSilent;
    return LossEvidence::Silent;
}

bool isConfirmed(LossEvidence evidence) { return evidence != LossEvidence::Silent && evidence != LossEvidence::Alive; }

} // namespace lupinknot::internal
