// The settings of one lupinknotd process, as read from its TOML file. SettingsTables.h has the key, the range and the
// description of each.
#pragma once

#include "http/HttpServerSettings.h"
#include "http/SocketAddress.h"
#include "lupinknot/EndpointLiveness.h"
#include "lupinknot/RecoveryPolicy.h"
#include "peer/PeerSettings.h"
#include <optional>
#include <string>
#include <vector>

namespace lupinknot::internal {

struct VmSettings {
    std::string name;
    std::string zone;
    // Threads for callers' connections and timers.
    std::int64_t threads { 4 };
    // Threads for calls to endpoints and to the platform.
    std::int64_t callThreads { 8 };
    std::string logLevel { "info" };
    // How long a planned stop waits for requests in progress.
    Milliseconds stopTimeout { 600000 };
    // How long a planned stop reports "not ready" before it refuses connections, so that the load balancer notices.
    Milliseconds stopNotice { 2000 };
};

struct GenerationSettings {
    // For a whole generation, if the request sets none.
    Milliseconds deadline { 900000 };
    // How long a finished generation with an idempotency key is kept, for a caller that reconnects.
    Milliseconds retention { 120000 };
    // How long a generation with an idempotency key continues after its caller has disconnected.
    Milliseconds detachedGrace { 0 };
    // Maximum of `max_tokens` in a request.
    std::int64_t maxTokens { 32768 };
    // Limit of the generations in memory, running or finished; further ones are refused.
    std::int64_t maxGenerations { 20000 };
    // The retry delay in the response to a refused caller.
    Milliseconds retryAfter { 1000 };
};

// How long an endpoint or a stream may be silent before the endpoint is suspected of having failed.
struct SilenceSettings {
    DetectorKind detector { DetectorKind::Maximum };
    // Bounds of the detector's timeout for the silence of all streams of an endpoint.
    Milliseconds floor { 350 };
    Milliseconds ceiling { 1500 };
    // Timeout for one stream while others on the endpoint progress.
    Milliseconds loneStream { 5000 };
    // Timeout for an endpoint while one of its streams waits for its first token.
    Milliseconds prefill { 1200 };
    // Timeout for the first token of a stream on an endpoint that is alive.
    Milliseconds firstToken { 10000 };

    LivenessSettings liveness() const { return { detector, { floor, ceiling }, loneStream, prefill, firstToken }; }
};

// How long an endpoint gets no new work after a failure. The time doubles with each further failure.
struct EjectionSettings {
    Milliseconds initial { 250 };
    Milliseconds longest { 5000 };
};

struct PlatformSettings {
    // Empty if there is no platform; the endpoints in the file then count as live.
    std::string address;
    std::int64_t port { 0 };
    // Interval between two reads of the platform's list of VMs.
    Milliseconds pollInterval { 1000 };
    // Timeout for one read.
    Milliseconds timeout { 2000 };
};

struct EndpointSettings {
    std::string name;
    std::string zone;
    std::string address;
    std::int64_t port { 0 };
    // Models that the endpoint serves if it is an engine; empty for the endpoint of a plain service.
    std::vector<std::string> models;

    SocketAddress socketAddress() const { return { address, port }; }
};

struct ServiceSettings {
    std::string name;
    std::string path;
    // Names of endpoints.
    std::vector<std::string> endpoints;
    // For a whole call, including its retries.
    Milliseconds deadline { 2000 };
    unsigned maxAttempts { 3 };
    // Whether a call may be repeated if the request does not specify it.
    bool repeatable { false };
};

// Replication of generations to other VMs.
struct JournalSettings {
    // How long changes are collected before they are sent to a peer as one batch.
    Milliseconds flushInterval { 1 };
    // Whether generations continue while no other VM can be reached, although a crash of this VM would lose them.
    bool continuesWithoutPeers { true };
    // How long an engine continues a generation without a connection, so that another VM can attach to it.
    Milliseconds detachedRunTime { 3000 };
};

struct DaemonSettings {
    VmSettings vm;
    HttpServerSettings listener;
    HttpServerSettings admin { .descriptors = operatorDescriptors };
    GenerationSettings generation;
    RecoverySettings recovery;
    SilenceSettings silence;
    EjectionSettings ejection;
    PlatformSettings platform;
    ClusterSettings cluster;
    JournalSettings journal;
    std::vector<PeerSettings> peers;
    std::vector<EndpointSettings> endpoints;
    std::vector<ServiceSettings> services;
};

} // namespace lupinknot::internal
