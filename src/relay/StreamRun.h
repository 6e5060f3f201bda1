// One attempt of a stream at one engine.
//
// Lives as long as the stream's call takes it for the present run, or a callback of it holds it. Used on the relay's
// thread only.
#pragma once

#include "http/HttpResponse.h"
#include "lupinknot/Generation.h"
#include "relay/CallProtocol.h"
#include "relay/EventSplitter.h"
#include "relay/PrefillScope.h"
#include <memory>
#include <optional>

namespace lupinknot::internal {

class EndpointCall;
class RelayEndpoint;

struct StreamRun {
    AttemptNumber number { 0 };
    std::shared_ptr<EndpointCall> call;
    std::shared_ptr<RelayEndpoint> endpoint;
    // The engine that receives a growing copy, if any.
    std::shared_ptr<RelayEndpoint> copyHolder;
    HttpResponse head;
    AnswerFields fields;
    EventSplitter splitter;
    // Set as long as the engine reads the prompt.
    std::unique_ptr<PrefillScope> reading;
    Milliseconds startedAt { 0 };
    // When the head of its answer came: the engine has begun it. Nothing as long as none has.
    std::optional<Milliseconds> begunAt;
    std::optional<Milliseconds> firstEventAt;
    // When it was sent, or its last event came.
    Milliseconds lastActivity { 0 };
    bool isStream { false };
    // True when the answer says where it ends; one that does not ends with its connection.
    bool isFramed { false };
    bool hasEvent { false };
    bool isFromCopy { false };
    // A retry was taken for it.
    bool isCharged { false };
};

} // namespace lupinknot::internal
