// Drives the decision parts through seeded interleavings: a runner and a replica, an engine that may die, links that
// lose what is on its way, pauses, a takeover, a caller who changes VMs. After each step the promises are checked.
//
// Tokens are numbered over the whole run, so a token of another run of the same request is seen wherever it shows.

#include "lupinknot/GenerationDriver.h"
#include "lupinknot/ManualClock.h"
#include "lupinknot/ReplicaStore.h"

#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;

namespace {

constexpr std::size_t stepsInRun = 250;
constexpr std::size_t runs = 1500;
constexpr std::size_t maxTokens = 30;
constexpr std::uint64_t epoch = 1;
const std::string key = "k";
const ViewMember runnerMember { "a", 1 };

// The mistakes that can be planted, to see that they are found.
enum class Plant {
    Nothing,
    NoSeal, // The record is taken over, but its runner is not kept out.
    ShowBeforeAcknowledged, // The caller sees what the replica may not hold.
    StartOver, // Work that must not be repeated is started again from nothing.
};

// One VM's generation, its attempts on the engine, and what the engine has sent and the VM has not read yet.
class Vm final : public AttemptHost {
public:
    Vm(bool repeatable, std::size_t& runsFromNothing)
        : driver({ { maxTokens, {} }, repeatable, Milliseconds::max() }, settings, *this)
        , m_runsFromNothing(runsFromNothing)
    {
    }

    std::optional<EndpointChoice> chooseEndpoint(const std::vector<EndpointName>&) override
    {
        return EndpointChoice { "e", std::make_shared<EndpointLiveness>(LivenessSettings {}) };
    }

    void startAttempt(const AttemptOrder& order) override
    {
        running = order.number;
        nextPosition = order.position;
        m_runsFromNothing += order.position ? 0 : 1;
    }

    void cancelAttempt(AttemptNumber) override { running = 0; }
    void attemptEnded(const AttemptEnd&) override { }
    void resumed(const ResumeReport&) override { }

    struct Sent {
        AttemptNumber attempt;
        std::size_t position;
        TokenId id;
    };

    RecoverySettings settings;
    GenerationDriver driver;
    AttemptNumber running { 0 };
    std::size_t nextPosition { 0 };
    std::deque<Sent> arriving;
    std::size_t acknowledged { 0 };
    std::size_t journaled { 0 };
    bool isPaused { false };
    bool isStopped { false };

private:
    std::size_t& m_runsFromNothing;
};

class World {
public:
    World(std::uint64_t seed, bool repeatable, Plant plant)
        : m_random(seed)
        , m_plant(plant)
        , m_isRepeatable(repeatable)
        , m_runner(repeatable || plant == Plant::StartOver, m_runsFromNothing)
        , m_taker(repeatable || plant == Plant::StartOver, m_runsFromNothing)
    {
        openRecord();
        m_runner.driver.start(m_clock.now());
    }

    // Runs to the first broken promise. Returns the trace up to it, or nothing.
    std::string run()
    {
        for (std::size_t i = 0; i < stepsInRun && m_broken.empty(); ++i) {
            m_clock.advance(Milliseconds { static_cast<std::int64_t>(m_random() % 20) });
            (this->*chooseStep())();
            if (!m_isRepeatable && m_runsFromNothing > 1)
                m_broken = "work that must not be repeated was started " + std::to_string(m_runsFromNothing) + " times";
        }
        return m_broken.empty() ? "" : m_trace + "-> " + m_broken;
    }

private:
    using Step = void (World::*)();

    Step chooseStep()
    {
        static constexpr Step steps[] = { &World::engineSends, &World::engineSends, &World::engineSends,
            &World::vmReads, &World::vmReads, &World::vmReads, &World::journalGoes, &World::journalGoes,
            &World::journalArrives, &World::journalArrives, &World::answerArrives, &World::answerArrives,
            &World::callerReads, &World::callerReads, &World::callerChangesVm, &World::engineDies, &World::linkLoses,
            &World::pauseOrWake };
        return steps[m_random() % std::size(steps)];
    }

    void note(const std::string& what) { m_trace += what + "; "; }
    Vm& any() { return m_random() % 2 ? m_runner : m_taker; }

    void engineSends()
    {
        auto& vm = any();
        if (vm.running)
            vm.arriving.push_back({ vm.running, vm.nextPosition++, ++m_lastToken });
    }

    void vmReads()
    {
        auto& vm = any();
        if (vm.isPaused || vm.arriving.empty())
            return;
        const auto sent = vm.arriving.front();
        vm.arriving.pop_front();
        vm.driver.tokenArrived(sent.attempt, sent.position, { sent.id, "" }, m_clock.now());
    }

    void openRecord()
    {
        ReplicaRecord record;
        record.runner = runnerMember;
        record.request.key = key;
        m_runner.isStopped = m_store.open(epoch, std::move(record)) == JournalResult::Refused;
        m_runner.journaled = 0;
    }

    void journalGoes()
    {
        const auto& tokens = m_runner.driver.generation().tokens();
        if (m_runner.isPaused || m_runner.isStopped || m_runner.journaled == tokens.size())
            return;
        m_journal.push_back(
            { m_runner.journaled, { tokens.begin() + static_cast<std::ptrdiff_t>(m_runner.journaled), tokens.end() } });
        m_runner.journaled = tokens.size();
    }

