#include "relay/AnswerHolding.h"

#include "common/EventLog.h"
#include "relay/RelayContext.h"
#include "relay/RelayMetrics.h"
#include "relay/RelayRequest.h"

namespace lupinknot::internal {

std::unique_ptr<AnswerMemory::Holding> holdAnswer(
    RelayContext& context, const RelayRequest& request, std::function<void()> giveUp)
{
    return context.answerMemory->open([&context, requestId = request.fields.requestId, giveUp = std::move(giveUp)] {
        LogEvent("answer.too-large")
            .text("request", requestId)
            .number("others_bytes", static_cast<std::int64_t>(context.answerMemory->total()))
            .write();
        context.metrics.answersTooLarge.Increment();
        giveUp();
    });
}

} // namespace lupinknot::internal
