// One attempt of a stream at one engine.
//
// Shared by the stream's call, while this is its current run, and by pending callbacks of the run. Used on the relay's
// thread only.
#pragma once

#include "admission/DeliveryHistory.h"
#include "http/HttpResponse.h"
#include "lupinknot/Generation.h"
#include "placement/EventGaps.h"
#include "relay/CallProtocol.h"
#include "relay/EventSplitter.h"
#include "relay/PrefillScope.h"
#include "relay/RunSilence.h"
#include "retries/RetryLoanSource.h"
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lupinknot::internal {

class EndpointCall;
class RelayEndpoint;

struct StreamRun {
    AttemptNumber number { 0 };
    DeliveryHistory::Number delivery { 0 };
    std::shared_ptr<EndpointCall> call;
    std::shared_ptr<RelayEndpoint> endpoint;
    // The engine that receives a live copy of the run's KV cache, if any.
    std::shared_ptr<RelayEndpoint> copyHolder;
    HttpResponse head;
    AnswerFields fields;
    EventSplitter splitter;
    EventGaps gaps;
    // Set while the engine prefills the prompt.
    std::unique_ptr<PrefillScope> reading;
    Milliseconds startedAt { 0 };
    // When the response header arrived, which shows that the engine has started the run; nothing before that.
    std::optional<Milliseconds> headerReceivedAt;
    std::optional<Milliseconds> firstEventAt;
    // Time of the last event, or of sending the request if there was none.
    Milliseconds lastActivity { 0 };
    bool isStream { false };
    // True when the response has a length or is chunked; otherwise it ends when the connection closes.
    bool isFramed { false };
    bool hasEvent { false };
    bool isFromCopy { false };
    // The copy that the run continues from; empty if there is none.
    std::string copyName;
    // Set while nothing arrives from the run.
    std::optional<RunSilence> silence;
    // The engine has been asked to stop this silent run, whose connection is kept until the run in its place is
    // certain.
    bool isBeingStopped { false };
    // The same, also after the stream has returned to the run: the engine may still stop it.
    bool wasAskedToStop { false };
    // How long the run waited for the engines of earlier runs before it was sent.
    Milliseconds stopWait { 0 };
    // How long the run waited for a retry.
    Milliseconds retryWait { 0 };
    // When the engine answered a probe after it had been silent.
    Milliseconds answeredAgainAt { 0 };
    // The priority that was sent to the engine, if any.
    std::optional<unsigned> priority;
    // The retry budget was charged for this run.
    bool tookRetry { false };
    // The retry of another VM that paid for this run.
    std::optional<RetryLoan> loan;
};

} // namespace lupinknot::internal
