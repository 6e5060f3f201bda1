#include "model/LeaseModel.h"

#include "duty/LeaderLease.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace lupinknot::internal {

namespace {

constexpr std::int64_t tickMs = 25;
constexpr std::int64_t leaseMs = 3000;
constexpr std::int64_t callTimeoutMs = 700;
constexpr std::int64_t millisecondsInSecond = 1000;
constexpr double slowestClock = 0.99;
constexpr double fastestClock = 1.01;
// The chance of each fault in a tick.
constexpr double freezeChance = 0.0015;
constexpr double restartChance = 0.0008;
constexpr double copyChance = 0.003;
constexpr double restoreChance = 0.0008;
constexpr double storeOutageChance = 0.001;
constexpr double lostAnswerChance = 0.06;
constexpr double lateApplicationChance = 0.04;
constexpr std::int64_t longestFreezeMs = 8000;
constexpr std::int64_t longestOutageMs = 4000;
constexpr std::int64_t longestLateMs = 5000;
constexpr std::int64_t longestDelayMs = 60;

struct StoreState {
    // By era in the key.
    std::map<std::uint64_t, LeaderRecord> records;
    std::uint64_t version { 0 };
};

// A call to the store: it is applied at one time and its answer arrives at another, or never.
struct Call {
    LeaseStep step { LeaseStep::None };
    std::uint64_t era { 0 };
    LeaderRecord record;
    std::int64_t appliedAt { 0 };
    std::int64_t answeredAt { 0 };
    bool isAnswerLost { false };
    bool isApplied { false };
    // The answer.
    bool isSuccess { false };
    std::uint64_t answerEra { 0 };
    LeaderRecord answer;
};

struct Process {
    std::string name;
    std::unique_ptr<LeaderLease> lease;
    double clockSpeed { 1 };
    std::int64_t clockOffset { 0 };
    std::int64_t frozenUntil { 0 };
    std::int64_t frozenTotal { 0 };
    std::uint64_t era { 0 };
    std::shared_ptr<Call> call;
    Milliseconds callStartedAt { 0 };
};

struct Action {
    std::int64_t at;
    std::size_t process;
};

class LeaseSimulation {
public:
    explicit LeaseSimulation(const LeaseScenario& scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        m_processes.resize(static_cast<std::size_t>(scenario.processCount));
        for (std::size_t i = 0; i < m_processes.size(); ++i)
            restart(i);
    }

    LeaseOutcome run()
    {
        const auto end = m_scenario.seconds * millisecondsInSecond;
        std::int64_t ledTicks = 0;
        for (m_now = 0; m_now < end && m_outcome.violation.empty(); m_now += tickMs) {
            if (m_scenario.hasFaults)
                injectFaults();
            applyCalls();
            bool isLed = false;
            for (std::size_t i = 0; i < m_processes.size(); ++i)
                isLed = advance(i) || isLed;
            ledTicks += isLed ? 1 : 0;
        }
        m_outcome.ledShare = static_cast<double>(ledTicks * tickMs) / static_cast<double>(end);
        return m_outcome;
    }

private:
    bool happens(double chance) { return std::bernoulli_distribution(chance)(m_random); }
    std::int64_t upTo(std::int64_t most) { return std::uniform_int_distribution<std::int64_t>(0, most)(m_random); }

    Milliseconds localTime(const Process& process) const
    {
        auto elapsed = m_now;
        if (m_scenario.defect == LeaseDefect::ClockIgnoresSuspension)
            elapsed -= process.frozenTotal;
        return Milliseconds { process.clockOffset
            + static_cast<std::int64_t>(static_cast<double>(elapsed) * process.clockSpeed) };
    }

    void restart(std::size_t i)
    {
        auto& process = m_processes[i];
        process = {};
        process.name = "vm" + std::to_string(i) + "/" + std::to_string(++m_starts);
        process.lease = std::make_unique<LeaderLease>(process.name, Milliseconds { leaseMs });
        process.clockSpeed = std::uniform_real_distribution<double>(slowestClock, fastestClock)(m_random);
        process.clockOffset = upTo(longestLateMs);
    }

    void injectFaults()
    {
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            auto& process = m_processes[i];
            if (happens(freezeChance) && process.frozenUntil <= m_now) {
                const auto time = upTo(longestFreezeMs);
                process.frozenUntil = m_now + time;
                process.frozenTotal += time;
            }
            if (happens(restartChance))
                restart(i);
        }
        if (happens(copyChance))
            m_copy = m_store;
        if (happens(restoreChance)) {
            m_store = m_copy;
            ++m_era;
        }
        if (happens(storeOutageChance))
            m_storeDownUntil = m_now + upTo(longestOutageMs);
    }

