// What this VM knows about an endpoint under which it has lost a run, and whether the loss counts as a crash.
//
// A run becomes silent when its engine has crashed without closing its connections, and also when the engine pauses and
// then goes on. Silence is therefore only a suspicion, which a sign of life ends at any time. It is confirmed when no
// connection can be established, when another incarnation has taken the endpoint's place, or when the endpoint accepts
// connections but answers none of several probes for longer than engines pause while others of its zone or service are
// alive. Engines that are silent together have a common cause, which is not the request. An entry that was only removed
// has not been written for some time, which is silence as well: it counts only while others are alive. Pure; no state.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <array>

namespace lupinknot::internal {

// A label of logs and metrics.
enum class LossEvidence {
    ConnectionBroke, // The run's connection broke.
    Silent, // Nothing has arrived from the endpoint since the run became silent.
    Alive, // The endpoint has given a sign of life since the run became silent.
    EntryGone, // The run became silent, and the endpoint's entry was removed or is of another incarnation.
    Unreachable, // The run became silent, and no connection to the endpoint can be established.
    StillSilent, // The run became silent, and the endpoint has answered no probe for maxEnginePause, unlike others.
};

inline constexpr std::array<EnumName<LossEvidence>, 6> lossEvidenceNames { {
    { LossEvidence::ConnectionBroke, "connection-broke" },
    { LossEvidence::Silent, "silent" },
    { LossEvidence::Alive, "alive" },
    { LossEvidence::EntryGone, "entry-gone" },
    { LossEvidence::Unreachable, "unreachable" },
    { LossEvidence::StillSilent, "still-silent" },
} };

// What is known about an endpoint since a run there became silent.
struct SilenceFacts {
    bool hasBeenAlive { false };
    // Another incarnation is listed at its address.
    bool isReplaced { false };
    // Its entry was removed.
    bool isRemoved { false };
    // There are others that could have shown a sign of life since the run became silent, and none has.
    bool areOthersSilent { false };
    // How long it has been silent while others were alive.
    Milliseconds silentBesideOthers { 0 };
    // Consecutive probes for which no connection was established, and those that were sent but not answered.
    unsigned failedConnects { 0 };
    unsigned unansweredProbes { 0 };
};

LossEvidence judgeSilence(const SilenceFacts&);

// True if the loss counts against the request.
bool isConfirmed(LossEvidence);

// Longer than an engine usually pauses, and shorter than the time after its third crash for which a request may still
// be sent on.
inline constexpr Milliseconds maxEnginePause { 2500 };

} // namespace lupinknot::internal
