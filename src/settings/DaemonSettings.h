// Everything that an operator can set for one lupinknotd, as read from its TOML file.
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
    std::int64_t threads { 4 };
    std::int64_t callThreads { 8 };
    std::string logLevel { "info" };
    // Time that a planned stop gives to the requests in progress.
    Milliseconds stopTimeout { 600000 };
    // Time between "not ready" and the end of accepting, in which the balancer notices.
    Milliseconds stopNotice { 2000 };
};

struct GenerationSettings {
    Milliseconds deadline { 900000 };
    // How long an ended answer is kept for a caller who comes back.
    Milliseconds retention { 120000 };
    // How long a keyed generation runs on when its caller has gone.
    Milliseconds detachedGrace { 0 };
    std::int64_t maxTokens { 32768 };
    // Generations held at one time, running or kept; more are refused.
    std::int64_t maxGenerations { 20000 };
    // When a refused caller is told to come back.
    Milliseconds retryAfter { 1000 };
};

struct SilenceSettings {
    DetectorKind detector { DetectorKind::Maximum };
    Milliseconds floor { 350 };
    Milliseconds ceiling { 1500 };
    Milliseconds loneStream { 5000 };
    Milliseconds prefill { 1200 };
    Milliseconds firstToken { 10000 };

    LivenessSettings liveness() const { return { detector, { floor, ceiling }, loneStream, prefill, firstToken }; }
};

struct EjectionSettings {
    Milliseconds initial { 250 };
    Milliseconds longest { 5000 };
};

struct PlatformSettings {
    // Empty when there is no platform to ask: the endpoints of the file are then taken as live.
    std::string address;
    std::int64_t port { 0 };
    Milliseconds pollInterval { 1000 };
    Milliseconds timeout { 2000 };
};

struct EndpointSettings {
    std::string name;
    std::string zone;
    std::string address;
    std::int64_t port { 0 };
    // Models that a model engine serves; none for a plain service's endpoint.
    std::vector<std::string> models;

    SocketAddress socketAddress() const { return { address, port }; }
};

struct ServiceSettings {
    std::string name;
    std::string path;
    std::vector<std::string> endpoints;
    Milliseconds deadline { 2000 };
    unsigned maxAttempts { 3 };
    // Whether calls may be repeated when the caller does not say.
    bool repeatable { false };
};

struct JournalSettings {
    Milliseconds flushInterval { 1 };
    // Whether generations go on, and may be lost with this VM, while no other VM can be reached.
    bool continuesWithoutPeers { true };
    // How long an engine runs on without a connection, for another VM to attach to.
    Milliseconds detachedRunTime { 3000 };
};

struct DaemonSettings {
    VmSettings vm;
    HttpServerSettings listener;
    HttpServerSettings admin;
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
