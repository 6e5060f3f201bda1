#include "model/EngineLoadModel.h"

#include "placement/EnginePaces.h"
#include "placement/EventGaps.h"
#include "relay/EndpointDirectory.h"
#include "relay/Placement.h"
#include "relay/ServicePace.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numbers>
#include <optional>
#include <queue>
#include <random>

namespace lupinknot::internal {

namespace {

// docs/LOAD.md: the prefill of a prompt of 8,000 tokens takes 1 to 1.3 s in steps of 200 tokens; a run gets a token
// every 7 ms, or every 32 ms during a prefill.
constexpr std::uint32_t stepTokens = 200;
constexpr double stepTime = 25;
constexpr double tokenTime = 7;
constexpr std::uint32_t tokensPerEvent = 4;
constexpr std::uint32_t engineMemory = 55000;
constexpr std::size_t engineSlots = 8;
constexpr double slowPhaseFactor = 2.5;
constexpr std::size_t zoneCount = 3;
constexpr double reportInterval = 50;
constexpr double returnsAfter = 1200;
// A VM notices a loss of a run after about this time, and a continued run needs another one for the copy.
constexpr double detectionTime = 250;
constexpr double continueTime = 100;
constexpr double failingShare = 0.9;
const std::string service = "chat";

struct Stream {
    double arrivedAt { 0 };
    std::size_t zone { 0 };
    // The engine that has failed under its last run, until the zone's VMs have noticed it.
    std::optional<std::size_t> lostAt;
    std::uint32_t tokensToRead { 0 };
    std::uint32_t tokensMade { 0 };
    double sentAt { 0 };
    double firstEventAt { -1 };
    double lastEventAt { 0 };
    double worstPause { 0 };
    bool isCounted { false };
    // Lost before its first event at some engine, so that its first event says nothing about a prefill.
    bool wasLost { false };
    // True while a copy of its memory exists for a run that was lost after its first event.
    bool hasCopy { false };
    EventGaps gaps;
};

struct Engine {
    SocketAddress address;
    std::size_t zone { 0 };
    double speed { 1 };
    double slowUntil { 0 };
    double isDownUntil { 0 };
    bool isStepping { false };
    // Counts failures, so that a step that was under way at a failure is ignored.
    std::uint32_t life { 0 };
    std::deque<std::size_t> waiting;
    std::vector<std::size_t> reading;
    std::vector<std::size_t> generating;
    std::deque<EngineReport> reports;
};

enum class EventKind { Arrival, Place, Step, Report, SlowPhase, ZoneFailure, Return, SpeedChange };

struct Event {
    double at;
    EventKind kind;
    std::size_t index;
    std::uint32_t life { 0 };
    std::uint64_t order { 0 };
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
};

// What the VMs of one zone know together.
struct ZoneView {
    RelaySettings settings;
    std::unique_ptr<EndpointDirectory> directory;
    std::unique_ptr<Placement> placement;
    EnginePaces paces;
    ServicePace servicePace;
};

class EngineLoadModel {
public:
    explicit EngineLoadModel(const EngineLoadScenario& scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        addEngines();
        for (std::size_t zone = 0; zone < zoneCount; ++zone)
            addView(zone);
    }

    EngineLoadOutcome run();

private:
    void addEngines();
    void addView(std::size_t zone);
    void schedule(double delay, EventKind kind, std::size_t index = 0, std::uint32_t life = 0)
    {
        m_events.push({ m_now + delay, kind, index, life, ++m_order });
    }
    double random() { return m_uniform(m_random); }
    double randomInterval(double perSecond) { return -std::log(1 - random()) * 1000 / perSecond; }
    Milliseconds now() const { return Milliseconds { static_cast<std::int64_t>(m_now) }; }
    std::string nameOf(std::size_t engine) const { return "e" + std::to_string(engine); }

