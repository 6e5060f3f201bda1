#include "relay/AnswerHolding.h"

#include "common/EventLog.h"
#include "relay/EndpointCall.h"
#include "relay/RelayContext.h"
#include "relay/RelayMetrics.h"

namespace lupinknot::internal {

std::unique_ptr<AnswerMemory::Holding> holdAnswer(
    RelayContext& context, const std::shared_ptr<EndpointCall>& call, const std::string& requestId)
{
    return context.answerMemory->open([&context, weak = std::weak_ptr(call), requestId] {
        const auto answering = weak.lock();
        if (!answering)
            return;
        LogEvent("answer.too-large")
            .text("request", requestId)
            .text("endpoint", answering->endpoint()->entry().id)
            .number("connection", static_cast<std::int64_t>(answering->connectionNumber()))
            .number("others_bytes", static_cast<std::int64_t>(context.answerMemory->total()))
            .write();
        context.metrics.answersTooLarge.Increment();
        answering->giveUp();
    });
}

} // namespace lupinknot::internal
