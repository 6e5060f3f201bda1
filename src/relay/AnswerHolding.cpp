#include "relay/AnswerHolding.h"

#include "common/EventLog.h"
#include "http/HttpExchange.h"
#include "relay/RelayContext.h"
#include "relay/RelayMetrics.h"
#include "relay/RelayRequest.h"

namespace lupinknot::internal {

std::unique_ptr<AnswerMemory::Holding> holdAnswer(
    RelayContext& context, const RelayRequest& request, std::function<bool()> giveUp)
{
    // Weak, because the exchange owns the holding once the call has ended.
    return context.answerMemory->open([&context, requestId = request.fields.requestId,
                                          exchange = std::weak_ptr(request.exchange), giveUp = std::move(giveUp)] {
        const bool isCallOver = !giveUp();
        LogEvent("answer.too-large")
            .text("request", requestId)
            .number("others_bytes", static_cast<std::int64_t>(context.answerMemory->total()))
            .flag("was_received", isCallOver)
            .write();
        context.metrics.answersTooLarge.Increment();
        const auto sending = exchange.lock();
        if (isCallOver && sending)
            sending->abort();
    });
}

} // namespace lupinknot::internal