    void applyCalls()
    {
        for (const auto& call : m_calls) {
            if (!call->isApplied && call->appliedAt <= m_now)
                apply(*call);
        }
        std::erase_if(m_calls, [](const auto& call) { return call->isApplied; });
    }

    void apply(Call& call)
    {
        call.isApplied = true;
        call.answerEra = m_era;
        if (m_now < m_storeDownUntil) {
            call.isAnswerLost = true;
            return;
        }
        auto& stored = m_store.records[call.era];
        const bool isWrite = call.step != LeaseStep::Read;
        call.isSuccess = isWrite
            && (stored.version == call.record.version || m_scenario.defect == LeaseDefect::UnconditionalWrites);
        if (call.isSuccess) {
            stored = call.record;
            stored.version = ++m_store.version;
        }
        call.answer = stored;
    }

    // Returns whether the process held the lease.
    bool advance(std::size_t i)
    {
        auto& process = m_processes[i];
        if (m_now < process.frozenUntil)
            return false;
        receive(process);
        start(process);
        if (!process.lease->isHeld(localTime(process)))
            return false;
        act(i, process.lease->fencingToken());
        return true;
    }

    void receive(Process& process)
    {
        const auto now = localTime(process);
        if (!process.call)
            return;
        const auto call = process.call;
        if (call->isApplied && !call->isAnswerLost && call->answeredAt <= m_now) {
            process.call.reset();
            noteAnswer(process, *call, now);
        } else if (now - process.callStartedAt >= Milliseconds { callTimeoutMs }) {
            process.call.reset();
            process.lease->noteFailure();
        }
    }

    void noteAnswer(Process& process, const Call& call, Milliseconds now)
    {
        if (m_scenario.defect != LeaseDefect::IgnoresEra && call.answerEra > process.era) {
            process.era = call.answerEra;
            process.lease->noteEra(process.era);
            return;
        }
        if (call.isSuccess)
            process.lease->noteWritten(call.answer.version, now);
        else
            process.lease->noteRecord(call.answer, now);
    }

    void start(Process& process)
    {
        const auto now = localTime(process);
        const auto step = process.lease->nextStep(now);
        if (process.call || step == LeaseStep::None)
            return;
        auto call = std::make_shared<Call>();
        call->step = step;
        call->era = process.era;
        process.lease->stepStarted(step, now);
        if (step != LeaseStep::Read)
            call->record = process.lease->recordToWrite(step);
        const bool isLate = m_scenario.hasFaults && happens(lateApplicationChance);
        call->appliedAt = m_now + upTo(isLate ? longestLateMs : longestDelayMs);
        call->answeredAt = call->appliedAt + upTo(longestDelayMs);
        call->isAnswerLost = m_scenario.hasFaults && happens(lostAnswerChance);
        process.call = call;
        process.callStartedAt = now;
        m_calls.push_back(std::move(call));
    }

    void act(std::size_t i, std::uint64_t token)
    {
        const auto& name = m_processes[i].name;
        const auto owner = m_ownerOfToken.emplace(token, name).first->second;
        if (owner != name)
            m_outcome.violation = at("token used by two processes");
        if (token < m_highestToken)
            m_outcome.violation = at("token lower than an earlier one");
        m_highestToken = std::max(m_highestToken, token);
        if (!m_actions.empty() && m_actions.back().process != i) {
            const auto earlier = std::find_if(
                m_actions.rbegin(), m_actions.rend(), [i](const Action& action) { return action.process == i; });
            if (earlier != m_actions.rend() && m_now - earlier->at <= leaseMs)
                m_outcome.violation = at("leaders alternate within a lease");
        }
        if (m_actions.empty() || m_actions.back().process != i) {
            m_actions.push_back({ m_now, i });
            ++m_outcome.leaders;
        }
        m_actions.back().at = m_now;
    }

    std::string at(const std::string& rule) const
    {
        return rule + " at " + std::to_string(m_now) + " ms, seed " + std::to_string(m_scenario.seed);
    }

    const LeaseScenario m_scenario;
    std::mt19937_64 m_random;
    std::int64_t m_now { 0 };
    unsigned m_starts { 0 };
    std::vector<Process> m_processes;
    StoreState m_store;
    StoreState m_copy;
    std::uint64_t m_era { 0 };
    std::int64_t m_storeDownUntil { 0 };
    std::vector<std::shared_ptr<Call>> m_calls;
    std::map<std::uint64_t, std::string> m_ownerOfToken;
    std::uint64_t m_highestToken { 0 };
    // The last action of each leader in a row.
    std::vector<Action> m_actions;
    LeaseOutcome m_outcome;
};

} // namespace

LeaseOutcome simulateLeases(const LeaseScenario& scenario) { return LeaseSimulation(scenario).run(); }

} // namespace lupinknot::internal
