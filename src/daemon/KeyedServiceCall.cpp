#include "daemon/KeyedServiceCall.h"

#include "daemon/Cluster.h"
#include "daemon/ServiceCall.h"
#include "http/JsonError.h"
#include "peer/generated/Messages.pb.h"

namespace lupinknot::internal {

namespace {

constexpr std::string_view defaultOrganisation = "default";

} // namespace

KeyedServiceCall::KeyedServiceCall(const GenerationContext& context, const ServiceSettings& service,
    HttpRequest request, std::string key, bool repeatable)
    : m_context(context)
    , m_service(service)
    , m_request(std::move(request))
    , m_key(std::move(key))
    , m_repeatable(repeatable)
{
}

std::string KeyedServiceCall::keyOf(const HttpRequest& request, const std::string& service)
{
    const std::string organisation(request.headers.find("Lupinknot-Organisation").value_or(defaultOrganisation));
    const std::string key(request.headers.find("Idempotency-Key").value_or(""));
    return JournaledRequest::scopedKey(organisation, service + "\n" + key);
}

bool KeyedServiceCall::isSameRequest(const HttpRequest& other) const
{
    return m_request.method == other.method && m_request.target == other.target && m_request.body == other.body;
}

void KeyedServiceCall::start()
{
    if (m_context.cluster.isEnabled())
        m_context.cluster.attach(shared_from_this());
    else
        run();
}

void KeyedServiceCall::completeAsUnknown()
{
    if (claimStart())
        respond(errorResponse({ 502, "may_have_run",
            "the VM that ran the call was lost, and the call must not be repeated", "", RunOutcome::Unknown, {} }));
}

void KeyedServiceCall::join(const std::shared_ptr<HttpExchange>& caller)
{
    const std::lock_guard lock(m_mutex);
    if (m_response)
        caller->respond(*m_response);
    else
        m_callers.push_back(caller);
}

std::optional<Milliseconds> KeyedServiceCall::endedAt() const
{
    const std::lock_guard lock(m_mutex);
    return m_endedAt;
}

bool KeyedServiceCall::isKeyReusable() const
{
    const std::lock_guard lock(m_mutex);
    return m_response && m_response->headers.find("Lupinknot-Outcome") == nameIn(runOutcomeNames, RunOutcome::NotRun);
}

void KeyedServiceCall::detachJournal() { m_context.cluster.detach(*this); }

void KeyedServiceCall::respond(HttpResponse response)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& caller : m_callers)
        caller->respond(response);
    m_callers.clear();
    m_response = std::move(response);
    m_response->heldUntilSent.reset();
    m_held = m_context.answerMemory.open([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->discardResponse();
    });
    m_held->add(m_response->body.size());
    m_endedAt = m_context.clock.now();
}

void KeyedServiceCall::discardResponse()
{
    const std::lock_guard lock(m_mutex);
    m_response = errorResponse({ 502, "response_discarded",
        "the call has run, and its response is no longer kept because all responses together take too much memory", "",
        RunOutcome::Unknown, {} });
    m_held.reset();
}

bool KeyedServiceCall::fillJournal(JournalCursor& cursor, wire::JournalItem& item, std::vector<Token>&) const
{
    if (cursor.isOpened)
        return false;
    auto& open = *item.mutable_open();
    const auto separator = m_key.find('\n');
    open.set_organisation(m_key.substr(0, separator));
    open.set_key(m_key.substr(separator + 1));
    open.set_repeatable(m_repeatable);
    cursor.isOpened = true;
    return true;
}

void KeyedServiceCall::journalAcknowledged(const JournalCursor&) { run(); }

void KeyedServiceCall::journalUnprotected()
{
    if (m_repeatable) {
        run();
        return;
    }
    if (claimStart())
        respond(
            errorResponse({ 503, "not_protected", "no other VM could take note of the call, which must not be repeated",
                "", RunOutcome::NotRun, m_context.settings.generation.retryAfter }));
}

void KeyedServiceCall::journalRefused()
{
    if (claimStart())
        respond(errorResponse({ 503, "taken_over", "another VM runs the call; ask again with the same Idempotency-Key",
            "", RunOutcome::NotRun, m_context.settings.generation.retryAfter }));
}

void KeyedServiceCall::run()
{
    if (claimStart())
        std::make_shared<ServiceCall>(m_context, m_service, shared_from_this(), m_repeatable)->start();
}

bool KeyedServiceCall::claimStart()
{
    const std::lock_guard lock(m_mutex);
    const bool isFirst = !m_isStarted;
    m_isStarted = true;
    return isFirst;
}

} // namespace lupinknot::internal
