// Decides what to do after an attempt has failed.
//
// A pure function of the known state, so that every rule about repeating work is in one place:
//  - After a failure that proves that the endpoint did not start, any request may be tried again.
//  - A repeatable request continues, from its tokens if it has any.
//  - A request that must not be repeated continues from a prefix of at least one token, because those tokens belong to
//    its only answer. Without any token it is given up with an unknown outcome.
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
    // Maximum number of attempts of one generation. An attempt that was rejected before it started does not count.
    unsigned maxAttempts { 12 };
    // How long a generation waits while no endpoint can take it.
    Milliseconds endpointWait { 2000 };
    // Time between two tries to choose an endpoint.
    Milliseconds endpointRetryInterval { 10 };
};

struct RecoveryState {
    bool repeatable { true };
    // True when any attempt so far may have begun the work.
    bool mayHaveStarted { false };
    std::size_t tokensHeld { 0 };
    // Attempts that may have begun the work. One that was rejected before it started costs nothing and does not count.
    unsigned attemptsBegun { 0 };
};

RecoveryStep nextStep(const RecoveryState&, const RecoverySettings&);

// What an error may report about whether the work has run.
RunOutcome outcomeOf(const RecoveryState&);

} // namespace lupinknot
