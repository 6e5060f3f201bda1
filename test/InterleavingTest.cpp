// Tests the decision logic in seeded random interleavings of a runner, a replica that takes over, an engine that may
// crash, links that lose messages in flight, pauses, and a caller who changes VMs. The invariants are checked
// after each step.
//
// Token ids are unique over the whole run, so a token from another run of the same request is detected wherever it
// appears.

#include "lupinknot/GenerationDriver.h"
#include "lupinknot/ManualClock.h"
#include "lupinknot/ReplicaStore.h"

#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;

namespace {

constexpr std::size_t stepsPerRun = 250;
constexpr std::size_t seedCount = 1500;
constexpr std::size_t maxTokens = 30;
constexpr std::uint64_t epoch = 1;
const std::string key = "k";
const ViewMember runnerMember { "a", 1 };

// Bugs that a test can inject to check that the simulation detects them.
enum class InjectedBug {
    None,
    NoSeal, // The record is taken over, but its old runner can still write to it.
    ShowBeforeAcknowledged, // The caller gets tokens that the replica may not hold.
    RunAgain, // Work that must not be repeated is started again from the beginning.
};

// The generation of one VM, its attempts on the engine, and the tokens that the engine has sent and the VM has not read
// yet.
class Vm final : public AttemptHost {
public:
    Vm(bool repeatable, std::size_t& startsFromBeginning)
        : driver({ { maxTokens, {} }, repeatable, Milliseconds::max() }, settings, *this)
        , m_startsFromBeginning(startsFromBeginning)
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
        m_startsFromBeginning += order.position ? 0 : 1;
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
    std::deque<Sent> tokensInFlight;
    std::size_t acknowledged { 0 };
    std::size_t journaled { 0 };
    bool isPaused { false };
    bool isStopped { false };

private:
    std::size_t& m_startsFromBeginning;
};

class Simulation {
public:
    Simulation(std::uint64_t seed, bool repeatable, InjectedBug injectedBug)
        : m_random(seed)
        , m_injectedBug(injectedBug)
        , m_isRepeatable(repeatable)
        , m_runner(repeatable || injectedBug == InjectedBug::RunAgain, m_startsFromBeginning)
        , m_successor(repeatable || injectedBug == InjectedBug::RunAgain, m_startsFromBeginning)
    {
        openRecord();
        m_runner.driver.start(m_clock.now());
    }

    // Runs until an invariant is violated. Returns the trace up to that step, or an empty text when none is violated.
    std::string run()
    {
        for (std::size_t i = 0; i < stepsPerRun && m_violation.empty(); ++i) {
            m_clock.advance(Milliseconds { static_cast<std::int64_t>(m_random() % 20) });
            (this->*chooseStep())();
            if (!m_isRepeatable && m_startsFromBeginning > 1)
                m_violation
                    = "work that must not be repeated was started " + std::to_string(m_startsFromBeginning) + " times";
        }
        return m_violation.empty() ? "" : m_trace + "-> " + m_violation;
    }

private:
    using Step = void (Simulation::*)();

    Step chooseStep()
    {
        static constexpr Step steps[] = { &Simulation::sendToken, &Simulation::sendToken, &Simulation::sendToken,
            &Simulation::readToken, &Simulation::readToken, &Simulation::readToken, &Simulation::sendJournal,
            &Simulation::sendJournal, &Simulation::receiveJournal, &Simulation::receiveJournal,
            &Simulation::receiveAcknowledgement, &Simulation::receiveAcknowledgement, &Simulation::readAsCaller,
            &Simulation::readAsCaller, &Simulation::changeVmOfCaller, &Simulation::crashEngine,
            &Simulation::loseMessagesInFlight, &Simulation::pauseOrResumeRunner };
        return steps[m_random() % std::size(steps)];
    }

    void addToTrace(const std::string& what) { m_trace += what + "; "; }
    Vm& randomVm() { return m_random() % 2 ? m_runner : m_successor; }

    void sendToken()
    {
        auto& vm = randomVm();
        if (vm.running)
            vm.tokensInFlight.push_back({ vm.running, vm.nextPosition++, ++m_lastToken });
    }

