#include "relay/RelayHandler.h"

#include "admission/StartupWait.h"
#include "common/EventLog.h"
#include "quarantine/RequestDigest.h"
#include "relay/BufferedCall.h"
#include "relay/CrashGuard.h"
#include "relay/EndpointDirectory.h"
#include "relay/EventStreamCall.h"
#include "relay/OpenCalls.h"
#include "relay/RelayConfiguration.h"
#include "relay/RelayContext.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySettings.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace lupinknot::internal {

namespace {

// Chooses one of a route's services by weight. The choice depends on the id of the attempt only, so that a repeated
// look-up yields the same service. A resumed stream stays at the service of the attempt that began it.
const std::string& chooseService(const Route& route, const CallerFields& fields)
{
    const auto& attempt = fields.resumedRequestId.empty() ? fields.requestId : fields.resumedRequestId;
    std::uint64_t total = 0;
    for (const auto& share : route.services)
        total += share.weight;
    if (total == 0)
        return route.services.front().service;
    auto position = XXH64(attempt.data(), attempt.size(), 0) % total;
    for (const auto& share : route.services) {
        if (position < share.weight)
            return share.service;
        position -= share.weight;
    }
    return route.services.back().service;
}

} // namespace

// A request that waits for the decision whether it is quarantined, which other VMs may take part in.
class RelayHandler::UndecidedRequest final : public OpenCall, public std::enable_shared_from_this<UndecidedRequest> {
public:
    UndecidedRequest(RelayHandler& handler, RelayRequest request)
        : m_handler(handler)
        , m_openCalls(handler.m_context.openCalls)
        , m_request(std::move(request))
    {
    }

    ~UndecidedRequest() override { m_openCalls->remove(*this); }
    UndecidedRequest(const UndecidedRequest&) = delete;
    UndecidedRequest& operator=(const UndecidedRequest&) = delete;

    void begin() { m_openCalls->add(*this); }

    // The request, unless it has been answered.
    std::optional<RelayRequest> take()
    {
        m_openCalls->remove(*this);
        return std::exchange(m_request, std::nullopt);
    }

    // The decision comes soon.
    void stopRequested() override { }

    void processEnds() override
    {
        if (const auto request = take())
            m_handler.refuse(*request, RefusalReason::Stopping);
    }

    std::shared_ptr<OpenCall> hold() override { return shared_from_this(); }

private:
    RelayHandler& m_handler;
    const std::shared_ptr<OpenCalls> m_openCalls;
    std::optional<RelayRequest> m_request;
};

RelayHandler::RelayHandler(RelayContext& context)
    : m_context(context)
    , m_startedAt(context.now())
    , m_startupQueue(context, [this](const StartupQueue::Request& request) { serveOrWait(request); })
{
}

void RelayHandler::handle(const std::shared_ptr<HttpExchange>& exchange) { serveOrWait({ exchange, m_context.now() }); }

void RelayHandler::serveOrWait(const StartupQueue::Request& arrived)
{
    const StartupState state { m_startedAt, m_context.configuration != nullptr, m_context.directory.isKnown() };
    const bool hasAll = state.hasConfiguration && state.hasEndpoints;
    if (hasAll || !m_context.has(Policy::Waiting) || m_context.isStopping) {
        serve(arrived);
        return;
    }
    const auto now = m_context.now();
    const auto fields = m_context.protocol.decodeCaller(arrived.exchange->request().headers);
    const auto decision = decideStartup(state, { arrived.arrivedAt, fields.callerTimeout }, now);
    if (decision.action != StartupAction::Wait
        || !m_startupQueue.hold({ arrived.exchange, arrived.arrivedAt, rankOf(arrived, fields) }, decision.until)) {
        serve(arrived);
        return;
    }
    LogEvent("request.waits-for-news")
        .text("request", fields.requestId)
        .flag("has_configuration", state.hasConfiguration)
        .number("up_for_ms", (now - m_startedAt).count())
        .number("at_most_ms", (decision.until - now).count())
        .write();
}

RequestRank RelayHandler::rankOf(const StartupQueue::Request& arrived, const CallerFields& fields) const
{
    const auto configuration = m_context.configuration;
    if (!configuration)
        return {};
    const auto& http = arrived.exchange->request();
    const auto route = configuration->findRoute(http.headers.find("Host").value_or(""), http.path());
    const auto* organisation = configuration->findOrganisation(fields.apiKey);
    return effectiveRank(organisation ? configuration->rankOfOrganisation(*organisation) : std::nullopt,
        route ? route->rank : std::nullopt);
}

