#include "relay/EngineChoice.h"

#include "common/EventLog.h"
#include "relay/EndedRuns.h"
#include "relay/EndpointDirectory.h"
#include "relay/EngineForecast.h"
#include "relay/EngineLoadProbe.h"
#include "relay/Placement.h"
#include "relay/RelayConfiguration.h"
#include "relay/RelayContext.h"
#include "relay/RelayRequest.h"
#include "relay/RelaySettings.h"
#include "relay/RequestVersions.h"
#include "relay/RunLocations.h"
#include "relay/StreamRun.h"

#include <algorithm>
#include <cmath>

namespace lupinknot::internal {

std::shared_ptr<EngineChoice> EngineChoice::make(
    RelayContext& context, const RelayRequest& request, RequestVersions& versions, const EndedRuns& endedRuns)
{
    return std::shared_ptr<EngineChoice>(new EngineChoice(context, request, versions, endedRuns));
}

EngineChoice::EngineChoice(
    RelayContext& context, const RelayRequest& request, RequestVersions& versions, const EndedRuns& endedRuns)
    : m_context(context)
    , m_request(request)
    , m_versions(versions)
    , m_endedRuns(endedRuns)
{
}

EngineChoice::~EngineChoice() = default;

RunLocations* EngineChoice::runLocations() const
{
    return m_context.has(Policy::LocationHints) ? m_context.runLocations : nullptr;
}

void EngineChoice::setEarlierRun(const RunLocation& location)
{
    // The route may have been moved to another service since.
    const auto findInService = [this](const std::string& id) {
        auto endpoint = m_context.directory.find(id);
        return endpoint && endpoint->entry().service == m_request.service ? endpoint : nullptr;
    };
    m_earlierEngine = findInService(location.endpointId);
    auto holder = findInService(location.copyHolderId);
    if (!holder || holder->isRemoved())
        holder = m_context.directory.findAt(m_request.service, location.copyHolderAddress);
    if (holder)
        m_copies = { { holder, { holder->entry().address, location.requestId }, m_context.now() } };
}

void EngineChoice::noteLocation(const StreamRun& run)
{
    if (!runLocations() || !m_request.route->mayRunAgain())
        return;
    // Without several versions, the run's is known before its first event.
    const auto onlyVersion = m_context.directory.versions().onlyVersion(m_request.service, m_context.now());
    m_notedVersion = m_versions.boundVersion();
    if (!m_notedVersion)
        m_notedVersion = onlyVersion;
    const auto& holder = run.copyHolder;
    const bool isFirstAttempt = m_request.fields.resumedRequestId.empty();
    runLocations()->note(runKeyOf(m_request),
        { run.endpoint->entry().id, holder ? holder->entry().id : "", m_request.fields.requestId,
            holder ? holder->entry().address : SocketAddress {}, m_notedVersion,
            isFirstAttempt ? "" : streamIdOf(m_request), m_versions.boundVersion() && !onlyVersion });
}

void EngineChoice::noteVersion(const StreamRun& run)
{
    if (m_notedVersion != m_versions.boundVersion())
        noteLocation(run);
}

void EngineChoice::forgetLocation() const
{
    if (runLocations())
        runLocations()->forget(runKeyOf(m_request));
}

bool EngineChoice::isHealthy(const RelayEndpoint& engine) const
{
    const auto now = m_context.now();
    return !engine.isShuttingDown() && !engine.isAvoided(now) && !engine.isInBackOff(now)
        && now >= engine.noPermitUntil() && !m_endedRuns.mayStopNewRunAt(engine)
        && !m_context.directory.isZoneAvoided(m_request.service, engine.entry().availabilityZone, now)
        && !m_context.directory.isSuspected(engine, now);
}

std::optional<RunTarget> EngineChoice::copyTarget() const
{
    const auto isUsable = [this](const RunTarget& target) {
        const auto& entry = target.engine->entry();
        return isHealthy(*target.engine) && m_versions.next().admits(entry.version)
            && !m_context.directory.isLostWithZone(*target.engine, target.since);
    };
    const auto usable = std::find_if(m_copies.begin(), m_copies.end(), isUsable);
    return usable == m_copies.end() ? std::nullopt : std::optional(*usable);
}

void EngineChoice::setCopies(std::vector<RunTarget> copies)
{
    std::erase_if(copies, [this](const RunTarget& target) {
        return std::any_of(m_triedCopies.begin(), m_triedCopies.end(), [&target](const RunMemorySource& tried) {
            return tried.name == target.copy.name && tried.engine.text() == target.copy.engine.text();
        });
    });
    m_copies = std::move(copies);
}

void EngineChoice::noteSent(const std::optional<RunMemorySource>& copy)
{
    if (!copy) {
        m_copies.clear();
        return;
    }
    m_triedCopies.push_back(*copy);
    std::erase_if(m_copies, [&copy](const RunTarget& target) { return target.copy.name == copy->name; });
}

std::shared_ptr<RelayEndpoint> EngineChoice::takeEarlierEngine()
{
    const auto earlier = std::exchange(m_earlierEngine, nullptr);
    const bool isUsable = earlier && isHealthy(*earlier) && m_versions.next().admits(earlier->entry().version);
    return isUsable ? earlier : nullptr;
}

PlacementRequest EngineChoice::placementRequest() const
{
    const auto& settings = m_context.settings;
    PlacementRequest conditions {
        .service = m_request.service, .excluded = m_endedRuns.enginesBeingStopped(), .version = m_versions.next()
    };
    conditions.excluded.insert(conditions.excluded.end(), m_failed.begin(), m_failed.end());
    if (!m_failed.empty())
        conditions.zonesToAvoid.push_back(m_failed.back()->entry().availabilityZone);
    if (m_context.has(Policy::PromptPreference))
        conditions.promptId = m_request.fields.promptId;
    const auto untilFirstEvent
        = m_context.pace(m_request.service).medianTimeToFirstEvent(m_request.fields.promptTokens);
    conditions.times.untilFirstEvent = std::chrono::duration<double>(untilFirstEvent).count();
    conditions.preference = m_request.fields.lastEventId ? settings.returningPreference : settings.promptPreference;
    return conditions;
}

EngineChoice::Engines EngineChoice::substitutes(const std::shared_ptr<RelayEndpoint>& silent, std::size_t count) const
{
    const auto now = m_context.now();
    auto request = placementRequest();
    request.mustBeHealthy = true;
    auto engines = m_context.placement.candidates(request, count, now);
    if (engines.empty()) {
        request.excluded = m_endedRuns.enginesBeingStopped();
        request.excluded.push_back(silent);
        request.mustBeHealthy = false;
        engines = m_context.placement.candidates(request, count, now);
        // An engine that is avoided although it has just answered has rejected a request.
        std::erase_if(engines, [&](const auto& engine) {
            return engine->isAvoided(now) && now - engine->lastAliveAt() <= m_context.settings.avoidAfterRejection;
        });
    }
    return engines;
}

void EngineChoice::choose(const Callback& callback)
{
    m_firstEventForecast.reset();
    if (probeLoad(callback))
        return;
    const auto now = m_context.now();
    auto engine = m_context.placement.choose(placementRequest(), now);
    if (!engine && !m_failed.empty())
        engine = m_context.placement.choose({ .service = m_request.service,
                                                .excluded = m_endedRuns.enginesBeingStopped(),
                                                .version = m_versions.next(),
                                                .mustBeHealthy = true },
            now);
    callback(engine);
}

bool EngineChoice::probeLoad(const Callback& callback)
{
    const auto* service = m_context.configuration->findService(m_request.service);
    // An engine that may have the prompt cached is better than any other.
    if (!m_context.has(Policy::LoadSurvey) || !service || !service->isEngine || m_request.fields.lastEventId)
        return false;
    // A probe may count as a request at a rate-limited engine.
    auto healthy = placementRequest();
    healthy.mustBeHealthy = true;
    healthy.limited = LimitedEndpoints::Excluded;
    const auto engines
        = m_context.placement.candidatesOfZones(healthy, m_context.settings.loadProbeSize, m_context.now());
    if (engines.size() < 2)
        return false;
    m_loadProbe
        = EngineLoadProbe::start(m_context, engines, [weak = weak_from_this(), callback](const Engines& answered) {
              if (const auto self = weak.lock())
                  self->onLoadProbed(answered, callback);
          });
    return true;
}

std::optional<Milliseconds> EngineChoice::firstEventForecastAt(const RelayEndpoint& engine) const
{
    const EngineWork work { m_request.fields.promptTokens, m_request.fields.maxAnswerTokens };
    const auto& pace = m_context.pace(m_request.service);
    const auto aheadShare
        = m_request.rank.isNamed ? pace.waitingPrompts->aheadShare(enginePriority(m_request.rank.value, {})) : 1;
    const auto enginePace = pace.engine().scaledBy(m_context.placement.paceOf(engine, m_context.now()));
    return forecastFirstEvent(work, engine, enginePace, aheadShare);
}

EngineChoice::Engines EngineChoice::enginesInTime(const Engines& answered) const
{
    if (!m_request.rank.isNamed)
        return answered;
    const auto timeLeft = m_request.firstAttemptAt + m_request.route->objective - m_context.now();
    Engines inTime;
    std::copy_if(answered.begin(), answered.end(), std::back_inserter(inTime),
        [&](const auto& engine) { return firstEventForecastAt(*engine).value_or(timeLeft) <= timeLeft; });
    return inTime.empty() ? answered : inTime;
}

void EngineChoice::noteRoom(const Engines& answered) const
{
    std::optional<Milliseconds> earliest;
    for (const auto& engine : answered) {
        const auto forecast = firstEventForecastAt(*engine);
        if (forecast && (!earliest || *forecast < *earliest))
            earliest = forecast;
    }
    auto& pace = m_context.pace(m_request.service);
    const EngineWork work { m_request.fields.promptTokens, m_request.fields.maxAnswerTokens };
    if (earliest)
        pace.engineRoomAt = m_context.now() + *earliest - prefillTime(work, pace.engine());
}

void EngineChoice::onLoadProbed(const Engines& answered, const Callback& callback)
{
    m_loadProbe.reset();
    const EngineWork work { m_request.fields.promptTokens, m_request.fields.maxAnswerTokens };
    const auto pace = m_context.pace(m_request.service).engine();
    const auto now = m_context.now();
    auto engine = m_context.placement.chooseReported(enginesInTime(answered), work, pace, now);
    noteRoom(answered);
    if (!engine)
        engine = m_context.placement.choose(placementRequest(), now);
    if (engine) {
        // The last report of an engine that has not answered now may be old.
        if (std::find(answered.begin(), answered.end(), engine) != answered.end())
            m_firstEventForecast = firstEventForecastAt(*engine);
        const auto relativePace = m_context.placement.paceOf(*engine, now);
        logChoice(*engine, answered.size(), relativePace, forecastDelay(work, *engine, pace.scaledBy(relativePace)));
    }
    callback(engine);
}

void EngineChoice::logChoice(
    const RelayEndpoint& engine, std::size_t answered, double relativePace, Milliseconds forecast) const
{
    const auto report = engine.report() ? *engine.report() : EngineReport {};
    LogEvent("stream.engine-chosen", LogImportance::Routine)
        .text("request", m_request.fields.requestId)
        .text("endpoint", engine.entry().id)
        .number("answered", static_cast<std::int64_t>(answered))
        .number("forecast_ms", forecast.count())
        .number("pace_percent", std::lround(100 * relativePace))
        .number("being_read", report.promptsInPrefill)
        .number("waiting", report.promptsWaiting)
        .number("generating", report.generating)
        .number("memory_used", static_cast<std::int64_t>(report.memoryUsed))
        .number("own_being_read", engine.promptsInPrefill())
        .write();
}

void EngineChoice::cancel() { m_loadProbe.reset(); }

std::shared_ptr<RelayEndpoint> EngineChoice::chooseCopyHolder(const RelayEndpoint& engine) const
{
    const auto* service = m_context.configuration->findService(m_request.service);
    if (!m_context.has(Policy::GrowingCopies) || !service || !service->copiesRunningMemory
        || !m_request.route->mayRunAgain())
        return nullptr;
    const PlacementRequest conditions { .service = m_request.service,
        .excluded = m_failed,
        .zonesToAvoid = { engine.entry().availabilityZone },
        .version = m_versions.choiceForCopies(engine),
        .mustBeHealthy = true,
        .limited = LimitedEndpoints::Unrestricted,
        .prefersSafestZone = true };
    return m_context.placement.choose(conditions, m_context.now());
}

Milliseconds EngineChoice::permitTimeoutFor(bool isFromCopy) const
{
    // A copy saves the prefill of the prompt, which takes longer than this wait.
    if (isFromCopy)
        return m_request.route->longestPause / 2;
    const auto now = m_context.now();
    auto other = placementRequest();
    other.mustBeHealthy = true;
    other.limited = LimitedEndpoints::Excluded;
    if (m_context.placement.choose(other, now))
        return Milliseconds { 0 };
    return std::max(m_request.admittedAt + m_context.settings.waitForEndpoint - now, Milliseconds { 0 });
}

std::optional<EndpointAvailability> EngineChoice::nextAvailability() const
{
    return m_context.placement.nextAvailability(
        { .service = m_request.service, .version = m_versions.next() }, m_context.now());
}

} // namespace lupinknot::internal
