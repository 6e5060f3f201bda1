#include "relay/EngineLoadProbe.h"

#include "common/EventLog.h"
#include "http/HttpRoundTrip.h"
#include "relay/CallProtocol.h"
#include "relay/RelayContext.h"
#include "relay/RelayEndpoint.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySettings.h"

namespace lupinknot::internal {

std::shared_ptr<EngineLoadProbe> EngineLoadProbe::start(
    RelayContext& context, const Engines& engines, Callback callback)
{
    std::shared_ptr<EngineLoadProbe> probe(new EngineLoadProbe(context, std::move(callback)));
    probe->m_pending = engines.size();
    for (const auto& engine : engines)
        probe->ask(engine);
    probe->m_timer.expires_after(context.settings.loadProbeTimeout);
    probe->awaitRemaining();
    return probe;
}

EngineLoadProbe::EngineLoadProbe(RelayContext& context, Callback callback)
    : m_context(context)
    , m_callback(std::move(callback))
    , m_startedAt(context.now())
    , m_timer(context.ioContext)
{
}

void EngineLoadProbe::ask(const std::shared_ptr<RelayEndpoint>& engine)
{
    const auto& settings = m_context.settings;
    const auto connection = engine->takeConnection(
        m_context.now(), { .maxIdleTime = settings.maxIdleTime, .idleTimeoutMargin = settings.idleTimeoutMargin });
    m_context.metrics.engineProbes.Increment();
    m_probes.push_back(HttpRoundTrip::ask(m_context.ioContext, connection, m_context.protocol.encodeLoadQuery(),
        settings.loadProbeTimeout, [weak = weak_from_this(), engine, connection](const HttpRoundTripResult& outcome) {
            if (const auto self = weak.lock())
                self->answered(engine, connection, outcome);
        }));
}

void EngineLoadProbe::answered(const std::shared_ptr<RelayEndpoint>& engine,
    const std::shared_ptr<ClientConnection>& connection, const HttpRoundTripResult& outcome)
{
    const auto now = m_context.now();
    const auto fields = outcome.answer ? m_context.protocol.decodeAnswer(*outcome.answer) : AnswerFields {};
    // On a kept connection the answer to an earlier request may arrive once more, in place of the report.
    const bool isForProbe = outcome.answer && fields.requestId.empty();
    if (isForProbe)
        engine->noteSignals(fields, now);
    const auto report = isForProbe ? m_context.protocol.decodeLoad(*outcome.answer) : std::nullopt;
    if (report) {
        engine->noteAlive(now);
        engine->noteReport(*report, now);
        engine->giveBack(connection, now);
        m_answered.push_back(engine);
    } else {
        LogEvent("survey.unanswered")
            .text("endpoint", engine->entry().id)
            .text("problem", outcome.answer ? "unreadable" : outcome.problem)
            .number("status", outcome.answer ? outcome.answer->status : 0)
            .write();
    }
    --m_pending;
    if (m_pending == 0) {
        end();
        return;
    }
    // The remaining engines get as much time again as this one took.
    m_timer.expires_after(std::min(
        std::max(now - m_startedAt, m_context.settings.minLoadProbeWait), m_context.settings.loadProbeTimeout));
    awaitRemaining();
}

void EngineLoadProbe::awaitRemaining()
{
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->end();
    });
}

void EngineLoadProbe::end()
{
    const auto self = shared_from_this();
    m_timer.cancel();
    m_probes.clear();
    if (const auto callback = std::exchange(m_callback, nullptr))
        callback(m_answered);
}

} // namespace lupinknot::internal
