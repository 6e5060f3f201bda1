#include "daemon/CompletionHandler.h"

#include "common/Log.h"
#include "daemon/Cluster.h"
#include "daemon/CompletionReply.h"
#include "daemon/CompletionRequest.h"
#include "daemon/EndpointTable.h"
#include "daemon/GenerationRegistry.h"
#include "daemon/LiveGeneration.h"
#include "daemon/Metrics.h"
#include "http/HttpExchange.h"
#include "settings/DaemonSettings.h"

#include <boost/leaf/handle_errors.hpp>

namespace lupinknot::internal {

namespace leaf = boost::leaf;

CompletionHandler::CompletionHandler(const GenerationContext& context, GenerationRegistry& registry)
    : m_context(context)
    , m_registry(registry)
    , m_router(context)
{
}

void CompletionHandler::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    const CompletionLimits limits { m_context.settings.generation.maxTokens, m_context.settings.generation.deadline };
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(request, parseCompletionRequest(exchange->request(), limits));
            serve(exchange, request);
            return {};
        },
        [&](const JsonError& error) { refuse(*exchange, error); },
        [&] {
            refuse(*exchange, { 500, "internal", "the request could not be read", "", RunOutcome::NotRun, {} });
        });
}

void CompletionHandler::serve(const std::shared_ptr<HttpExchange>& exchange, const CompletionRequest& request)
{
    if (!m_context.endpoints.knowsModel(request.model)) {
        refuse(*exchange,
            { 404, "unknown_model", "no endpoint serves the model \"" + request.model + "\"", "model",
                RunOutcome::NotRun, {} });
        return;
    }
    if (request.idempotencyKey.empty()) {
        admit(exchange, request);
        return;
    }
    const auto key = JournaledRequest::scopedKey(request.organisation, request.idempotencyKey);
    m_router.route(exchange, key,
        { [this, key] { return m_registry.findByKey(key) != nullptr; },
            [this, exchange, request] { admit(exchange, request); },
            [this, exchange, request] { takeOver(exchange, request); },
            [this, exchange](const JsonError& error) { refuse(*exchange, error); } });
}

void CompletionHandler::takeOver(const std::shared_ptr<HttpExchange>& exchange, const CompletionRequest& request)
{
    const auto key = JournaledRequest::scopedKey(request.organisation, request.idempotencyKey);
    const auto admission = m_registry.adopt(key, [this, &key] { return m_context.cluster.takeOver(key); });
    if (admission.verdict == AdmissionVerdict::Gone) {
        refuse(*exchange,
            { 503, "record_gone", "the record of the request was taken over and is no longer here", "",
                RunOutcome::Unknown, m_context.settings.generation.retryAfter });
        return;
    }
    if (admission.verdict == AdmissionVerdict::Created) {
        logWarning(LogComponent::Authority,
            "generation " + admission.generation->id() + " is taken over: the VM that ran it is lost.");
        admission.generation->start();
    }
    admit(exchange, request);
}

void CompletionHandler::admit(const std::shared_ptr<HttpExchange>& exchange, const CompletionRequest& request)
{
    const auto admission = m_registry.admit(request);
    if (const auto refusal = refusalFor(admission, request)) {
        refuse(*exchange, *refusal);
        return;
    }
    const auto& generation = admission.generation;
    const auto reply = std::make_shared<CompletionReply>(
        exchange, generation, m_context, CompletionReplyOptions { request.wantsStream, request.resumePosition });
    reply->start();
    if (admission.verdict == AdmissionVerdict::Created)
        generation->start();
}

std::optional<JsonError> CompletionHandler::refusalFor(
    const Admission& admission, const CompletionRequest& request) const
{
    const auto& settings = m_context.settings.generation;
    if (admission.verdict == AdmissionVerdict::KeyConflict)
        return JsonError { 422, "key_conflict", "the Idempotency-Key belongs to a request with another body",
            "Idempotency-Key", RunOutcome::NotRun, {} };
    if (admission.verdict == AdmissionVerdict::Full)
        return JsonError { 503, "too_many_generations",
            "this VM holds as many generations as its limit allows: " + std::to_string(settings.maxGenerations), "",
            RunOutcome::NotRun, settings.retryAfter };
    const bool isNotHeld = admission.verdict == AdmissionVerdict::NotHeld;
    const bool isBeyond = !request.resumeGeneration.empty() && !isNotHeld
        && !admission.generation->holds(request.resumeGeneration, request.resumePosition);
    // Whatever was sent under another id, or beyond what is held, cannot be continued without splicing two answers.
    if (isNotHeld || isBeyond)
        return JsonError { 409, "position_not_held",
            "this VM does not hold the answer up to Last-Event-ID; ask without it for the whole answer",
            "Last-Event-ID", RunOutcome::Unknown, {} };
    return std::nullopt;
}

void CompletionHandler::refuse(HttpExchange& exchange, const JsonError& error)
{
    logInfo(
        LogComponent::Caller, "a request is refused with " + std::to_string(error.status) + ": " + error.message + ".");
    m_context.metrics.countRequest("completion", error.status);
    m_context.metrics.countRefusal(error.outcome);
    exchange.respond(errorResponse(error));
}

} // namespace lupinknot::internal
