#include "duty/LeaderLease.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// Shares of the lease: the leader stops this much early, and the others wait this much longer, so that clocks may run
// at slightly different speeds and an action may take a moment to leave the VM.
constexpr int marginDivisor = 10;
constexpr int renewalDivisor = 3;
// How often the others read the record: a takeover starts at most this share of a lease late.
constexpr int readDivisor = 3;
// Tokens of an era start at the era times two to this power.
constexpr unsigned eraShift = 32;

} // namespace

LeaderLease::LeaderLease(std::string process, Milliseconds duration)
    : m_process(std::move(process))
    , m_duration(duration)
{
}

std::uint64_t LeaderLease::lowestTokenOfEra() const { return m_era << eraShift; }

bool LeaderLease::isOwn() const
{
    return m_known && m_known->process == m_process && m_known->fencingToken > m_resignedToken;
}

LeaseStep LeaderLease::nextStep(Milliseconds now) const
{
    if (m_stepUnderWay != LeaseStep::None)
        return LeaseStep::None;
    if (!m_known)
        return !m_hasStarted || now - m_lastStepAt >= m_duration / readDivisor ? LeaseStep::Read : LeaseStep::None;
    if (isOwn())
        return now - m_lastStepAt >= m_duration / renewalDivisor ? LeaseStep::Renew : LeaseStep::None;
    // Without a record in this era, a leader of an earlier era may still hold its lease.
    const bool hasExpired = now - m_seenAt >= m_duration + m_duration / marginDivisor;
    if (hasExpired && now >= m_noAcquireUntil)
        return LeaseStep::Acquire;
    return now - m_lastStepAt >= m_duration / readDivisor ? LeaseStep::Read : LeaseStep::None;
}

LeaderRecord LeaderLease::recordToWrite(LeaseStep step) const
{
    LeaderRecord record { m_process, m_known->fencingToken, m_completed, m_known->version };
    if (step == LeaseStep::Acquire) {
        record.fencingToken = std::max(m_known->fencingToken + 1, lowestTokenOfEra());
        record.completed = m_known->completed;
    }
    return record;
}

void LeaderLease::stepStarted(LeaseStep step, Milliseconds now)
{
    m_stepUnderWay = step;
    m_lastStepAt = now;
    m_hasStarted = true;
    if (step == LeaseStep::Acquire || step == LeaseStep::Renew)
        m_written = recordToWrite(step);
}

void LeaderLease::noteRecord(const LeaderRecord& record, Milliseconds now)
{
    m_stepUnderWay = LeaseStep::None;
    if (!m_known || m_known->version != record.version) {
        m_seenAt = now;
        if (!m_known || m_known->process != record.process)
            m_validUntil = Milliseconds { 0 };
    }
    m_known = record;
    if (!isOwn())
        m_completed = record.completed;
    else
        m_completed = std::max(m_completed, record.completed);
}

void LeaderLease::noteUnreadableRecord(std::uint64_t version, Milliseconds now)
{
    noteRecord({ "", lowestTokenOfEra() + version, 0, version }, now);
}

void LeaderLease::noteWritten(std::uint64_t version, Milliseconds now)
{
    if (m_stepUnderWay != LeaseStep::Acquire && m_stepUnderWay != LeaseStep::Renew)
        return;
    if (m_stepUnderWay == LeaseStep::Acquire)
        m_completed = m_written.completed;
    m_stepUnderWay = LeaseStep::None;
    m_known = m_written;
    m_known->version = version;
    m_seenAt = now;
    m_validUntil = m_lastStepAt + m_duration - m_duration / marginDivisor;
}

void LeaderLease::noteFailure()
{
    // The stored version may have changed, so that a further write would fail its condition.
    if (m_stepUnderWay == LeaseStep::Acquire)
        m_known.reset();
    m_stepUnderWay = LeaseStep::None;
}

void LeaderLease::noteEra(std::uint64_t era)
{
    if (era == m_era)
        return;
    m_era = era;
    m_known.reset();
    m_hasStarted = false;
    m_stepUnderWay = LeaseStep::None;
    m_validUntil = Milliseconds { 0 };
}

void LeaderLease::resign(Milliseconds time, Milliseconds now)
{
    if (isOwn())
        m_resignedToken = m_known->fencingToken;
    m_validUntil = Milliseconds { 0 };
    m_noAcquireUntil = now + time;
}

} // namespace lupinknot::internal
