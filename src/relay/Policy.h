// The mechanisms by which the relay makes decisions, by name, so that each can be switched off to measure its effect.
//
//     PolicySet policies;                             // All of them.
//     policies.switchOff(Policy::LoadSurvey);
//     if (policies.has(Policy::LoadSurvey)) ...
//
// Switching one off breaks no guarantee to callers: it only costs time or work. Plain values without synchronization.
#pragma once

#include "lupinknot/EnumNames.h"
#include <array>
#include <bitset>

namespace lupinknot::internal {

enum class Policy {
    GrowingCopies, // A second engine receives a copy of a run's KV cache while the run generates.
    MovesAhead, // A run whose copy is lost moves to an engine where it is copied again.
    PromptPreference, // Requests with the same prompt prefer the same engine.
    SecondSendings, // A slow idempotent call is hedged: it is also sent to a second endpoint.
    ZoneAvoidance, // A zone whose endpoints fail together is avoided, and its endpoints are suspected.
    LivenessQuestions, // An engine that sends nothing is probed for liveness.
    LoadSurvey, // Engines are probed for their load before a prompt is sent to one.
    LearnedPace, // Timeouts adapt to the speed that this VM observes of a service.
    TimeCheck, // A stream that cannot end before its deadline is refused at once.
    LocationHints, // VMs share the locations of runs.
    CrashQuarantine, // A request is held back after several endpoints have crashed in a row while running it.
    Waiting, // Requests wait for pending updates of this VM's state, and calls for capacity of an endpoint.
};

inline constexpr std::array<EnumName<Policy>, 12> policyNames { {
    { Policy::GrowingCopies, "growing-copies" },
    { Policy::MovesAhead, "moves-ahead" },
    { Policy::PromptPreference, "prompt-preference" },
    { Policy::SecondSendings, "second-sendings" },
    { Policy::ZoneAvoidance, "zone-avoidance" },
    { Policy::LivenessQuestions, "liveness-questions" },
    { Policy::LoadSurvey, "load-survey" },
    { Policy::LearnedPace, "learned-pace" },
    { Policy::TimeCheck, "time-check" },
    { Policy::LocationHints, "location-hints" },
    { Policy::CrashQuarantine, "crash-quarantine" },
    { Policy::Waiting, "waiting" },
} };

class PolicySet {
public:
    bool has(Policy policy) const { return !m_off.test(static_cast<std::size_t>(policy)); }
    void switchOff(Policy policy) { m_off.set(static_cast<std::size_t>(policy)); }

private:
    std::bitset<policyNames.size()> m_off;
};

} // namespace lupinknot::internal
