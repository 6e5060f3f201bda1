#include "relay/EndedRuns.h"

#include "relay/EndpointDirectory.h"
#include "relay/RelayConfiguration.h"
#include "relay/RelayContext.h"
#include "relay/RelayEndpoint.h"
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

void EndedRuns::add(const std::shared_ptr<RelayEndpoint>& engine, const std::string& requestId)
{
    m_runs.push_back({ engine, requestId });
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
            m_stops.push_back(RunStop::start(m_context, run.engine, target, run.requestId, handleInUse));
    }
    std::erase_if(m_stops, [](const auto& stop) { return !stop->mayTakeEffect(); });
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

bool EndedRuns::isBeingStopped(const RunStop& stop) const
{
    return stop.requestId() == m_requestId && stop.mayTakeEffect();
}

bool EndedRuns::mayStopNewRunAt(const RelayEndpoint& engine) const
{
    return std::any_of(m_stops.begin(), m_stops.end(),
        [&](const auto& stop) { return isSameAddress(*stop->engine(), engine) && isBeingStopped(*stop); });
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

} // namespace lupinknot::internal
