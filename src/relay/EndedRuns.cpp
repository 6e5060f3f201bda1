#include "relay/EndedRuns.h"

#include "relay/RelayConfiguration.h"
#include "relay/RelayContext.h"
#include "relay/RelayEndpoint.h"
#include "relay/RunStop.h"

#include <algorithm>

namespace lupinknot::internal {

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

void EndedRuns::stopAllBut(const Engines& inUse)
{
    const bool canStop = canStopRuns();
    for (const auto& run : std::exchange(m_runs, {})) {
        // The engine may have been listed again under another id.
        const bool isInUse = std::any_of(inUse.begin(), inUse.end(), [&run](const auto& engine) {
            return engine->entry().address.text() == run.engine->entry().address.text();
        });
        if (canStop && !isInUse)
            m_stops.push_back(RunStop::start(m_context, run.engine, inUse.front(), run.requestId));
    }
    std::erase_if(m_stops, [](const auto& stop) { return !stop->mayTakeEffect(); });
}

bool EndedRuns::isBeingStopped(const RunStop& stop) const
{
    return stop.requestId() == m_requestId && stop.mayTakeEffect();
}

bool EndedRuns::mayStopNewRunAt(const RelayEndpoint& engine) const
{
    return std::any_of(m_stops.begin(), m_stops.end(),
        [&](const auto& stop) { return stop->engine().get() == &engine && isBeingStopped(*stop); });
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
