// Decides whether a VM lends a retry of its part of the retry budget to another VM.
//
// Load pattern: the engines of a zone fail together every 3 to 7 s. Each of 74 to 88 VMs then loses 0 to 5 runs at once
// and has a part of about 5 retries in 10 s, so that some VMs lack retries while others have some left. A lender keeps
// a reserve, because its own engines may be the next to fail. Streams that continue from a copy come first, because
// they are nearly certain to be in time; restarts leave them a share of what can be lent, and the last quarter is lent
// to requests of the most urgent rank only.
//
//     if (decideLoan(account, RetryPurpose::Continuation, rank) == LoanDecision::Lent) ...
//
// Pure functions of their arguments; thread-safe.
#pragma once

#include "admission/RetryPurpose.h"
#include "lupinknot/EnumNames.h"
#include <array>

namespace lupinknot::internal {

// A VM's account of its retries for one service.
struct LenderAccount {
    // Retries that the VM may send and lend within the window, including a fraction.
    double part { 0 };
    // Retries sent and lent that still count.
    double spent { 0 };
    // A fraction of a retry counts as a whole one if it and this value add up to at least 1.
    double rounding { 0 };
    // Share of the part, and the number of retries at least, that the VM keeps for itself.
    double reserveShare { 0 };
    double minReserve { 1 };
    // The VM does not know what its previous process has sent and lent.
    bool hasJustStarted { false };
    // The most urgent rank seen for the service recently.
    unsigned mostUrgentRank { 0 };
};

enum class LoanDecision {
    Lent,
    NotForPurpose, // No retry is lent for this purpose.
    JustStarted, // The VM lends nothing yet.
    Spent, // Only the reserve is left.
    KeptForContinuations, // The rest is kept for streams that continue from a copy.
    KeptForUrgent, // The rest is kept for the most urgent rank.
};

inline constexpr std::array<EnumName<LoanDecision>, 6> loanDecisionNames { {
    { LoanDecision::Lent, "lent" },
    { LoanDecision::NotForPurpose, "not-for-purpose" },
    { LoanDecision::JustStarted, "just-started" },
    { LoanDecision::Spent, "spent" },
    { LoanDecision::KeptForContinuations, "kept-for-continuations" },
    { LoanDecision::KeptForUrgent, "kept-for-urgent" },
} };

// Shares of what can be lent that are kept for continuations, and for the most urgent rank.
inline constexpr double shareKeptForContinuations = 0.25;
inline constexpr double shareKeptForUrgent = 0.25;

LoanDecision decideLoan(const LenderAccount&, RetryPurpose, unsigned rank);

} // namespace lupinknot::internal
