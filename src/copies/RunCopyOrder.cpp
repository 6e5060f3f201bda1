#include "copies/RunCopyOrder.h"

#include "copies/HandleRelease.h"
#include "http/HttpRoundTrip.h"
#include "relay/CallProtocol.h"
#include "relay/RelayContext.h"
#include "relay/RelayEndpoint.h"
#include "relay/RelaySettings.h"

namespace lupinknot::internal {

namespace {

CopyOrderAnswer answerOf(const MoveRunAnswer& answer)
{
    switch (answer.status) {
    case MoveRunStatus::Copied:
        // A copy without a name cannot be used.
        return { answer.handle.empty() ? CopyOrderResult::Unanswered : CopyOrderResult::Copied, answer.handle };
    case MoveRunStatus::UnknownRun:
        return { CopyOrderResult::RunUnknown, "" };
    case MoveRunStatus::Busy:
        return { CopyOrderResult::Busy, "" };
    case MoveRunStatus::Rejected:
        return { CopyOrderResult::Rejected, "" };
    case MoveRunStatus::Other:
        break;
    }
    return {};
}

} // namespace

std::shared_ptr<RunCopyOrder> RunCopyOrder::start(RelayContext& context, std::shared_ptr<RelayEndpoint> source,
    std::shared_ptr<RelayEndpoint> target, const std::string& requestId, Callback callback)
{
    std::shared_ptr<RunCopyOrder> order(
        new RunCopyOrder(context, std::move(source), std::move(target), std::move(callback)));
    const auto request = context.protocol.encodeMoveRun(requestId, order->m_target->entry().address, false);
    order->m_request = HttpRoundTrip::ask(context.ioContext, order->m_source->openConnection(), request,
        context.settings.copies.lateOrderTimeout, [weak = order->weak_from_this()](const HttpRoundTripResult& outcome) {
            if (const auto self = weak.lock())
                self->handleAnswer(outcome);
        });
    order->m_timeout.expires_after(context.settings.copies.copyOrderTimeout);
    order->m_timeout.async_wait([weak = order->weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->timedOut();
    });
    return order;
}

RunCopyOrder::RunCopyOrder(RelayContext& context, std::shared_ptr<RelayEndpoint> source,
    std::shared_ptr<RelayEndpoint> target, Callback callback)
    : m_context(context)
    , m_source(std::move(source))
    , m_target(std::move(target))
    , m_startedAt(context.now())
    , m_callback(std::move(callback))
    , m_timeout(context.ioContext)
    , m_lifetime(context.ioContext)
{
}

void RunCopyOrder::abandon(std::shared_ptr<RunCopyOrder> order, std::string handleInUse)
{
    if (!order)
        return;
    order->m_callback = nullptr;
    order->m_handleInUse = std::move(handleInUse);
    order->m_lifetime.expires_after(order->m_context.settings.copies.lateOrderTimeout);
    order->m_lifetime.async_wait([order](boost::system::error_code) {});
}

void RunCopyOrder::timedOut()
{
    // The callback may end the order.
    const auto self = shared_from_this();
    if (const auto callback = m_callback)
        callback(*this, {});
}

void RunCopyOrder::handleAnswer(const HttpRoundTripResult& outcome)
{
    const auto self = shared_from_this();
    m_isOpen = false;
    m_timeout.cancel();
    CopyOrderAnswer answer;
    if (outcome.answer) {
        m_source->noteSignals(m_context.protocol.decodeAnswer(*outcome.answer), m_context.now());
        answer = answerOf(m_context.protocol.decodeMoveRun(*outcome.answer));
    }
    if (const auto callback = std::exchange(m_callback, nullptr)) {
        callback(*this, answer);
        return;
    }
    m_lifetime.cancel();
    if (!answer.handle.empty() && answer.handle != m_handleInUse)
        HandleRelease::send(m_context, m_source, answer.handle);
}

} // namespace lupinknot::internal