    void readToken()
    {
        auto& vm = randomVm();
        if (vm.isPaused || vm.tokensInFlight.empty())
            return;
        const auto sent = vm.tokensInFlight.front();
        vm.tokensInFlight.pop_front();
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

    void sendJournal()
    {
        const auto& tokens = m_runner.driver.generation().tokens();
        if (m_runner.isPaused || m_runner.isStopped || m_runner.journaled == tokens.size())
            return;
        m_journalInFlight.push_back(
            { m_runner.journaled, { tokens.begin() + static_cast<std::ptrdiff_t>(m_runner.journaled), tokens.end() } });
        m_runner.journaled = tokens.size();
    }

    void receiveJournal()
    {
        if (m_journalInFlight.empty())
            return;
        auto [position, tokens] = m_journalInFlight.front();
        m_journalInFlight.pop_front();
        const auto end = position + tokens.size();
        const auto result = m_store.append(epoch, runnerMember, key, position, std::move(tokens));
        m_acknowledgements.push_back({ end, result });
    }

    void receiveAcknowledgement()
    {
        if (m_acknowledgements.empty() || m_runner.isPaused)
            return;
        const auto [length, result] = m_acknowledgements.front();
        m_acknowledgements.pop_front();
        if (result == JournalResult::Applied)
            m_runner.acknowledged = std::max(m_runner.acknowledged, length);
        else
            stopRunner();
    }

    void stopRunner()
    {
        addToTrace("runner is stopped");
        m_runner.isStopped = true;
        m_runner.driver.stop(GenerationErrorCode::TakenOver);
    }

    void loseMessagesInFlight()
    {
        addToTrace(
            "messages lost on the link: " + std::to_string(m_journalInFlight.size() + m_acknowledgements.size()));
        m_journalInFlight.clear();
        m_acknowledgements.clear();
        if (!m_runner.isPaused && !m_runner.isStopped)
            openRecord();
    }

    void crashEngine()
    {
        auto& vm = randomVm();
        if (vm.isPaused || !vm.running)
            return;
        addToTrace("engine crashes");
        vm.driver.attemptFailed(vm.running, FailureKind::ConnectionLost, m_clock.now());
    }

    void pauseOrResumeRunner()
    {
        m_runner.isPaused = !m_runner.isPaused;
        addToTrace(m_runner.isPaused ? "runner pauses" : "runner resumes");
    }

    std::size_t visible(const Vm& vm) const
    {
        const auto released = vm.driver.generation().releasedLength();
        const bool showsAll = &vm == &m_successor || m_injectedBug == InjectedBug::ShowBeforeAcknowledged;
        return showsAll ? released : std::min(released, vm.acknowledged);
    }

    void readAsCaller()
    {
        const auto& vm = m_isCallerAtSuccessor ? m_successor : m_runner;
        if (vm.isPaused)
            return;
        const auto& tokens = vm.driver.generation().tokens();
        for (std::size_t i = 0; i < m_tokensSeen.size(); ++i) {
            if (i >= tokens.size() || tokens[i].id != m_tokensSeen[i]) {
                m_violation = "the token that the caller got at position " + std::to_string(i)
                    + " is not in the continued answer";
                return;
            }
        }
        for (auto i = m_tokensSeen.size(); i < visible(vm); ++i)
            m_tokensSeen.push_back(tokens[i].id);
    }

    // While the runner is paused, its caller reconnects to the replica, which takes over. The caller may return to the
    // runner after the pause; the runner accepts the caller by the id of the answer and not by its length.
    void changeVmOfCaller()
    {
        if (m_isCallerAtSuccessor) {
            const bool hasRunnersAnswer = m_tokensSeen.size() <= m_lengthAtTakeover;
            if (hasRunnersAnswer && !m_runner.isPaused && !m_runner.isStopped
                && m_tokensSeen.size() <= visible(m_runner))
                m_isCallerAtSuccessor = false;
            return;
        }
        if (!m_runner.isPaused)
            return;
        if (!m_isTakenOver && !takeOver())
            return;
        if (m_tokensSeen.size() <= m_successor.driver.generation().length())
            m_isCallerAtSuccessor = true;
        else
            m_violation = "the replica does not hold all tokens that the caller got";
    }

    bool takeOver()
    {
        if (!m_isRepeatable && m_injectedBug != InjectedBug::RunAgain)
            return false;
        const auto record = m_injectedBug == InjectedBug::NoSeal ? m_store.find(key) : m_store.seal(key, m_clock.now());
        if (!record)
            return false;
        addToTrace("takeover at " + std::to_string(record->tokens.size()));
        m_isTakenOver = true;
        m_lengthAtTakeover = record->tokens.size();
        m_successor.driver.adopt({ record->tokens, 1, std::nullopt });
        m_successor.driver.start(m_clock.now());
        return true;
    }

    std::mt19937_64 m_random;
    const InjectedBug m_injectedBug;
    const bool m_isRepeatable;
    ManualClock m_clock;
    std::size_t m_startsFromBeginning { 0 };
    Vm m_runner;
    Vm m_successor;
    ReplicaStore m_store;
    std::deque<std::pair<std::size_t, std::vector<Token>>> m_journalInFlight;
    std::deque<std::pair<std::size_t, JournalResult>> m_acknowledgements;
    std::vector<TokenId> m_tokensSeen;
    bool m_isCallerAtSuccessor { false };
    bool m_isTakenOver { false };
    std::size_t m_lengthAtTakeover { 0 };
    TokenId m_lastToken { 0 };
    std::string m_trace;
    std::string m_violation;
};

// The trace of the first seed that violates an invariant; empty when there is none.
std::string firstViolation(bool repeatable, InjectedBug injectedBug)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        const auto trace = Simulation(seed, repeatable, injectedBug).run();
        if (!trace.empty())
            return "seed " + std::to_string(seed) + ": " + trace;
    }
    return "";
}

} // namespace

TEST_GROUP(Interleaving) {};

TEST(Interleaving, NeverMixesTwoAnswers) { STRCMP_EQUAL("", firstViolation(true, InjectedBug::None).c_str()); }

TEST(Interleaving, StartsUnrepeatableWorkOnce) { STRCMP_EQUAL("", firstViolation(false, InjectedBug::None).c_str()); }

TEST(Interleaving, DetectsAMissingSeal) { CHECK(!firstViolation(true, InjectedBug::NoSeal).empty()); }

TEST(Interleaving, DetectsTokensShownBeforeAcknowledgement)
{
    CHECK(!firstViolation(true, InjectedBug::ShowBeforeAcknowledged).empty());
}

TEST(Interleaving, DetectsUnrepeatableWorkThatIsRunAgain)
{
    STRCMP_CONTAINS("must not be repeated was started", firstViolation(false, InjectedBug::RunAgain).c_str());
}
