// What is known about a run from which nothing has arrived for too long.
#pragma once

#include "lupinknot/EnumNames.h"
#include <array>

namespace lupinknot::internal {

enum class SilenceReason {
    NoAnswer, // The engine has not answered a probe.
    Pause, // The engine answers probes, but the run's stream pauses for too long.
};

inline constexpr std::array<EnumName<SilenceReason>, 2> silenceReasonNames { {
    { SilenceReason::NoAnswer, "no-answer" },
    { SilenceReason::Pause, "pause" },
} };

struct RunSilence {
    SilenceReason reason { SilenceReason::NoAnswer };
    // True if the engine has accepted the connection of the unanswered probe: its process may only stand still.
    bool isConnected { true };
};

} // namespace lupinknot::internal