    void journalArrives()
    {
        if (m_journal.empty())
            return;
        auto [position, tokens] = m_journal.front();
        m_journal.pop_front();
        const auto end = position + tokens.size();
        const auto result = m_store.append(epoch, runnerMember, key, position, std::move(tokens));
        m_answers.push_back({ end, result });
    }

    void answerArrives()
    {
        if (m_answers.empty() || m_runner.isPaused)
            return;
        const auto [length, result] = m_answers.front();
        m_answers.pop_front();
        if (result == JournalResult::Applied)
            m_runner.acknowledged = std::max(m_runner.acknowledged, length);
        else
            stopRunner();
    }

    void stopRunner()
    {
        note("runner stops");
        m_runner.isStopped = true;
        m_runner.driver.stop(GenerationErrorCode::TakenOver);
    }

    void linkLoses()
    {
        note("link loses " + std::to_string(m_journal.size() + m_answers.size()));
        m_journal.clear();
        m_answers.clear();
        if (!m_runner.isPaused && !m_runner.isStopped)
            openRecord();
    }

    void engineDies()
    {
        auto& vm = any();
        if (vm.isPaused || !vm.running)
            return;
        note("engine dies");
        vm.driver.attemptFailed(vm.running, FailureKind::ConnectionLost, m_clock.now());
    }

    void pauseOrWake()
    {
        m_runner.isPaused = !m_runner.isPaused;
        note(m_runner.isPaused ? "runner pauses" : "runner wakes");
    }

    std::size_t visible(const Vm& vm) const
    {
        const auto released = vm.driver.generation().releasedLength();
        const bool showsAll = &vm == &m_taker || m_plant == Plant::ShowBeforeAcknowledged;
        return showsAll ? released : std::min(released, vm.acknowledged);
    }

    void callerReads()
    {
        const auto& vm = m_callerIsAtTaker ? m_taker : m_runner;
        if (vm.isPaused)
            return;
        const auto& tokens = vm.driver.generation().tokens();
        for (std::size_t i = 0; i < m_seen.size(); ++i) {
            if (i >= tokens.size() || tokens[i].id != m_seen[i]) {
                m_broken = "what the caller saw at " + std::to_string(i) + " is not in the answer that goes on";
                return;
            }
        }
        for (auto i = m_seen.size(); i < visible(vm); ++i)
            m_seen.push_back(tokens[i].id);
    }

    // The runner pauses, so its caller goes to the replica, which takes over; or the caller comes back to a runner that
    // woke, which goes by the id of the answer and not by its length.
    void callerChangesVm()
    {
        if (m_callerIsAtTaker) {
            const bool namesTheRunnersAnswer = m_seen.size() <= m_seenAtTakeover;
            if (namesTheRunnersAnswer && !m_runner.isPaused && !m_runner.isStopped
                && m_seen.size() <= visible(m_runner))
                m_callerIsAtTaker = false;
            return;
        }
        if (!m_runner.isPaused)
            return;
        if (!m_isTakenOver && !takeOver())
            return;
        if (m_seen.size() <= m_taker.driver.generation().length())
            m_callerIsAtTaker = true;
        else
            m_broken = "the replica does not hold what the caller saw";
    }

    bool takeOver()
    {
        if (!m_isRepeatable && m_plant != Plant::StartOver)
            return false;
        const auto record = m_plant == Plant::NoSeal ? m_store.find(key) : m_store.seal(key, m_clock.now());
        if (!record)
            return false;
        note("takeover at " + std::to_string(record->tokens.size()));
        m_isTakenOver = true;
        m_seenAtTakeover = record->tokens.size();
        m_taker.driver.adopt({ record->tokens, 1, std::nullopt });
        m_taker.driver.start(m_clock.now());
        return true;
    }

    std::mt19937_64 m_random;
    const Plant m_plant;
    const bool m_isRepeatable;
    ManualClock m_clock;
    std::size_t m_runsFromNothing { 0 };
    Vm m_runner;
    Vm m_taker;
    ReplicaStore m_store;
    std::deque<std::pair<std::size_t, std::vector<Token>>> m_journal;
    std::deque<std::pair<std::size_t, JournalResult>> m_answers;
    std::vector<TokenId> m_seen;
    bool m_callerIsAtTaker { false };
    bool m_isTakenOver { false };
    std::size_t m_seenAtTakeover { 0 };
    TokenId m_lastToken { 0 };
    std::string m_trace;
    std::string m_broken;
};

// The trace of the first seed that breaks a promise; nothing when none does.
std::string firstFailure(bool repeatable, Plant plant)
{
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        const auto trace = World(seed, repeatable, plant).run();
        if (!trace.empty())
            return "seed " + std::to_string(seed) + ": " + trace;
    }
    return "";
}

} // namespace

TEST_GROUP(Interleaving) {};

TEST(Interleaving, KeepsEveryAnswerItsOwn) { STRCMP_EQUAL("", firstFailure(true, Plant::Nothing).c_str()); }

TEST(Interleaving, StartsUnrepeatableWorkOnce) { STRCMP_EQUAL("", firstFailure(false, Plant::Nothing).c_str()); }

TEST(Interleaving, FindsAMissingSeal) { CHECK(!firstFailure(true, Plant::NoSeal).empty()); }

TEST(Interleaving, FindsTokensShownBeforeTheyAreHeld)
{
    CHECK(!firstFailure(true, Plant::ShowBeforeAcknowledged).empty());
}

TEST(Interleaving, FindsWorkThatIsStartedOver)
{
    STRCMP_CONTAINS("must not be repeated was started", firstFailure(false, Plant::StartOver).c_str());
}
