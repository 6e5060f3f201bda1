// The state of one search for a retry that another VM lends: whom to ask and when, and how long a grant is valid.
//
// Load pattern: the engines of a zone fail together and most VMs that ask find a lender in the first round; the others
// find that many VMs have spent their parts as well. Some VMs have died, freeze, or are cut off, and a stream can wait
// for 120 ms only. Two VMs of the own zone are asked at a time, in random order so that the load spreads, then one of
// another zone, where fewer VMs may have lost runs.
//
//     LoanSearch search(chooseLenders(candidates, ownZone, isSkipped, random), times, now);
//     while (!search.isOver(now))
//         for (const auto lender : search.nextRound(now)) ...     // Then noteRefusal(lender) or grant(now).
//
// Without I/O; not thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include "retries/RetryLoanSource.h"
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace lupinknot::internal {

struct LoanTimes {
    // Time for the whole search.
    Milliseconds search { 120 };
    // Time after which the next round begins although VMs of the last one have not answered. Within a zone an answer
    // takes 1 to 5 ms.
    Milliseconds round { 30 };
    // How long a loan is valid, from the moment at which it was asked for: the lender's answer may be late by any time.
    Milliseconds validity { 400 };
};

// Indexes of the VMs to ask, by round.
using LenderRounds = std::vector<std::vector<std::size_t>>;

// Chooses the VMs to ask: pairs of the own zone in random order, then one of another zone.
LenderRounds chooseLenders(std::vector<std::size_t> ownZone, const std::vector<std::size_t>& otherZones,
    const std::function<bool(std::size_t)>& isSkipped, std::mt19937&);

class LoanSearch {
public:
    LoanSearch(LenderRounds, const LoanTimes&, Milliseconds now);

    // The VMs to ask now; empty while answers of the last round are awaited.
    std::vector<std::size_t> nextRound(Milliseconds now);
    // When nextRound() or isOver() may change without an answer.
    Milliseconds nextStepAt() const;
    // The VM lends nothing, or could not be reached.
    void noteRefusal(std::size_t lender);
    // A VM lends a retry. Returns the loan, or nothing when the grant has come too late to be used.
    std::optional<RetryLoan> grant(Milliseconds now) const;
    // True when no VM is left to ask, or no time.
    bool isOver(Milliseconds now) const;

    Milliseconds askedAt() const { return m_askedAt; }
    std::size_t askedCount() const { return m_askedCount; }

private:
    const LenderRounds m_rounds;
    const LoanTimes m_times;
    const Milliseconds m_askedAt;
    std::size_t m_nextRound { 0 };
    Milliseconds m_roundStartedAt;
    std::size_t m_askedCount { 0 };
    // VMs that have not answered, in all rounds.
    std::vector<std::size_t> m_pending;
};

} // namespace lupinknot::internal