    void handle(const Event&);
    void arrive(std::size_t zone);
    double demandOf(std::size_t zone) const;
    void place(std::size_t stream);
    std::size_t choose(ZoneView&);
    void noteReports(const std::vector<std::shared_ptr<RelayEndpoint>>&);
    void admit(Engine&);
    void startStep(std::size_t engine);
    void endStep(std::size_t engine);
    void makeToken(std::size_t engine, std::size_t stream);
    void recordFirstEvent(const Stream&, const Engine&);
    void endRun(const Engine&, Stream&);
    void finish(Stream&);
    void failZone();
    void lose(std::size_t engine, std::size_t stream);
    void noteReturned(std::size_t engine);
    double meanPaceError() const;

    const EngineLoadScenario& m_scenario;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_uniform { 0.0, 1.0 };
    boost::asio::io_context m_ioContext;
    std::vector<Engine> m_engines;
    std::vector<Stream> m_streams;
    std::array<ZoneView, zoneCount> m_views;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_order { 0 };
    double m_now { 0 };
    std::size_t m_failingZone { 0 };
    EngineLoadOutcome m_outcome;
    std::vector<double> m_firstEvents;
};

void EngineLoadModel::addEngines()
{
    for (std::size_t i = 0; i < m_scenario.engineCount; ++i) {
        Engine engine;
        engine.address = { "10.0.0.1", static_cast<std::int64_t>(1000 + i) };
        engine.zone = i % zoneCount;
        engine.speed = m_scenario.speeds[i / zoneCount % m_scenario.speeds.size()];
        m_engines.push_back(std::move(engine));
    }
}

void EngineLoadModel::addView(std::size_t zone)
{
    auto& view = m_views.at(zone);
    view.settings.availabilityZone = "z" + std::to_string(zone);
    view.directory = std::make_unique<EndpointDirectory>(m_ioContext, view.settings);
    view.placement = std::make_unique<Placement>(*view.directory, view.settings, m_scenario.seed + zone);
    if (m_scenario.selection != EngineSelection::ServicePace)
        view.placement->setPaces(&view.paces);
    std::vector<EndpointEntry> entries;
    for (std::size_t i = 0; i < m_engines.size(); ++i)
        entries.push_back({ nameOf(i), service, m_engines[i].address, "z" + std::to_string(m_engines[i].zone),
            static_cast<std::uint32_t>(engineSlots), false });
    view.directory->replaceAll(std::move(entries), Milliseconds { 0 });
}

EngineLoadOutcome EngineLoadModel::run()
{
    for (std::size_t zone = 0; zone < zoneCount; ++zone)
        schedule(0, EventKind::Arrival, zone);
    schedule(0, EventKind::Report);
    if (m_scenario.slowPhasesPerSecond > 0)
        schedule(0, EventKind::SlowPhase);
    if (m_scenario.hasZoneFailures)
        schedule(5000, EventKind::ZoneFailure);
    if (m_scenario.speedsChangeAt > Milliseconds { 0 })
        schedule(static_cast<double>(m_scenario.speedsChangeAt.count()), EventKind::SpeedChange);
    const auto end = static_cast<double>(m_scenario.length.count());
    while (!m_events.empty() && m_events.top().at < end) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        handle(event);
    }
    if (!m_firstEvents.empty()) {
        double sum = 0;
        for (const auto time : m_firstEvents)
            sum += time;
        m_outcome.meanFirstEvent
            = Milliseconds { static_cast<std::int64_t>(sum / static_cast<double>(m_firstEvents.size())) };
        std::sort(m_firstEvents.begin(), m_firstEvents.end());
        m_outcome.slowestTenthFirstEvent
            = Milliseconds { static_cast<std::int64_t>(m_firstEvents[m_firstEvents.size() * 9 / 10]) };
    }
    m_outcome.meanPaceError = meanPaceError();
    return m_outcome;
}

void EngineLoadModel::handle(const Event& event)
{
    switch (event.kind) {
    case EventKind::Arrival:
        arrive(event.index);
        break;
    case EventKind::Place:
        place(event.index);
        break;
    case EventKind::Step:
        if (m_engines[event.index].life == event.life)
            endStep(event.index);
        break;
    case EventKind::Report: {
        constexpr std::size_t reportsKept = 16;
        for (auto& engine : m_engines) {
            engine.reports.push_front(
                { static_cast<std::uint32_t>(engine.reading.size()), static_cast<std::uint32_t>(engine.waiting.size()),
                    static_cast<std::uint32_t>(engine.generating.size()), 0, engineMemory });
            if (engine.reports.size() > reportsKept)
                engine.reports.pop_back();
        }
        schedule(reportInterval, EventKind::Report);
        break;
    }
    case EventKind::SlowPhase: {
        auto& engine = m_engines[static_cast<std::size_t>(random() * static_cast<double>(m_engines.size()))];
        constexpr double shortest = 300;
        constexpr double spread = 400;
        engine.slowUntil = m_now + shortest + spread * random();
        schedule(randomInterval(m_scenario.slowPhasesPerSecond * static_cast<double>(m_engines.size())),
            EventKind::SlowPhase);
        break;
    }
    case EventKind::ZoneFailure:
        failZone();
        break;
    case EventKind::Return:
        noteReturned(event.index);
        break;
    case EventKind::SpeedChange: {
        const auto first = m_engines.front().speed;
        for (std::size_t i = 0; i + zoneCount < m_engines.size(); ++i)
            m_engines[i].speed = m_engines[i + zoneCount].speed;
        m_engines.back().speed = first;
        break;
    }
    }
}

double EngineLoadModel::demandOf(std::size_t zone) const
{
    const auto even = m_scenario.streamsPerSecond / zoneCount;
    if (m_scenario.swingsInOneZone && zone != 0)
        return even;
    const auto phase
        = static_cast<double>(zone) / zoneCount + m_now / static_cast<double>(m_scenario.swingPeriod.count());
    return even * (1 + m_scenario.swing * std::sin(2 * std::numbers::pi * phase));
}

// Arrivals at the highest rate, of which as many are dropped as the rate of the moment is lower.
void EngineLoadModel::arrive(std::size_t zone)
{
    const auto highest = m_scenario.streamsPerSecond / zoneCount * (1 + m_scenario.swing);
    schedule(randomInterval(highest), EventKind::Arrival, zone);
    const auto countsUntil = static_cast<double>(m_scenario.length.count()) - 15000;
    if (random() * highest >= demandOf(zone))
        return;
    Stream stream;
    stream.arrivedAt = m_now;
    stream.zone = zone;
    stream.isCounted = m_now >= static_cast<double>(m_scenario.countsFrom.count()) && m_now < countsUntil;
    m_outcome.streams += stream.isCounted ? 1 : 0;
    m_streams.push_back(std::move(stream));
    place(m_streams.size() - 1);
}

void EngineLoadModel::noteReports(const std::vector<std::shared_ptr<RelayEndpoint>>& engines)
{
    const auto age = static_cast<std::size_t>(static_cast<double>(m_scenario.reportAge.count()) / reportInterval);
    for (const auto& endpoint : engines) {
        const auto& engine = m_engines[std::stoul(endpoint->entry().id.substr(1))];
        EngineReport report;
        if (m_scenario.reportAge.count() == 0)
            report = { static_cast<std::uint32_t>(engine.reading.size()),
                static_cast<std::uint32_t>(engine.waiting.size()), static_cast<std::uint32_t>(engine.generating.size()),
                0, engineMemory };
        else if (!engine.reports.empty())
            report = engine.reports[std::min(age, engine.reports.size() - 1)];
        report.memoryUsed = (report.promptsInPrefill + report.generating)
            * static_cast<std::uint64_t>(m_scenario.promptTokens + m_scenario.answerEvents * tokensPerEvent / 2);
        endpoint->noteReport(report, now());
    }
}

std::size_t EngineLoadModel::choose(ZoneView& view)
{
    PlacementRequest request { .service = service, .mustBeHealthy = true };
    const auto count = m_scenario.selection == EngineSelection::TwoChoices ? 2 : m_scenario.probeCount;
    auto engines = m_scenario.probesOtherZones ? view.placement->candidatesOfZones(request, count, now())
                                               : view.placement->candidates(request, count, now());
    // An engine that is down does not answer.
    const bool haveReportsStopped = m_scenario.reportsStopAt > Milliseconds { 0 } && now() >= m_scenario.reportsStopAt;
    std::erase_if(engines, [this, haveReportsStopped](const auto& endpoint) {
        return haveReportsStopped || m_engines[std::stoul(endpoint->entry().id.substr(1))].isDownUntil > m_now;
    });
    noteReports(engines);
    auto pace = view.servicePace.engine();
    pace.slowdownShare = m_scenario.slowdownShare;
    const EngineWork work { m_scenario.promptTokens, m_scenario.answerEvents * tokensPerEvent };
    auto chosen = view.placement->chooseReported(engines, work, pace, now());
    // As EngineChoice does it.
    if (!chosen) {
        request.mustBeHealthy = false;
        chosen = view.placement->choose(request, now());
    }
    return chosen ? std::stoul(chosen->entry().id.substr(1)) : m_engines.size();
}

void EngineLoadModel::place(std::size_t index)
{
    auto& stream = m_streams[index];
    auto& view = m_views.at(stream.zone);
    if (const auto lostAt = std::exchange(stream.lostAt, std::nullopt))
        view.directory->noteFailure(*view.directory->find(nameOf(*lostAt)), now());
    const auto chosen = choose(view);
    if (chosen == m_engines.size()) {
        constexpr double retryInterval = 40;
        schedule(retryInterval, EventKind::Place, index);
        return;
    }
    auto& engine = m_engines[chosen];
    const auto slowest = *std::max_element(m_scenario.speeds.begin(), m_scenario.speeds.end());
    if (stream.isCounted && !stream.wasLost && engine.speed == slowest)
        ++m_outcome.sentToSlowEngines;
    stream.sentAt = m_now;
    stream.gaps = {};
    if (engine.isDownUntil > m_now) {
        lose(chosen, index);
        return;
    }
    stream.tokensToRead = stream.hasCopy ? 0 : m_scenario.promptTokens;
    engine.waiting.push_back(index);
    startStep(chosen);
}

void EngineLoadModel::admit(Engine& engine)
{
    const auto memoryOfRun = m_scenario.promptTokens + m_scenario.answerEvents * tokensPerEvent;
    while (!engine.waiting.empty() && engine.reading.size() + engine.generating.size() < engineSlots
        && (engine.reading.size() + engine.generating.size() + 1) * memoryOfRun <= engineMemory) {
        const auto index = engine.waiting.front();
        engine.waiting.pop_front();
        (m_streams[index].tokensToRead > 0 ? engine.reading : engine.generating).push_back(index);
    }
}

void EngineLoadModel::startStep(std::size_t index)
{
    auto& engine = m_engines[index];
    if (engine.isStepping || engine.isDownUntil > m_now)
        return;
    admit(engine);
    if (engine.reading.empty() && engine.generating.empty())
        return;
    engine.isStepping = true;
    const auto work = (engine.reading.empty() ? 0 : stepTime) + (engine.generating.empty() ? 0 : tokenTime);
    const auto factor = engine.speed * (m_now < engine.slowUntil ? slowPhaseFactor : 1);
    schedule(work * factor, EventKind::Step, index, engine.life);
}

void EngineLoadModel::endStep(std::size_t index)
{
    auto& engine = m_engines[index];
    engine.isStepping = false;
    const auto generating = engine.generating;
    for (const auto stream : generating)
        makeToken(index, stream);
    if (!engine.reading.empty()) {
        const auto first = engine.reading.front();
        auto& stream = m_streams[first];
        stream.tokensToRead -= std::min(stream.tokensToRead, stepTokens);
        if (stream.tokensToRead == 0) {
            engine.reading.erase(engine.reading.begin());
            engine.generating.push_back(first);
        }
    }
    startStep(index);
}

void EngineLoadModel::makeToken(std::size_t index, std::size_t streamIndex)
{
    auto& stream = m_streams[streamIndex];
    auto& engine = m_engines[index];
    if (++stream.tokensMade % tokensPerEvent != 0)
        return;
    if (stream.firstEventAt < 0) {
        stream.firstEventAt = m_now;
        recordFirstEvent(stream, engine);
    } else {
        stream.worstPause = std::max(stream.worstPause, m_now - stream.lastEventAt);
    }
    stream.lastEventAt = m_now;
    stream.gaps.add(1, now());
    m_views.at(stream.zone).directory->find(nameOf(index))->noteAlive(now());
    if (stream.tokensMade < m_scenario.answerEvents * tokensPerEvent)
        return;
    std::erase(engine.generating, streamIndex);
    endRun(engine, stream);
    finish(stream);
}

// As StreamTiming does it.
void EngineLoadModel::recordFirstEvent(const Stream& stream, const Engine& engine)
{
    if (stream.isCounted)
        m_firstEvents.push_back(m_now - stream.arrivedAt);
    auto& view = m_views.at(stream.zone);
    const auto perToken = (m_now - stream.sentAt) / m_scenario.promptTokens;
    const bool usesEnginePaces = m_scenario.selection != EngineSelection::ServicePace;
    const auto relative = usesEnginePaces ? view.paces.paceOf(service, engine.address, now()) : 1;
    view.servicePace.prefillTimeAtUsualPace.add(perToken / relative, now());
    view.servicePace.promptTokens.add(m_scenario.promptTokens, now());
}

void EngineLoadModel::endRun(const Engine& engine, Stream& stream)
{
    if (const auto interval = stream.gaps.shortestTenth())
        m_views.at(stream.zone).paces.noteRun(service, engine.address, *interval, now());
}

void EngineLoadModel::finish(Stream& stream)
{
    if (!stream.isCounted)
        return;
    const bool isInTime = stream.firstEventAt - stream.arrivedAt <= static_cast<double>(m_scenario.objective.count())
        && stream.worstPause <= static_cast<double>(m_scenario.longestPause.count());
    ++(isInTime ? m_outcome.inTime : m_outcome.late);
}

void EngineLoadModel::failZone()
{
    const auto zone = m_failingZone;
    m_failingZone = (m_failingZone + 1) % zoneCount;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        auto& engine = m_engines[i];
        if (engine.zone != zone || random() >= failingShare)
            continue;
        engine.isDownUntil = m_now + returnsAfter;
        schedule(returnsAfter, EventKind::Return, i);
        engine.isStepping = false;
        ++engine.life;
        for (const auto index : engine.waiting)
            lose(i, index);
        for (const auto index : engine.reading)
            lose(i, index);
        for (const auto index : engine.generating)
            lose(i, index);
        engine.waiting.clear();
        engine.reading.clear();
        engine.generating.clear();
    }
    constexpr double shortest = 3000;
    constexpr double spread = 4000;
    schedule(shortest + spread * random(), EventKind::ZoneFailure);
}

