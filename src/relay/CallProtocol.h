// Encoding and decoding of the relay's requests and responses.
//
// The relay works with the decoded fields below; an implementation of this interface maps them to the headers of its
// wire protocol.
#pragma once

#include "http/HttpHeaders.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"
#include "placement/EndpointLoad.h"
#include "relay/EngineReport.h"
#include <cstdint>
#include <optional>
#include <string>

namespace lupinknot::internal {

// Decoded fields of a caller's request.
struct CallerFields {
    // Identifies this attempt of the caller; empty when absent.
    std::string requestId;
    // How long the caller waits for the response, from the moment it sent the request.
    std::optional<Milliseconds> callerTimeout;
    std::string apiKey;
    // Id of the last event that a reconnecting caller has received; absent for a stream from its start.
    std::optional<std::uint64_t> lastEventId;
    // For a caller that resumes a stream, the id of its attempt that delivered the first event; empty when absent.
    std::string resumedRequestId;
    // Identifies the part of the prompt that is specific to this caller's request, the same at each of its attempts;
    // empty when unknown.
    std::string promptId;
    // Number of tokens in the prompt, 0 when unknown.
    std::uint32_t promptTokens { 0 };
    // Upper limit of tokens in the answer, 0 when unknown.
    std::uint32_t maxAnswerTokens { 0 };
    // Name of the field that cannot be parsed, empty when all can.
    std::string malformedField;
};

// Where an engine finds the KV cache of a run that it resumes.
struct RunMemorySource {
    // The engine that holds the KV cache: for a live copy, the engine that received it; for a run that was moved, its
    // previous engine.
    SocketAddress engine;
    // Id of the request whose run was copied, or the handle that the engine returned for a move.
    std::string name;
};

// How an engine answers a request to copy or move a run.
enum class MoveRunStatus {
    Copied, // The target engine has received the run's KV cache.
    UnknownRun, // The engine does not run the request.
    Busy, // Another request for the run is under way.
    Rejected, // There is no room at the target, or no way to it.
    Other, // No answer, or one that is not understood.
};

// An engine's response to a request to move a run.
struct MoveRunAnswer {
    MoveRunStatus status { MoveRunStatus::Other };
    // True when the target engine has received the run's KV cache.
    bool isCopied { false };
    // Identifies the KV cache for the run that resumes from it; empty when there is none.
    std::string handle;
};

// Fields that the relay adds to a request when it forwards it to an endpoint.
struct ForwardFields {
    Milliseconds timeLeft { 0 };
    // Id of the endpoint's incarnation (one process start); another incarnation at that address rejects the request.
    std::string endpointId;
    // Empty on public routes.
    std::string organisation;
    std::optional<std::uint64_t> lastEventId;
    // Engine that receives a live copy of the run's KV cache, updated while the run continues.
    std::optional<SocketAddress> copyTo;
    std::optional<RunMemorySource> continueFrom;
    // The priority for an engine, 0 to 9 with 0 first; absent when the configuration names no rank.
    std::optional<unsigned> priority;
};

// Limit of requests per second from all VMs together, as an endpoint's response states it.
struct StatedLimit {
    // Nothing when the response contains no limit, or one that cannot be parsed.
    std::optional<double> perSecond;
    // The value that cannot be parsed; empty when there is none.
    std::string unreadable;
};

// Back-off that an endpoint requests from this VM when it rejects a request.
struct RequestedBackOff {
    // Nothing when the response requests no back-off, or its time cannot be parsed.
    std::optional<Milliseconds> time;
    // The value that cannot be parsed; empty when there is none.
    std::string unreadable;
};

// Load of the endpoint, as its response states it.
struct StatedLoad {
    // Nothing when the response states no load, or one that cannot be parsed.
    std::optional<EndpointLoad> load;
    // The value that cannot be parsed; empty when there is none.
    std::string unreadable;
};

// Decoded fields of an endpoint's response.
struct AnswerFields {
    // Id of the request that the response belongs to; empty when the response does not contain it.
    std::string requestId;
    // True when the response carries the endpoint's signature.
    bool isSigned { false };
    // True when the endpoint states that it did not run the request.
    bool isNotRun { false };
    // True when the address belongs to another incarnation than the one that the request was meant for.
    bool isOtherIncarnation { false };
    StatedLimit limit {};
    // Requests that the endpoint may turn away in a second, from all VMs together, without failing; empty when it
    // states none.
    std::optional<double> toleratedRejections;
    RequestedBackOff backOff {};
    // True when the endpoint announces that it is shutting down.
    bool isShuttingDown { false };
    StatedLoad load {};
};

// Stateless and thread-safe.
class CallProtocol {
public:
    virtual ~CallProtocol() = default;
    virtual CallerFields decodeCaller(const HttpHeaders&) const = 0;
    // Builds the complete request for an endpoint, without the headers that callers may not set themselves.
    virtual HttpRequest encodeForward(const HttpRequest& callerRequest, const ForwardFields&) const = 0;
    virtual AnswerFields decodeAnswer(const HttpResponse& head) const = 0;
    // Queries the state of an engine; any response proves that it is alive.
    virtual HttpRequest encodeStateQuery() const = 0;
    // Queries the load of an engine, on a connection that may be kept alive.
    virtual HttpRequest encodeLoadQuery() const = 0;
    // Nothing when the response is not a valid load report.
    virtual std::optional<EngineReport> decodeLoad(const HttpResponse&) const = 0;
    // Builds a request to an engine to copy a run's KV cache to another engine, and to stop the run first if requested.
    virtual HttpRequest encodeMoveRun(
        const std::string& requestId, const SocketAddress& target, bool stopsRun) const = 0;
    virtual MoveRunAnswer decodeMoveRun(const HttpResponse&) const = 0;
    // Builds a request to the engine that made a copy to free it at both ends.
    virtual HttpRequest encodeReleaseHandle(const std::string& handle) const = 0;
    // Header that tells a caller when to retry, with millisecond precision where the protocol supports it.
    virtual HttpHeader encodeRetryAfter(Milliseconds) const = 0;
};

} // namespace lupinknot::internal
