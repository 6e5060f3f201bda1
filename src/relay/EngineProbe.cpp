#include "relay/EngineProbe.h"

#include "relay/CallProtocol.h"
#include "relay/RelayContext.h"
#include "relay/RelayEndpoint.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySettings.h"

namespace lupinknot::internal {

std::shared_ptr<EngineProbe> EngineProbe::start(
    RelayContext& context, const std::shared_ptr<RelayEndpoint>& endpoint, Answer answer)
{
    const std::shared_ptr<EngineProbe> probe(new EngineProbe(context, endpoint, std::move(answer)));
    context.metrics.engineProbes.Increment();
    probe->m_connection = endpoint->openConnection();
    probe->m_connection->send(context.protocol.encodeStateQuery(), probe->weak_from_this());
    probe->m_timer.expires_after(context.settings.probeTimeout);
    probe->m_timer.async_wait([weak = probe->weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->settle(false);
    });
    return probe;
}

EngineProbe::EngineProbe(RelayContext& context, std::shared_ptr<RelayEndpoint> endpoint, Answer answer)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
    , m_answer(std::move(answer))
    , m_timer(context.ioContext)
{
}

EngineProbe::~EngineProbe()
{
    if (m_connection)
        m_connection->close();
}

void EngineProbe::answerHead(const HttpResponse&)
{
    m_endpoint->noteLife(m_context.now());
    settle(true);
}

void EngineProbe::settle(bool isAlive)
{
    const auto self = shared_from_this();
    m_timer.cancel();
    m_connection->close();
    if (const auto answer = std::exchange(m_answer, nullptr))
        answer(isAlive);
}

} // namespace lupinknot::internal
