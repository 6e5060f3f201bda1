#include "relay/EngineQuestion.h"

#include "relay/RelayContext.h"
#include "relay/RelayEndpoint.h"

namespace lupinknot::internal {

std::shared_ptr<EngineQuestion> EngineQuestion::ask(RelayContext& context,
    const std::shared_ptr<RelayEndpoint>& endpoint, const HttpRequest& request, Milliseconds limit, Callback callback)
{
    const std::shared_ptr<EngineQuestion> question(new EngineQuestion(context, endpoint, std::move(callback)));
    question->m_connection = endpoint->openConnection();
    question->m_connection->send(request, question->weak_from_this());
    question->m_timer.expires_after(limit);
    question->m_timer.async_wait([weak = question->weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->settle(nullptr);
    });
    return question;
}

EngineQuestion::EngineQuestion(RelayContext& context, std::shared_ptr<RelayEndpoint> endpoint, Callback callback)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
    , m_callback(std::move(callback))
    , m_timer(context.ioContext)
{
}

EngineQuestion::~EngineQuestion()
{
    if (m_connection)
        m_connection->close();
}

void EngineQuestion::answerHead(const HttpResponse& head)
{
    m_answer.status = head.status;
    m_answer.headers = head.headers;
}

void EngineQuestion::answerBody(std::string_view piece) { m_answer.body.append(piece); }

bool EngineQuestion::answerEnd()
{
    m_endpoint->noteLife(m_context.now());
    settle(&m_answer);
    return false;
}

void EngineQuestion::settle(const HttpResponse* answer)
{
    const auto self = shared_from_this();
    m_timer.cancel();
    m_connection->close();
    if (const auto callback = std::exchange(m_callback, nullptr))
        callback(answer);
}

} // namespace lupinknot::internal
