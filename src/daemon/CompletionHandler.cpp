#include "daemon/CompletionHandler.h"

#include "common/Log.h"
#include "daemon/Cluster.h"
#include "daemon/CompletionReply.h"
#include "daemon/CompletionRequest.h"
#include "daemon/EndpointTable.h"
#include "daemon/ForwardedRequest.h"
#include "daemon/GenerationRegistry.h"
#include "daemon/LiveGeneration.h"
#include "daemon/Metrics.h"
#include "http/HttpExchange.h"
#include "settings/DaemonSettings.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>

namespace lupinknot::internal {

namespace leaf = boost::leaf;

namespace {

// A request goes to the VM responsible and from there to the one that runs it.
constexpr unsigned maxHops = 3;
// How often, and how soon, a request is placed anew when the VM that it went to is lost.
constexpr unsigned maxPlacings = 200;
constexpr Milliseconds placingInterval { 10 };

unsigned hopsOf(const HttpRequest& request)
{
    const auto value = request.headers.find(ForwardedRequest::hopsHeader);
    return value ? static_cast<unsigned>(std::strtoul(std::string(*value).c_str(), nullptr, 10)) : 0;
}

} // namespace

CompletionHandler::CompletionHandler(const GenerationContext& context, GenerationRegistry& registry)
    : m_context(context)
    , m_registry(registry)
{
}

void CompletionHandler::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    const CompletionLimits limits { m_context.settings.generation.maxTokens, m_context.settings.generation.deadline };
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(request, parseCompletionRequest(exchange->request(), limits));
            serve(exchange, request, 0);
            return {};
        },
        [&](const JsonError& error) { refuse(*exchange, error); },
        [&] {
            refuse(*exchange, { 500, "internal", "the request could not be read", "", RunOutcome::NotRun, {} });
        });
}

void CompletionHandler::serve(
    const std::shared_ptr<HttpExchange>& exchange, const CompletionRequest& request, unsigned placings)
{
    if (!m_context.endpoints.knowsModel(request.model)) {
        refuse(*exchange,
            { 404, "unknown_model", "no endpoint serves the model \"" + request.model + "\"", "model",
                RunOutcome::NotRun, {} });
        return;
    }
    const auto key = JournaledRequest::scopedKey(request.organisation, request.idempotencyKey);
    if (request.idempotencyKey.empty() || m_registry.findByKey(key)) {
        admit(exchange, request);
        return;
    }
    const bool isForwarded = hopsOf(exchange->request()) > 0;
    m_context.cluster.place(key, isForwarded, [this, exchange, request, placings](const Placement& placement) {
        placed(exchange, request, placings, placement);
    });
}

void CompletionHandler::placed(const std::shared_ptr<HttpExchange>& exchange, const CompletionRequest& request,
    unsigned placings, const Placement& placement)
{
    using Kind = Placement::Kind;
    const auto retryAfter = m_context.settings.generation.retryAfter;
    if (placement.kind == Kind::Here)
        admit(exchange, request);
    else if (placement.kind == Kind::TakeOver)
        takeOver(exchange, request);
    else if (placement.kind == Kind::Refuse)
        refuse(*exchange,
            { 503, "runner_unreachable",
                "the VM that runs the request cannot be reached, and the request must not be repeated", "",
                RunOutcome::Unknown, retryAfter });
    else if (placings >= maxPlacings || hopsOf(exchange->request()) >= maxHops)
        refuse(*exchange,
            { 503, "not_settled", "the VMs do not agree yet on who is responsible for the key", "", RunOutcome::Unknown,
                retryAfter });
    else
        forward(exchange, request, placings, placement.target);
}

void CompletionHandler::forward(const std::shared_ptr<HttpExchange>& exchange, const CompletionRequest& request,
    unsigned placings, const PeerIdentity& target)
{
    logInfo(LogPart::Route, "a request with a key goes to VM " + target.vm + ", which is responsible for it.");
    const auto forwarded = std::make_shared<ForwardedRequest>(m_context, exchange, target.vm);
    // The links between VMs show a loss a little later than the call does.
    forwarded->onLost([this, exchange, request, placings] {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_context.ioContext, placingInterval);
        timer->async_wait([this, timer, exchange, request, placings](boost::system::error_code error) {
            if (!error)
                serve(exchange, request, placings + 1);
        });
    });
    forwarded->start({ target.callerAddress, target.callerPort }, hopsOf(exchange->request()) + 1);
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
        logWarning(LogPart::Authority,
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
            "this VM holds as many generations as its limit allows: " + std::to_string(settings.maxHeld), "",
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
    logInfo(LogPart::Caller, "a request is refused with " + std::to_string(error.status) + ": " + error.message + ".");
    m_context.metrics.countRequest("completion", error.status);
    m_context.metrics.countRefusal(error.outcome);
    exchange.respond(errorResponse(error));
}

} // namespace lupinknot::internal