void RelayHandler::serve(const StartupQueue::Request& arrived)
{
    RelayRequest request;
    request.exchange = arrived.exchange;
    request.admittedAt = arrived.arrivedAt;
    request.fields = m_context.protocol.decodeCaller(arrived.exchange->request().headers);
    if (const auto reason = admit(request)) {
        refuse(request, *reason);
        return;
    }
    m_context.retryBudget(request.service).noteRequest(request.admittedAt, request.rank.value);
    if (auto* const rollout = m_context.rollouts.find(request.service))
        rollout->noteRequest();
    const bool isStream = request.route->kind == RequestKind::EventStream;
    LogEvent("request.admitted", LogImportance::Routine)
        .text("request", request.fields.requestId)
        .text("route", request.route->name)
        .text("service", request.service)
        .text("organisation", request.organisation)
        .number("rank", loggedRank(request.rank))
        .text("digest", request.digest)
        .number("time_left_ms", (request.deadline - request.admittedAt).count())
        .number("objective_ms", request.route->objective.count())
        .number("longest_pause_ms", isStream ? request.route->longestPause.count() : 0)
        .number("prompt_tokens", request.fields.promptTokens)
        .number("max_answer_tokens", request.fields.maxAnswerTokens)
        .number("config_version", static_cast<std::int64_t>(request.configurationVersion))
        .write();
    const auto digest = request.digest;
    const auto undecided = std::make_shared<UndecidedRequest>(*this, std::move(request));
    undecided->begin();
    m_context.crashGuard.admit(digest, [this, isStream, undecided](bool isAdmitted) {
        auto decided = undecided->take();
        if (!decided)
            return;
        if (!isAdmitted)
            refuse(*decided, RefusalReason::HeldInQuarantine);
        else if (isStream)
            EventStreamCall::serve(m_context, std::move(*decided));
        else
            BufferedCall::serve(m_context, std::move(*decided));
    });
}

std::optional<RefusalReason> RelayHandler::admit(RelayRequest& request) const
{
    const auto configuration = m_context.configuration;
    if (!configuration)
        return RefusalReason::NoConfiguration;
    if (m_context.isStopping)
        return RefusalReason::Stopping;
    const auto& http = request.exchange->request();
    request.configurationVersion = configuration->version();
    request.route = configuration->findRoute(http.headers.find("Host").value_or(""), http.path());
    if (!request.route || request.route->services.empty())
        return RefusalReason::UnknownRoute;
    if (configuration->hasOrganisations() && !request.route->isPublic) {
        const auto* organisation = configuration->findOrganisation(request.fields.apiKey);
        if (!organisation)
            return RefusalReason::UnknownKey;
        request.organisation = *organisation;
    }
    request.rank = effectiveRank(configuration->rankOfOrganisation(request.organisation), request.route->rank);
    if (request.fields.requestId.empty() || !request.fields.malformedField.empty())
        return RefusalReason::Malformed;
    request.digest = digestOf(http, request.organisation);
    request.service = chooseService(*request.route, request.fields);
    const auto callerTimeout
        = std::min(request.fields.callerTimeout.value_or(request.route->timeout), request.route->timeout);
    request.deadline = request.admittedAt + callerTimeout;
    request.firstAttemptAt = request.admittedAt;
    if (request.rank.isNamed && request.route->kind == RequestKind::EventStream)
        request.firstAttemptAt -= m_context.firstAttempts[request.route->name].add(callerTimeout);
    return std::nullopt;
}

void RelayHandler::refuse(const RelayRequest& request, RefusalReason reason)
{
    const auto& traits = traitsOf(reason);
    LogEvent("request.refused")
        .text("request", request.fields.requestId)
        .text("reason", traits.name)
        .text("field", request.fields.malformedField)
        .number("status", traits.status)
        .number("config_version", static_cast<std::int64_t>(request.configurationVersion))
        .write();
    std::optional<Milliseconds> retryDelay;
    if (reason == RefusalReason::HeldInQuarantine)
        retryDelay = m_context.crashGuard.quarantineTimeLeft(request.digest);
    request.exchange->respond(refusal(m_context, reason, retryDelay));
}

} // namespace lupinknot::internal
