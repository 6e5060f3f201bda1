#include "relay/EndedRuns.h"

#include "relay/EndpointDirectory.h"
#include "relay/EngineChoice.h"
#include "relay/RelayConfiguration.h"
#include "relay/RelayContext.h"
#include "relay/RelayEndpoint.h"
#include "relay/RelaySettings.h"
#include "relay/RunStop.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// An engine may have been listed again under another id.
bool isSameAddress(const RelayEndpoint& a, const RelayEndpoint& b)
{
    return a.entry().address.text() == b.entry().address.text();
}

} // namespace

EndedRuns::EndedRuns(RelayContext& context, const std::string& service, std::string requestId)
    : m_context(context)
    , m_service(service)
    , m_requestId(std::move(requestId))
{
}

EndedRuns::~EndedRuns() = default;

bool EndedRuns::canStopRuns() const
{
    const auto* service = m_context.configuration->findService(m_service);
    return service && service->movesRuns;
}

void EndedRuns::stopAllBut(const Engines& inUse, const std::string& handleInUse)
{
    const bool canStop = canStopRuns();
    for (const auto& run : std::exchange(m_runs, {})) {
        const bool isInUse = std::any_of(
            inUse.begin(), inUse.end(), [&run](const auto& engine) { return isSameAddress(*engine, *run.engine); });
        if (!canStop || isInUse)
            continue;
        if (const auto target = chooseTarget(*run.engine, inUse))
            m_stops.push_back(RunStop::start(m_context, run, target, handleInUse));
    }
    std::erase_if(m_stops, [](const auto& stop) { return !stop->mayTakeEffect() && stop->keptHandle().empty(); });
}

std::shared_ptr<RelayEndpoint> EndedRuns::chooseTarget(const RelayEndpoint& engine, const Engines& inUse) const
{
    std::shared_ptr<RelayEndpoint> best;
    int bestRank = -1;
    for (const auto& other : m_context.directory.endpointsOf(m_service)) {
        if (other->isRemoved() || isSameAddress(*other, engine))
            continue;
        const bool isFree = std::find(inUse.begin(), inUse.end(), other) == inUse.end();
        const bool isNear = other->entry().availabilityZone == engine.entry().availabilityZone;
        const int rank = 2 * isFree + isNear;
        if (rank > bestRank) {
            best = other;
            bestRank = rank;
        }
    }
    return best;
}

bool EndedRuns::concerns(const RunStop& stop, const RelayEndpoint& engine) const
{
    return stop.requestId() == m_requestId && isSameAddress(*stop.engine(), engine);
}

bool EndedRuns::isBeingStopped(const RunStop& stop) const
{
    return stop.requestId() == m_requestId && stop.mayTakeEffect();
}

bool EndedRuns::mayStopNewRunAt(const RelayEndpoint& engine) const
{
    return std::any_of(m_stops.begin(), m_stops.end(),
        [&](const auto& stop) { return concerns(*stop, engine) && stop->mayTakeEffect(); });
}

bool EndedRuns::mayContinue(Milliseconds now) const
{
    const ContinuationLimits limits { m_context.settings.stopAnswerWait, m_context.settings.stopBusyWait };
    return std::all_of(m_stops.begin(), m_stops.end(),
        [&](const auto& stop) { return internal::mayContinue(stop->state(now), limits); });
}

std::optional<RunTarget> EndedRuns::stoppedRun() const
{
    const auto now = m_context.now();
    for (auto stop = m_stops.rbegin(); stop != m_stops.rend(); ++stop) {
        const auto& engine = (*stop)->engine();
        // It may be avoided because of the silence that led to the stop, but has answered since.
        const bool mayTakeRun = !engine->isShuttingDown() && !engine->isInBackOff(now) && now >= engine->noPermitUntil()
            && !mayStopNewRunAt(*engine);
        if ((*stop)->requestId() == m_requestId && !(*stop)->keptHandle().empty() && !engine->isRemoved() && mayTakeRun)
            return RunTarget { engine, { engine->entry().address, (*stop)->keptHandle() }, engine->lastAliveAt() };
    }
    return std::nullopt;
}

void EndedRuns::noteContinued(const RunMemorySource& copy)
{
    for (const auto& stop : m_stops) {
        if (stop->keptHandle() == copy.name && stop->engine()->entry().address.text() == copy.engine.text())
            stop->noteMemoryUsed();
    }
}

void EndedRuns::freeMemory()
{
    for (const auto& stop : m_stops)
        stop->freeMemory();
}

void EndedRuns::returnTo(const RelayEndpoint& engine)
{
    for (const auto& stop : m_stops) {
        if (concerns(*stop, engine))
            stop->sendNoMore();
        else
            stop->freeMemory();
    }
}

bool EndedRuns::mayHaveStopped(const RelayEndpoint& engine) const
{
    return std::any_of(m_stops.begin(), m_stops.end(), [&](const auto& stop) { return concerns(*stop, engine); });
}

bool EndedRuns::hasAnsweredStop(const RelayEndpoint& engine) const
{
    return std::any_of(
        m_stops.begin(), m_stops.end(), [&](const auto& stop) { return concerns(*stop, engine) && stop->hasAnswer(); });
}

EndedRuns::Engines EndedRuns::enginesBeingStopped() const
{
    Engines engines;
    for (const auto& stop : m_stops) {
        if (isBeingStopped(*stop))
            engines.push_back(stop->engine());
    }
    return engines;
}

std::size_t EndedRuns::openStops() const { return enginesBeingStopped().size(); }

} // namespace lupinknot::internal
