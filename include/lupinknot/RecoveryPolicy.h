// Decides what follows when an attempt has failed.
//
// A pure function of what is known, so that every rule about repeating work stands in one place:
//  - A failure that proves the endpoint did not start allows another try for any request.
//  - A request that may be repeated goes on, from its tokens if it has any.
//  - A request that may not be repeated goes on from a prefix of at least one token, because the tokens so far belong
//    to the one answer it has; from nothing it is given up as unknown.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/FailureKind.h"
#include "lupinknot/RunOutcome.h"

namespace lupinknot {

enum class RecoveryStep {
    Retry, // Start another attempt, with the tokens so far as its prefix.
    GiveUp,
};

struct RecoverySettings {
    // Attempts that one generation may take, those not counted that were turned away before they began.
    unsigned maxAttempts { 12 };
    // How long a generation waits for an endpoint while none can take it.
    Milliseconds endpointWait { 2000 };
    // Pause between two looks for an endpoint.
    Milliseconds endpointRetryInterval { 10 };
};

struct RecoveryState {
    bool repeatable { true };
    // True when any attempt so far may have begun the work.
    bool mayHaveStarted { false };
    std::size_t tokensHeld { 0 };
    // Attempts that may have begun the work; one that was turned away before costs nothing and is not counted.
    unsigned attemptsBegun { 0 };
};

RecoveryStep nextStep(const RecoveryState&, const RecoverySettings&);

// What a refusal may say about the work.
RunOutcome outcomeOf(const RecoveryState&);

} // namespace lupinknot