void EngineLoadModel::lose(std::size_t engine, std::size_t index)
{
    auto& stream = m_streams[index];
    endRun(m_engines[engine], stream);
    stream.lostAt = engine;
    stream.wasLost = true;
    // A run that has made nothing since it was sent has no newer copy.
    stream.hasCopy = stream.tokensMade > 0 && random() < m_scenario.continuedShare;
    schedule(detectionTime + (stream.hasCopy ? continueTime : 0), EventKind::Place, index);
}

// The new incarnation is listed, which is not suspected.
void EngineLoadModel::noteReturned(std::size_t engine)
{
    for (auto& view : m_views)
        view.directory->find(nameOf(engine))->noteAlive(now());
}

double EngineLoadModel::meanPaceError() const
{
    double sum = 0;
    const auto& view = m_views.front();
    const auto usual = view.paces.usualInterval(service, now());
    for (const auto& engine : m_engines) {
        const auto truth = engine.speed * tokenTime * tokensPerEvent / usual.value_or(1);
        sum += std::abs(view.paces.paceOf(service, engine.address, now()) / truth - 1);
    }
    return sum / static_cast<double>(m_engines.size());
}

} // namespace

EngineLoadOutcome simulateEngineLoad(const EngineLoadScenario& scenario) { return EngineLoadModel(scenario).run(); }

} // namespace lupinknot::internal
