// Counts by cause the requests that were late, failed or were refused, from the logs of the VMs that served them.
//
//     LossReport report;
//     report.read(file1);
//     report.read(file2);
//     report.write(std::cout);
//
// Each attempt of a caller counts as one request; an attempt that returns to an earlier stream is counted separately,
// as returned. Refusals are also counted by reason and availability zone, waits by what the request waited for, and
// calls to the platform's store by purpose. The log line stream.not-sent-on gives the reason why a lost run was not
// continued, or not from its copy; attempts are also counted by rank, organisation and objective. Not thread-safe.
#pragma once

#include "lupinknot/EnumNames.h"
#include <array>
#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <ostream>
#include <string>

namespace lupinknot::internal {

// How an attempt of a caller ended.
enum class AttemptOutcome {
    InTime,
    LateFirstEvent, // The first event came later than the route's objective.
    LateFromCopy, // The longest pause exceeded the limit; the stream resumed from a KV-cache copy.
    LateFromPrefill, // The longest pause exceeded the limit; the stream resumed with a new prefill.
    LateResponse, // A plain call took longer than the route's objective.
    ServiceError, // The service responded with a status of 500 or more.
    Refused, // The VM rejected the request before it ran.
    Failed, // The VM ended the request after it may have run.
    CallerLeftBeforeResponse, // The caller disconnected before the first event or the response.
    CallerLeftDuringResponse, // The caller disconnected during its stream.
    VmLost, // The log ends or begins anew without an end of the attempt: its VM crashed or stopped.
};

inline constexpr std::array<EnumName<AttemptOutcome>, 11> attemptOutcomeNames { {
    { AttemptOutcome::InTime, "in time" },
    { AttemptOutcome::LateFirstEvent, "late: first event" },
    { AttemptOutcome::LateFromCopy, "late: resumed from a KV-cache copy" },
    { AttemptOutcome::LateFromPrefill, "late: resumed with a new prefill" },
    { AttemptOutcome::LateResponse, "late: response" },
    { AttemptOutcome::ServiceError, "error response of the service" },
    { AttemptOutcome::Refused, "refused" },
    { AttemptOutcome::Failed, "failed" },
    { AttemptOutcome::CallerLeftBeforeResponse, "the caller disconnected before the response began" },
    { AttemptOutcome::CallerLeftDuringResponse, "the caller disconnected during the response" },
    { AttemptOutcome::VmLost, "its VM crashed or stopped" },
} };

class LossReport {
public:
    LossReport();
    ~LossReport();
    LossReport(const LossReport&) = delete;
    LossReport& operator=(const LossReport&) = delete;

    // Adds the events of one VM's log.
    void read(std::istream&);
    // Writes a table of the attempts by outcome, then the lost runs, refusals, waits and calls to the store.
    // Returns the number of attempts.
    std::size_t write(std::ostream&) const;
    // Returns the number of attempts with this outcome; either only those that returned to a stream or only the others.
    std::size_t count(AttemptOutcome outcome, bool hasReturned = false) const;
    // Lost runs that were not continued, by reason; for those not continued from their copy only, "REASON, from its
    // copy"; where a usable copy existed, "REASON, with a copy".
    const std::map<std::string, std::size_t>& notContinued() const { return m_notContinued; }
    // Attempts that were not in time and all attempts, by a property such as "rank 2" or "organisation acme".
    struct GroupCount {
        std::size_t missed { 0 };
        std::size_t total { 0 };
    };
    std::map<std::string, GroupCount> countsByGroup() const;
    // Counts by "REASON in ZONE", by what was waited for, and by "PURPOSE TABLE".
    const std::map<std::string, std::size_t>& refusals() const { return m_refusals; }
    const std::map<std::string, std::size_t>& waits() const { return m_waits; }
    const std::map<std::string, std::size_t>& storeCalls() const { return m_storeCalls; }

private:
    struct Attempt;

    void addEvent(const nlohmann::json& event);
    void addStreamEvent(Attempt&, const std::string& name, const nlohmann::json& event);
    static void addCompletion(Attempt&, const nlohmann::json& event);
    static AttemptOutcome outcomeOf(const Attempt&);

    // Adds events of the VM itself, and refusals and waits, also of requests that were never admitted.
    void addVmEvent(const std::string& name, const nlohmann::json& event);
    static void addNotContinued(std::map<std::string, std::size_t>&, const nlohmann::json& event);
    static void writeCounts(std::ostream&, const std::map<std::string, std::size_t>&, std::string_view what);

    std::map<std::string, Attempt> m_attempts;
    std::map<std::string, std::string> m_zoneByVm;
    // See the accessors for the keys.
    std::map<std::string, std::size_t> m_refusals;
    std::map<std::string, std::size_t> m_waits;
    std::map<std::string, std::size_t> m_storeCalls;
    // Lost runs by failure, and the prompt tokens that were prefilled again to resume streams.
    std::map<std::string, std::size_t> m_lostRuns;
    std::map<std::string, std::size_t> m_notContinued;
    std::size_t m_prefillResumptions { 0 };
    std::uint64_t m_tokensPrefilledAgain { 0 };
};

} // namespace lupinknot::internal
