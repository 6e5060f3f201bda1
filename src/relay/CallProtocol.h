// How the relay's requests and answers are written on the wire, in words of the relay.
//
// The relay decides what a request is to say; an adapter that implements this interface knows which header says it.
#pragma once

#include "http/HttpHeaders.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"
#include "relay/EngineReport.h"
#include <cstdint>
#include <optional>
#include <string>

namespace lupinknot::internal {

// What a caller's request says, once decoded.
struct CallerFields {
    // Names this attempt of the caller; empty when absent.
    std::string requestId;
    // How long the caller will wait, from the moment it sent the request.
    std::optional<Milliseconds> callerTimeout;
    std::string apiKey;
    // The last event that a returning caller has; absent for a stream from its start.
    std::optional<std::uint64_t> lastEventId;
    // Names the part of the prompt that belongs to this caller's request alone, the same at each of its attempts; empty
    // when unknown.
    std::string promptId;
    // Tokens of the prompt, 0 when unknown.
    std::uint32_t promptTokens { 0 };
    // Most tokens of the answer, 0 when unknown.
    std::uint32_t maxAnswerTokens { 0 };
    // Names the field that cannot be read, empty when all can.
    std::string malformedField;
};

// Where an engine finds the memory of a run that it continues.
struct RunMemorySource {
    // For a copy that grew beside the run, the engine that holds it; for a run that was moved, the one it left.
    SocketAddress engine;
    // The request whose run was copied, or the handle that the move gave.
    std::string name;
};

// What an engine answers to a wish to move a run.
struct MoveRunAnswer {
    // True when the target holds the run's memory.
    bool isCopied { false };
    // Names the memory for the run that continues; empty when there is none.
    std::string handle;
};

// What the relay tells an endpoint beside the caller's own header.
struct ForwardFields {
    Milliseconds timeLeft { 0 };
    // The incarnation of the endpoint; any other one at that address turns the request away.
    std::string endpointId;
    // Empty on public routes.
    std::string organisation;
    std::optional<std::uint64_t> lastEventId;
    // Engine that is to receive a growing copy of the run's memory.
    std::optional<SocketAddress> copyTo;
    std::optional<RunMemorySource> continueFrom;
};

// What an endpoint's answer says of the requests a second that it takes from all VMs together.
struct StatedLimit {
    // Nothing when the answer names no limit, or none that can be read.
    std::optional<double> perSecond;
    // What stands there and cannot be read; empty when all can.
    std::string unreadable;
};

// How long an endpoint that rejects a request wants no further one from this VM.
struct RequestedBackOff {
    // Nothing when the answer asks for no rest, or its time cannot be read.
    std::optional<Milliseconds> time;
    // The value that cannot be read; empty when there is none.
    std::string unreadable;
};

// What an endpoint's answer says, once decoded.
struct AnswerFields {
    // The request that the answer belongs to; empty when it does not say.
    std::string requestId;
    // True when the endpoint vouches for the answer by its signature.
    bool isSigned { false };
    // True when the endpoint says that it did not run the request.
    bool isNotRun { false };
    // True when the address belongs to another incarnation than the one that was asked for.
    bool isOtherIncarnation { false };
    StatedLimit limit {};
    RequestedBackOff rest {};
    // True when the endpoint says that it is about to end.
    bool isLeaving { false };
};

// Stateless and thread-safe.
class CallProtocol {
public:
    virtual ~CallProtocol() = default;
    virtual CallerFields decodeCaller(const HttpHeaders&) const = 0;
    // The whole request for an endpoint; what callers may not set themselves is taken out.
    virtual HttpRequest encodeForward(const HttpRequest& callerRequest, const ForwardFields&) const = 0;
    virtual AnswerFields decodeAnswer(const HttpResponse& head) const = 0;
    // Asks an engine for its state; any answer proves that it lives.
    virtual HttpRequest encodeStateQuery() const = 0;
    // Asks an engine for its load, on a connection that may be kept.
    virtual HttpRequest encodeLoadQuery() const = 0;
    // Nothing when the answer is no report that can be read.
    virtual std::optional<EngineReport> decodeLoad(const HttpResponse&) const = 0;
    // Has an engine copy a run's memory to another one, and stop the run first where that is wanted.
    virtual HttpRequest encodeMoveRun(
        const std::string& requestId, const SocketAddress& target, bool stopsRun) const = 0;
    virtual MoveRunAnswer decodeMoveRun(const HttpResponse&) const = 0;
    // Tells a caller when to come back, to the millisecond where the protocol can.
    virtual HttpHeader encodeRetryAfter(Milliseconds) const = 0;
};

} // namespace lupinknot::internal
