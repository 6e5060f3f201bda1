// Says by cause how requests ended late or not at all, from the logs of the VMs that served them.
//
//     LossReport report;
//     report.read(file1);
//     report.read(file2);
//     report.write(std::cout);
//
// A request is one attempt of a caller; one that comes back is counted again, as returned. Refusals are also counted by
// reason and availability zone, waits by what the request waited for, calls to the platform's store by purpose.
// Not thread-safe.
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

// How an attempt ended.
enum class AttemptEnd {
    InTime,
    LateFirstEvent, // The first event came after the route's objective.
    LateFromCopy, // A pause was too long although the stream went on from a copy.
    LateCold, // A pause was too long because the prompt was read again.
    LateAnswer, // A plain call took longer than its route's objective.
    ServiceError, // The service itself answered with an error.
    Refused, // Ended by this VM without having run.
    Failed, // Ended by this VM after it may have run.
    CallerLeftEarly, // Before the first event or the answer.
    CallerLeftLate, // In the middle of its stream.
    VmEnded, // Its VM's log ends or begins anew before it does.
};

inline constexpr std::array<EnumName<AttemptEnd>, 11> attemptEndNames { {
    { AttemptEnd::InTime, "in time" },
    { AttemptEnd::LateFirstEvent, "late: first event" },
    { AttemptEnd::LateFromCopy, "late: resumed from a copy" },
    { AttemptEnd::LateCold, "late: resumed by reading the prompt again" },
    { AttemptEnd::LateAnswer, "late: answer" },
    { AttemptEnd::ServiceError, "the service's own error" },
    { AttemptEnd::Refused, "refused" },
    { AttemptEnd::Failed, "failed" },
    { AttemptEnd::CallerLeftEarly, "the caller left before its answer began" },
    { AttemptEnd::CallerLeftLate, "the caller left in the middle" },
    { AttemptEnd::VmEnded, "its VM ended" },
} };

class LossReport {
public:
    LossReport();
    ~LossReport();
    LossReport(const LossReport&) = delete;
    LossReport& operator=(const LossReport&) = delete;

    // Takes the events of one VM's log.
    void read(std::istream&);
    // Writes a table of the attempts by cause, and of the work that was lost. Returns how many attempts there were.
    std::size_t write(std::ostream&) const;
    // How many attempts ended so; for tests and other reports.
    std::size_t count(AttemptEnd end, bool hasReturned = false) const;
    // By "REASON in ZONE", by "waits for WHAT" and by "PURPOSE TABLE".
    const std::map<std::string, std::size_t>& refusals() const { return m_refusals; }
    const std::map<std::string, std::size_t>& waits() const { return m_waits; }
    const std::map<std::string, std::size_t>& storeCalls() const { return m_storeCalls; }

private:
    struct Attempt;

    void take(const nlohmann::json& event);
    void takeStreamEvent(Attempt&, const std::string& name, const nlohmann::json& event);
    static void takeDone(Attempt&, const nlohmann::json& event);
    static AttemptEnd endOf(const Attempt&);

    // What concerns the VM itself, and requests that were never admitted.
    void takeVmEvent(const std::string& name, const nlohmann::json& event);
    static void writeCounts(std::ostream&, const std::map<std::string, std::size_t>&, std::string_view what);

    std::map<std::string, Attempt> m_attempts;
    std::map<std::string, std::string> m_zonesOfVms;
    // Refusals by reason and zone, waits by what was lacking, calls to the platform's store by purpose.
    std::map<std::string, std::size_t> m_refusals;
    std::map<std::string, std::size_t> m_waits;
    std::map<std::string, std::size_t> m_storeCalls;
    // Runs that were lost, by failure, and the tokens that had to be read again.
    std::map<std::string, std::size_t> m_lostRuns;
    std::size_t m_coldResumptions { 0 };
    std::uint64_t m_tokensReadAgain { 0 };
};

} // namespace lupinknot::internal
