// Tells whether the hold of a request may end early because it rests on engines that were silent.
//
// A sign of life takes back the record of a silent engine, and with it a hold for which the others are not sufficient.
// A stream that has begun should then wait rather than end:
//
//     if (mayHoldBeRetracted(guard.knownCrashes(digest), clock.now())) ... // Ask for the status again later.
//
// Pure; no state.
#pragma once

#include "quarantine/KnownCrash.h"
#include <vector>

namespace lupinknot::internal {

// How long a sign of life takes back the loss of a silent endpoint.
inline constexpr Milliseconds silenceRetractionTime { 30'000 };

// `records` are those of the request. True if the records that are final, because the connection broke or a silent
// endpoint has shown no sign of life for silenceRetractionTime, do not suffice for a hold.
bool mayHoldBeRetracted(const std::vector<KnownCrash>& records, Milliseconds now);

} // namespace lupinknot::internal
