#include "ctl/LossReport.h"

#include "ctl/LogReader.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>

namespace lupinknot::internal {

namespace {

constexpr int firstServerErrorStatus = 500;
constexpr int columnWidth = 9;

std::int64_t numberIn(const nlohmann::json& event, const char* name)
{
    const auto found = event.find(name);
    return found != event.end() && found->is_number() ? found->get<std::int64_t>() : 0;
}

std::string stringIn(const nlohmann::json& event, const char* name)
{
    const auto found = event.find(name);
    return found != event.end() && found->is_string() ? found->get<std::string>() : std::string();
}

bool flagIn(const nlohmann::json& event, const char* name)
{
    const auto found = event.find(name);
    return found != event.end() && found->is_boolean() && found->get<bool>();
}

// Whether a response with this status guarantees that the request has not run.
bool guaranteesNotRun(std::int64_t status)
{
    constexpr std::array<std::int64_t, 4> statusesOfRequestsNotRun { 408, 421, 429, 503 };
    return std::count(statusesOfRequestsNotRun.begin(), statusesOfRequestsNotRun.end(), status) > 0;
}

} // namespace

struct LossReport::Attempt {
    // Limits of the route in milliseconds; 0 if the log has none.
    std::int64_t objective { 0 };
    std::int64_t maxPause { 0 };
    std::int64_t promptTokens { 0 };
    // Empty for requests without an organisation, and for logs without ranks.
    std::string organisation;
    std::string rank;
    bool isStream { false };
    bool hasReturned { false };
    bool hasFirstEvent { false };
    bool isRunFromPrefill { false };
    std::int64_t firstEventAfter { 0 };
    std::int64_t longestResumptionPause { 0 };
    bool wasLongestFromPrefill { false };
    bool hasCallerLeft { false };
    // Set by the event that ends the attempt.
    bool isDone { false };
    std::string outcome;
    std::int64_t status { 0 };
    std::int64_t duration { 0 };
};

LossReport::LossReport() = default;

LossReport::~LossReport() = default;

void LossReport::read(std::istream& log)
{
    readLog(log, [this](const nlohmann::json& event, const std::string&) { addEvent(event); });
}

void LossReport::addEvent(const nlohmann::json& event)
{
    const auto name = event["event"].get<std::string>();
    addVmEvent(name, event);
    const auto request = stringIn(event, "request");
    if (request.empty())
        return;
    if (name == "request.admitted") {
        auto& attempt = m_attempts[request];
        attempt.objective = numberIn(event, "objective_ms");
        attempt.maxPause = numberIn(event, "longest_pause_ms");
        attempt.promptTokens = numberIn(event, "prompt_tokens");
        attempt.organisation = stringIn(event, "organisation");
        if (const auto rank = numberIn(event, "rank"); event.contains("rank") && rank >= 0)
            attempt.rank = std::to_string(rank);
        return;
    }
    const auto admitted = m_attempts.find(request);
    if (admitted == m_attempts.end())
        return;
    auto& attempt = admitted->second;
    if (name == "stream.done" || name == "request.done" || name == "request.refused")
        addCompletion(attempt, event);
    else if (name == "request.caller-gone")
        attempt.hasCallerLeft = true;
    else if (name.rfind("stream.", 0) == 0)
        addStreamEvent(attempt, name, event);
}

void LossReport::addVmEvent(const std::string& name, const nlohmann::json& event)
{
    if (name == "process.started") {
        m_zoneByVm[stringIn(event, "vm")] = stringIn(event, "zone");
    } else if (name == "store.called") {
        ++m_storeCalls[stringIn(event, "purpose") + " " + stringIn(event, "table")];
    } else if (name == "request.waits-for-news") {
        ++m_waits["configuration or endpoints after the start of the VM"];
    } else if (name == "request.waits-for-place") {
        ++m_waits["capacity, after " + stringIn(event, "reason")];
    } else if (name == "request.refused" || (name == "stream.done" && guaranteesNotRun(numberIn(event, "status")))) {
        const auto zone = m_zoneByVm.find(stringIn(event, "vm"));
        const auto reason = stringIn(event, name == "request.refused" ? "reason" : "outcome");
        ++m_refusals[reason + " in " + (zone == m_zoneByVm.end() ? "an unknown zone" : zone->second)];
    }
}

void LossReport::addStreamEvent(Attempt& attempt, const std::string& name, const nlohmann::json& event)
{
    attempt.isStream = true;
    if (name == "stream.returned") {
        attempt.hasReturned = true;
    } else if (name == "stream.sent") {
        attempt.isRunFromPrefill = !flagIn(event, "from_copy");
        if (attempt.isRunFromPrefill && numberIn(event, "after_event") > 0) {
            ++m_prefillResumptions;
            m_tokensPrefilledAgain += static_cast<std::uint64_t>(std::max<std::int64_t>(attempt.promptTokens, 0));
        }
    } else if (name == "stream.first-event") {
        attempt.hasFirstEvent = true;
        attempt.firstEventAfter = numberIn(event, "since_admitted_ms");
    } else if (name == "stream.run-lost") {
        ++m_lostRuns[stringIn(event, "failure") + (attempt.hasFirstEvent ? "" : ", before the first event")];
    } else if (name == "stream.not-sent-on") {
        addNotContinued(m_notContinued, event);
    } else if (name == "stream.resumed" && numberIn(event, "pause_ms") > attempt.longestResumptionPause) {
        attempt.longestResumptionPause = numberIn(event, "pause_ms");
        attempt.wasLongestFromPrefill = !flagIn(event, "from_copy");
    }
}

void LossReport::addNotContinued(std::map<std::string, std::size_t>& counts, const nlohmann::json& event)
{
    const std::string_view what = !flagIn(event, "ends") ? ", from its copy"
        : flagIn(event, "has_copy")                      ? ", with a copy"
                                                         : "";
    ++counts[stringIn(event, "reason").append(what)];
}

void LossReport::addCompletion(Attempt& attempt, const nlohmann::json& event)
{
    attempt.isDone = true;
    attempt.outcome = stringIn(event, stringIn(event, "outcome").empty() ? "reason" : "outcome");
    attempt.status = numberIn(event, "status");
    attempt.duration = numberIn(event, "took_ms");
}

AttemptOutcome LossReport::outcomeOf(const Attempt& attempt)
{
    if (!attempt.isDone) {
        if (!attempt.hasCallerLeft)
            return AttemptOutcome::VmLost;
        return attempt.hasFirstEvent ? AttemptOutcome::CallerLeftDuringResponse
                                     : AttemptOutcome::CallerLeftBeforeResponse;
    }
    if (attempt.outcome == "endpoint-status" && attempt.status >= firstServerErrorStatus)
        return AttemptOutcome::ServiceError;
    const bool isServed
        = attempt.outcome == "complete" || attempt.outcome == "answered" || attempt.outcome == "endpoint-status";
    if (!isServed)
        return guaranteesNotRun(attempt.status) ? AttemptOutcome::Refused : AttemptOutcome::Failed;
    if (!attempt.isStream)
        return attempt.objective > 0 && attempt.duration > attempt.objective ? AttemptOutcome::LateResponse
                                                                             : AttemptOutcome::InTime;
    if (attempt.maxPause > 0 && attempt.longestResumptionPause > attempt.maxPause)
        return attempt.wasLongestFromPrefill ? AttemptOutcome::LateFromPrefill : AttemptOutcome::LateFromCopy;
    const bool isLate = attempt.objective > 0 && attempt.firstEventAfter > attempt.objective;
    return isLate ? AttemptOutcome::LateFirstEvent : AttemptOutcome::InTime;
}

std::size_t LossReport::count(AttemptOutcome outcome, bool hasReturned) const
{
    return static_cast<std::size_t>(std::count_if(m_attempts.begin(), m_attempts.end(), [&](const auto& entry) {
        return entry.second.hasReturned == hasReturned && outcomeOf(entry.second) == outcome;
    }));
}

std::map<std::string, LossReport::GroupCount> LossReport::countsByGroup() const
{
    std::map<std::string, GroupCount> counts;
    for (const auto& entry : m_attempts) {
        const auto& attempt = entry.second;
        const bool isMissed = outcomeOf(attempt) != AttemptOutcome::InTime;
        const auto add = [&](const std::string& group) {
            auto& count = counts[group];
            ++count.total;
            count.missed += isMissed ? 1 : 0;
        };
        if (!attempt.rank.empty())
            add("rank " + attempt.rank);
        if (!attempt.organisation.empty())
            add("organisation " + attempt.organisation);
        add("objective " + std::to_string(attempt.objective) + " ms");
    }
    return counts;
}

void LossReport::writeCounts(std::ostream& out, const std::map<std::string, std::size_t>& counts, std::string_view what)
{
    for (const auto& [name, number] : counts)
        out << std::setw(columnWidth) << number << "  " << what << name << "\n";
}

std::size_t LossReport::write(std::ostream& out) const
{
    struct Row {
        std::size_t calls { 0 };
        std::size_t streams { 0 };
        std::size_t returned { 0 };
    };
    std::array<Row, attemptOutcomeNames.size()> rows;
    for (const auto& entry : m_attempts) {
        const auto& attempt = entry.second;
        auto& row = rows[static_cast<std::size_t>(outcomeOf(attempt))];
        ++(attempt.hasReturned ? row.returned : attempt.isStream ? row.streams : row.calls);
    }
    constexpr int width = columnWidth;
    out << std::setw(width) << "calls" << std::setw(width) << "streams" << std::setw(width) << "returned"
        << "  ended\n";
    for (const auto& name : attemptOutcomeNames) {
        const auto& row = rows[static_cast<std::size_t>(name.value)];
        out << std::setw(width) << row.calls << std::setw(width) << row.streams << std::setw(width) << row.returned
            << "  " << name.name << "\n";
    }
    for (const auto& [failure, number] : m_lostRuns)
        out << std::setw(width) << number << "  runs lost: " << failure << "\n";
    out << std::setw(width) << m_prefillResumptions << "  runs resumed with a new prefill, " << m_tokensPrefilledAgain
        << " tokens\n";
    writeCounts(out, m_notContinued, "lost runs not continued: ");
    for (const auto& [group, count] : countsByGroup())
        out << std::setw(width) << count.missed << "  of " << count.total << " not in time: " << group << "\n";
    writeCounts(out, m_refusals, "refused: ");
    writeCounts(out, m_waits, "waits for ");
    writeCounts(out, m_storeCalls, "calls to the store: ");
    return m_attempts.size();
}

} // namespace lupinknot::internal
