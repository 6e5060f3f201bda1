// Elects the leader of a singleton duty through a record in a shared store that supports conditional writes.
//
// The leader renews the record before its lease expires. Each renewal changes the record's version; another process
// takes over only when it has seen the same version for longer than a lease. The lease counts from the start of the
// write for the leader and from the arrival of the answer for the others, so a leader stops before another one can
// begin, by their own clocks and without comparing them. A clock that counts suspended time is required.
//
// The fencing token is never used by two processes: a new leader raises it in the same conditional write. A store that
// was restored from an older copy may have lost tokens, so tokens of a later era of the store are higher than all
// tokens of earlier ones, and no leader keeps its lease across a restore. The caller keeps one record per era, so that
// a late write of an earlier era cannot replace a record of a later one.
//
//     LeaderLease lease("vm1/8123", Milliseconds { 3000 });
//     const auto step = lease.nextStep(now);              // Read the record, or write recordToWrite().
//     lease.stepStarted(step, now);
//     lease.noteWritten(version, now);                    // Or noteRecord(), noteFailure().
//     if (lease.isHeld(now)) ...                          // Check directly before each action.
//
// Decides only; does no input or output. Not thread-safe.
#pragma once

#include "duty/LeaderRecord.h"
#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <array>
#include <optional>

namespace lupinknot::internal {

enum class LeaseStep {
    None,
    Read,
    Acquire, // Write the record as a new leader.
    Renew, // Write the record again as the same leader.
};

inline constexpr std::array<EnumName<LeaseStep>, 4> leaseStepNames { {
    { LeaseStep::None, "none" },
    { LeaseStep::Read, "read" },
    { LeaseStep::Acquire, "acquire" },
    { LeaseStep::Renew, "renew" },
} };

class LeaderLease {
public:
    // The process name must be unique among all processes, also among those of one VM.
    LeaderLease(std::string process, Milliseconds duration);

    // What to do now; None while a step is under way.
    LeaseStep nextStep(Milliseconds now) const;
    // The record that an Acquire or Renew step writes, provided that the stored one has its version (0: none).
    LeaderRecord recordToWrite(LeaseStep) const;

    void stepStarted(LeaseStep, Milliseconds now);
    // The record as the store has it, from a read or from a write that failed its condition.
    void noteRecord(const LeaderRecord&, Milliseconds now);
    // The stored record has this version and cannot be read. It counts as that of a leader that has gone, whose token
    // was at most the version: each token of an era takes a transaction, and versions count all transactions.
    void noteUnreadableRecord(std::uint64_t version, Milliseconds now);
    // The write was applied and gave the record this version.
    void noteWritten(std::uint64_t version, Milliseconds now);
    // No usable answer. A write may have been applied, or may be applied later if its condition still holds.
    void noteFailure();
    // The store is in another era, to which no earlier version or token applies.
    void noteEra(std::uint64_t era);

    // Gives up the lease and its token, and acquires no lease for the time.
    void resign(Milliseconds time, Milliseconds now);
    // True while this process is the leader.
    bool isHeld(Milliseconds now) const { return isOwn() && now < m_validUntil; }
    // The token to send with each action while the lease is held.
    std::uint64_t fencingToken() const { return m_known ? m_known->fencingToken : 0; }
    const std::optional<LeaderRecord>& known() const { return m_known; }
    // Sets the last completed unit of work, for the next write.
    void setCompleted(std::uint64_t completed) { m_completed = completed; }
    std::uint64_t completed() const { return m_completed; }

private:
    // True when the record names this process and its token is of the current era.
    bool isOwn() const;
    std::uint64_t lowestTokenOfEra() const;

    const std::string m_process;
    const Milliseconds m_duration;
    std::uint64_t m_era { 0 };
    // The record as last seen; nothing before the first read in an era.
    std::optional<LeaderRecord> m_known;
    // When the known version was first seen.
    Milliseconds m_seenAt { 0 };
    Milliseconds m_lastStepAt { 0 };
    bool m_hasStarted { false };
    LeaseStep m_stepUnderWay { LeaseStep::None };
    LeaderRecord m_written;
    Milliseconds m_validUntil { 0 };
    Milliseconds m_noAcquireUntil { 0 };
    // The token of the last lease that was given up.
    std::uint64_t m_resignedToken { 0 };
    std::uint64_t m_completed { 0 };
};

} // namespace lupinknot::internal
