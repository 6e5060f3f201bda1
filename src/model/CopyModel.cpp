#include "model/CopyModel.h"

#include "copies/CopyRenewal.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>
#include <vector>

namespace lupinknot::internal {

namespace {

constexpr unsigned zoneCount = 3;
constexpr Milliseconds tick { 10 };
constexpr Milliseconds checkInterval { 90 };
constexpr Milliseconds restartTime { 1200 };
constexpr Milliseconds prefillTime { 1100 };
constexpr Milliseconds resumeTime { 50 };
constexpr Milliseconds refreshTime { 10 };
constexpr Milliseconds avoidZoneFor { 1000 };
constexpr Milliseconds handleTime { 4000 };
// Until the VM notices that a run was lost: connections are reset, or the engine is silent.
constexpr Milliseconds resetNoticedAfter { 10 };
constexpr Milliseconds silenceNoticedAfter { 300 };
// As in RelaySettings, for moves.
constexpr Milliseconds moveSpread { 600 };
constexpr Milliseconds moveInterval { 500 };
constexpr Milliseconds minTimeLeftForMove { 2500 };
// Failures begin when the first runs have ended.
constexpr Milliseconds firstFailureAt { 10'000 };
// Zones a, c, b fail in this order.
constexpr std::array<unsigned, zoneCount> failureOrder { 0, 2, 1 };

constexpr std::uint64_t failureSeedOffset = 1'000'000;
// Stands for the receiver of a copy that was sent to a failed engine.
constexpr std::uint64_t noIncarnation = ~std::uint64_t { 0 };

struct Engine {
    unsigned zone { 0 };
    // Changes with each failure.
    std::uint64_t incarnation { 0 };
    Milliseconds downUntil { 0 };
    Milliseconds linkFreeAt { 0 };
};

struct Zone {
    // When the VMs learned of the last failure.
    Milliseconds knownFailedAt { -1 };
    Milliseconds nextKnownAt { -1 };
    bool isSilent { false };
};

struct Copy {
    std::size_t engine { 0 };
    // The incarnation that receives the copy.
    std::uint64_t incarnation { 0 };
    Milliseconds requestedAt { 0 };
    // When the copy is complete, or when the order for it fails.
    Milliseconds doneAt { 0 };
    bool isRefreshRejected { false };
};

struct Run {
    std::size_t engine { 0 };
    std::uint64_t incarnation { 0 };
    Milliseconds startedAt { 0 };
    Milliseconds firstEventAt { 0 };
    Milliseconds endsAt { 0 };
    Milliseconds nextCheckAt { 0 };
    Milliseconds lostAt { 0 };
    Milliseconds lossNoticedAt { -1 };
    bool isLossCounted { false };
    Milliseconds nextMoveAt { -1 };
    double spread { 0 };
    std::optional<Copy> growing;
    std::optional<Copy> ordered;
    std::optional<Copy> pending;
    std::optional<CopyRenewal> renewal;
};

class Simulation {
public:
    explicit Simulation(const CopyScenario& scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
        , m_failureRandom(scenario.seed + failureSeedOffset)
        , m_engines(zoneCount * static_cast<std::size_t>(scenario.enginesPerZone))
    {
        for (std::size_t i = 0; i < m_engines.size(); ++i)
            m_engines[i].zone = static_cast<unsigned>(i % zoneCount);
    }

    CopyOutcome run()
    {
        auto nextFailureAt = firstFailureAt;
        double streamsDue = 0;
        for (; m_now < m_scenario.duration; m_now += tick) {
            if (m_now >= nextFailureAt) {
                failZone();
                nextFailureAt += timeToNextFailure();
            }
            for (auto& zone : m_zones) {
                if (zone.nextKnownAt >= Milliseconds { 0 } && m_now >= zone.nextKnownAt)
                    zone.knownFailedAt = std::exchange(zone.nextKnownAt, Milliseconds { -1 });
            }
            streamsDue += m_scenario.streamsPerSecond * static_cast<double>(tick.count()) / 1000;
            for (; streamsDue >= 1; --streamsDue)
                addRun();
            for (auto& run : m_runs) {
                advance(run);
                if (run.ordered)
                    m_outcome.heldCopies
                        += static_cast<double>(tick.count()) / static_cast<double>(m_scenario.duration.count());
            }
            std::erase_if(m_runs, [this](const Run& run) {
                return m_now >= run.endsAt && m_engines[run.engine].incarnation == run.incarnation;
            });
        }
        return m_outcome;
    }

private:
    static double fraction(std::mt19937_64& source) { return std::uniform_real_distribution<double>(0, 1)(source); }
    double random() { return fraction(m_random); }
    Milliseconds randomTime(Milliseconds from, Milliseconds to)
    {
        return from + Milliseconds { static_cast<std::int64_t>(random() * static_cast<double>((to - from).count())) };
    }

    Milliseconds timeToNextFailure()
    {
        if (!m_scenario.isMemoryless)
            return m_scenario.failureInterval;
        const auto factor = -std::log(1 - fraction(m_failureRandom));
        return Milliseconds { static_cast<std::int64_t>(
            factor * static_cast<double>(m_scenario.failureInterval.count())) };
    }

    bool isUp(const Engine& engine) const { return m_now >= engine.downUntil; }
    bool hasFailedSince(std::size_t engine, Milliseconds since) const
    {
        return m_zones[m_engines[engine].zone].knownFailedAt > since;
    }
    bool isZoneAvoided(unsigned zone) const
    {
        const auto& at = m_zones[zone].knownFailedAt;
        return at >= Milliseconds { 0 } && m_now - at < avoidZoneFor;
    }
    bool exists(const Copy& copy) const
    {
        const auto& engine = m_engines[copy.engine];
        return isUp(engine) && engine.incarnation == copy.incarnation && m_now >= copy.doneAt;
    }

    void failZone()
    {
        const auto number = m_scenario.isMemoryless ? static_cast<unsigned>(m_failureRandom() % zoneCount)
                                                    : failureOrder[m_failures % zoneCount];
        auto& zone = m_zones[number];
        zone.isSilent = m_failures++ % 2 == 1;
        zone.nextKnownAt = m_now + m_scenario.knownAfter;
        for (auto& engine : m_engines) {
            if (engine.zone != number || fraction(m_failureRandom) >= m_scenario.lostShare)
                continue;
            ++engine.incarnation;
            engine.downUntil = m_now + restartTime;
            engine.linkFreeAt = engine.downUntil;
        }
    }

    // An engine as a VM chooses it, which does not know of failures that are not reported yet.
    std::optional<std::size_t> chooseEngine(std::optional<unsigned> zoneToAvoid, bool mustBeUp)
    {
        constexpr unsigned maxDraws = 200;
        for (unsigned i = 0; i < maxDraws; ++i) {
            const auto number = static_cast<std::size_t>(m_random() % m_engines.size());
            const auto& engine = m_engines[number];
            if (engine.zone != zoneToAvoid && !isZoneAvoided(engine.zone) && (!mustBeUp || isUp(engine)))
                return number;
        }
        return std::nullopt;
    }

    // Starts a copy of the run's memory; its doneAt is when both links have carried it.
    Copy copyTo(const Run& run, std::size_t target, Milliseconds time)
    {
        auto& from = m_engines[run.engine];
        auto& to = m_engines[target];
        if (isUp(to)) {
            for (auto* engine : { &from, &to })
                engine->linkFreeAt = std::max(m_now, engine->linkFreeAt) + time;
        }
        const auto doneAt = std::max(from.linkFreeAt, to.linkFreeAt);
        return { target, isUp(to) ? to.incarnation : noIncarnation, m_now, doneAt };
    }

    Milliseconds copyTime() { return randomTime(Milliseconds { 100 }, Milliseconds { 250 }); }

    void beginAt(Run& run, std::size_t engine, Milliseconds firstEventAt)
    {
        run.engine = engine;
        run.incarnation = m_engines[engine].incarnation;
        run.startedAt = m_now;
        run.firstEventAt = firstEventAt;
        run.nextCheckAt = m_now + checkInterval;
        run.lossNoticedAt = Milliseconds { -1 };
        run.isLossCounted = false;
        run.nextMoveAt = Milliseconds { -1 };
        run.ordered.reset();
        run.pending.reset();
        run.renewal.emplace(m_scenario.settings, run.spread);
        run.growing.reset();
        if (const auto holder = chooseEngine(m_engines[engine].zone, false)) {
            run.growing = copyTo(run, *holder, copyTime());
            run.growing->doneAt += firstEventAt - m_now;
        }
    }

    void addRun()
    {
        const auto engine = chooseEngine(std::nullopt, true);
        if (!engine)
            return;
        auto& run = m_runs.emplace_back();
        run.spread = random();
        run.endsAt = m_now + randomTime(Milliseconds { 5000 }, Milliseconds { 10'000 });
        beginAt(run, *engine, m_now + prefillTime);
    }

    void advance(Run& run)
    {
        const auto& engine = m_engines[run.engine];
        if (engine.incarnation != run.incarnation) {
            if (run.lossNoticedAt < Milliseconds { 0 }) {
                run.lostAt = m_now;
                run.lossNoticedAt = m_now + (m_zones[engine.zone].isSilent ? silenceNoticedAfter : resetNoticedAfter);
            } else if (m_now >= run.lossNoticedAt) {
                continueElsewhere(run);
            }
            return;
        }
        if (run.pending && m_now >= run.pending->doneAt)
            endOrder(run);
        if (m_now < run.nextCheckAt)
            return;
        run.nextCheckAt = m_now + checkInterval;
        if (m_scenario.upkeep == CopyUpkeep::Renewal)
            considerRenewal(run);
        else if (m_scenario.upkeep == CopyUpkeep::StopAndCopy)
            considerMove(run);
    }

    CopyHolderState stateOf(const Copy& copy) const
    {
        return { .hasZoneFailed = hasFailedSince(copy.engine, copy.requestedAt) };
    }

    CopiedRun describe(const Run& run) const
    {
        CopiedRun described { .hasEvent = m_now >= run.firstEventAt,
            .mayRunAgain = true,
            .isSourceUsable = !isZoneAvoided(m_engines[run.engine].zone),
            .timeLeft = run.endsAt - m_now,
            .handleTime = handleTime,
            .growing = {},
            .ordered = {},
            .pending = {} };
        if (run.growing)
            described.growing = stateOf(*run.growing);
        if (run.ordered)
            described.ordered = { stateOf(*run.ordered), run.ordered->requestedAt, run.ordered->isRefreshRejected };
        if (run.pending)
            described.pending = stateOf(*run.pending);
        return described;
    }

    void continueElsewhere(Run& run)
    {
        auto described = describe(run);
        described.hasEvent = run.lostAt >= run.firstEventAt;
        m_outcome.lost += described.hasEvent && !run.isLossCounted ? 1 : 0;
        run.isLossCounted = true;
        for (const auto kind : usableCopies(described, m_now)) {
            const auto copy = kind == CopyKind::Growing ? *run.growing : *run.ordered;
            if (isZoneAvoided(m_engines[copy.engine].zone))
                continue;
            if (!exists(copy)) {
                ++m_outcome.rejected;
                continue;
            }
            ++m_outcome.covered;
            run.endsAt += m_now - run.lostAt + resumeTime;
            beginAt(run, copy.engine, m_now + resumeTime);
            return;
        }
        if (const auto engine = chooseEngine(std::nullopt, true)) {
            run.endsAt += m_now - run.lostAt + prefillTime;
            beginAt(run, *engine, m_now + prefillTime);
        }
    }

    void considerRenewal(Run& run)
    {
        const auto decision = run.renewal->decide(describe(run), m_now);
        if (decision.action == CopyAction::Refresh) {
            ++m_outcome.refreshes;
            sendOrder(run, run.ordered->engine, refreshTime);
        } else if (decision.action == CopyAction::Order) {
            const auto target = chooseEngine(m_engines[run.engine].zone, false);
            if (!target) {
                run.renewal->noteNoTarget(m_now);
                return;
            }
            ++m_outcome.orders;
            sendOrder(run, *target, copyTime());
        }
    }

    void sendOrder(Run& run, std::size_t target, Milliseconds time)
    {
        run.pending = copyTo(run, target, time);
        const auto& engine = m_engines[target];
        if (!isUp(engine)) {
            run.pending->doneAt = m_now + (m_zones[engine.zone].isSilent ? m_scenario.settings.copyOrderTimeout : tick);
        }
    }

    void endOrder(Run& run)
    {
        const auto pending = *std::exchange(run.pending, std::nullopt);
        const bool isMade = exists(pending);
        run.renewal->noteOrderEnded(isMade ? CopyOrderResult::Copied : CopyOrderResult::Rejected, m_now);
        if (isMade && m_scenario.upkeep == CopyUpkeep::StopAndCopy) {
            ++m_outcome.moves;
            beginAt(run, pending.engine, m_now + resumeTime);
        } else if (isMade) {
            run.ordered = pending;
        } else if (run.ordered && run.ordered->engine == pending.engine) {
            run.ordered->isRefreshRejected = true;
        }
    }

    void considerMove(Run& run)
    {
        const bool isCovered = run.growing && !hasFailedSince(run.growing->engine, run.startedAt);
        if (isCovered || run.pending || m_now < run.firstEventAt || run.endsAt - m_now < minTimeLeftForMove
            || isZoneAvoided(m_engines[run.engine].zone) || m_now < run.nextMoveAt)
            return;
        if (run.nextMoveAt < Milliseconds { 0 }) {
            run.nextMoveAt = m_now
                + Milliseconds { static_cast<std::int64_t>(run.spread * static_cast<double>(moveSpread.count())) };
            return;
        }
        run.nextMoveAt = m_now + moveInterval;
        if (const auto target = chooseEngine(m_engines[run.engine].zone, false)) {
            ++m_outcome.orders;
            sendOrder(run, *target, copyTime());
        }
    }

    const CopyScenario& m_scenario;
    std::mt19937_64 m_random;
    // Separate, so that the same seed has the same failures whatever is done about copies.
    std::mt19937_64 m_failureRandom;
    std::vector<Engine> m_engines;
    std::array<Zone, zoneCount> m_zones;
    std::vector<Run> m_runs;
    unsigned m_failures { 0 };
    Milliseconds m_now { 0 };
    CopyOutcome m_outcome;
};

} // namespace

CopyOutcome simulateCopies(const CopyScenario& scenario) { return Simulation(scenario).run(); }

} // namespace lupinknot::internal
