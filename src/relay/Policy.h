// The mechanisms by which the relay decides, by name, so that each can be switched off to see what it is worth.
//
//     PolicySet policies;                             // All of them.
//     policies.switchOff(Policy::LoadSurvey);
//     if (policies.has(Policy::LoadSurvey)) ...
//
// Switching one off breaks no promise to callers: it costs time or work. Values; thread-safe as such.
#pragma once

#include "lupinknot/EnumNames.h"
#include <array>
#include <bitset>

namespace lupinknot::internal {

enum class Policy {
    GrowingCopies, // A second engine receives a copy of a run's memory while it grows.
    MovesAhead, // A run whose copy is lost moves to an engine where it gets one again.
    PromptPreference, // Requests for one prompt prefer one engine.
    SecondSendings, // A slow idempotent call is also sent to a second endpoint.
    ZoneAvoidance, // A zone whose endpoints fail together is avoided, and its endpoints doubted.
    LivenessQuestions, // An engine that sends nothing is asked whether it lives.
    LoadSurvey, // Engines are asked for their load before a prompt is sent to one.
    LearnedPace, // Waits follow what this VM has seen of a service.
    TimeCheck, // A stream that cannot end in the time that is left is refused at once.
    LocationHints, // VMs tell each other where runs are.
    CrashQuarantine, // A request is held back once endpoint after endpoint has ended under it.
    Waiting, // Requests wait for what a VM is about to learn, and calls for a place at an endpoint.
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
