// The tables of fields that describe every section of the daemon's settings. settingsReference() prints the
// descriptions into the reference for operators.
#pragma once

#include "settings/DaemonSettings.h"
#include "settings/SettingField.h"
#include <limits>

namespace lupinknot::internal {

// Upper bound of all times, in milliseconds: one day.
inline constexpr std::int64_t maxMilliseconds = 86400000;
inline constexpr std::int64_t maxPort = 65535;

inline const std::vector<SettingField<VmSettings>> vmFields {
    { "name", &VmSettings::name, 0, 0, "Name of this VM, unique in the cluster.", true },
    { "zone", &VmSettings::zone, 0, 0, "Availability zone of this VM; endpoints in the same zone are preferred.",
        true },
    { "threads", &VmSettings::threads, 1, 256, "Threads for callers' connections and timers." },
    { "call_threads", &VmSettings::callThreads, 1, 256, "Threads for calls to endpoints and to the platform." },
    { "log_level", &VmSettings::logLevel, 0, 0, "Minimum level of the log: debug, info, warning or error." },
    { "stop_timeout_ms", &VmSettings::stopTimeout, 0, maxMilliseconds,
        "How long a planned stop waits for requests in progress." },
    { "stop_notice_ms", &VmSettings::stopNotice, 0, maxMilliseconds,
        "How long a planned stop reports \"not ready\" before it refuses new connections." },
};

inline const std::vector<SettingField<HttpServerSettings>> listenerFields {
    { "address", &HttpServerSettings::address, 0, 0, "IP address to listen on." },
    { "port", &HttpServerSettings::port, 0, maxPort, "Port to listen on; 0 chooses a free port.", true },
    { "max_connections", &HttpServerSettings::maxConnections, 1, 1000000,
        "Limit of open connections. The limit of descriptors can lower it. Further connections take the place of idle "
        "ones or are answered with 503." },
    { "max_header_bytes", &HttpServerSettings::maxHeaderBytes, 256, 1048576,
        "Maximum size of a request header; a larger one is answered with 431." },
    { "max_body_bytes", &HttpServerSettings::maxBodyBytes, 1, 1073741824,
        "Maximum size of a request body; a larger one is answered with 413." },
    { "header_timeout_ms", &HttpServerSettings::headerTimeout, 1, maxMilliseconds,
        "Timeout for receiving a request header, counted from its first byte." },
    { "body_timeout_ms", &HttpServerSettings::bodyTimeout, 1, maxMilliseconds,
        "Timeout for receiving a request body." },
    { "write_timeout_ms", &HttpServerSettings::writeTimeout, 1, maxMilliseconds,
        "Timeout for the client to receive one write of a response." },
};

inline const std::vector<SettingField<GenerationSettings>> generationFields {
    { "deadline_ms", &GenerationSettings::deadline, 1, maxMilliseconds,
        "Deadline of a whole generation if the request has no `Lupinknot-Deadline-Ms`." },
    { "retention_ms", &GenerationSettings::retention, 0, maxMilliseconds,
        "How long a finished generation with an Idempotency-Key is kept, for a caller that reconnects." },
    { "detached_grace_ms", &GenerationSettings::detachedGrace, 0, maxMilliseconds,
        "How long a repeatable generation with an Idempotency-Key continues after its caller disconnects; 0 cancels "
        "it at once." },
    { "max_tokens", &GenerationSettings::maxTokens, 1, 1000000, "Maximum of `max_tokens` in a request." },
    { "max_held", &GenerationSettings::maxGenerations, 1, 10000000,
        "Limit of the generations in memory, running or finished; further ones are refused with 503." },
    { "retry_after_ms", &GenerationSettings::retryAfter, 1, maxMilliseconds,
        "Retry delay in the response to a refused caller." },
};

inline const std::vector<SettingField<RecoverySettings>> recoveryFields {
    { "max_attempts", &RecoverySettings::maxAttempts, 1, 1000, "Limit of the attempts for one generation." },
    { "endpoint_wait_ms", &RecoverySettings::endpointWait, 0, maxMilliseconds,
        "How long a generation waits for an available endpoint before it fails." },
    { "endpoint_retry_interval_ms", &RecoverySettings::endpointRetryInterval, 1, maxMilliseconds,
        "Interval between two searches for an available endpoint." },
};

inline const std::vector<SettingField<SilenceSettings>> silenceFields {
    { "detector", &SilenceSettings::detector, 0, 0,
        "Failure detector for silent endpoints: fixed, quantile, maximum or phi-accrual (docs/DETECTORS.md)." },
    { "floor_ms", &SilenceSettings::floor, 1, maxMilliseconds,
        "Minimum silence of all streams of an endpoint before the endpoint is suspected." },
    { "ceiling_ms", &SilenceSettings::ceiling, 1, maxMilliseconds,
        "Silence of all streams of an endpoint after which the endpoint is always suspected." },
    { "lone_stream_ms", &SilenceSettings::loneStream, 1, maxMilliseconds,
        "Timeout for a silent stream while others on its endpoint progress." },
    { "prefill_ms", &SilenceSettings::prefill, 1, maxMilliseconds,
        "Timeout for a silent endpoint while a stream waits for its first token." },
    { "first_token_ms", &SilenceSettings::firstToken, 1, maxMilliseconds,
        "Timeout for the first token of a stream on an endpoint that is alive." },
};

inline const std::vector<SettingField<EjectionSettings>> ejectionFields {
    { "initial_ms", &EjectionSettings::initial, 1, maxMilliseconds,
        "How long an endpoint gets no new work after a failure; doubles with each further failure." },
    { "longest_ms", &EjectionSettings::longest, 1, maxMilliseconds, "Maximum of that time." },
};

inline const std::vector<SettingField<PlatformSettings>> platformFields {
    { "address", &PlatformSettings::address, 0, 0,
        "IP address of the server of the platform's list of VMs; empty for no platform." },
    { "port", &PlatformSettings::port, 0, maxPort, "Port of the server of the platform's list of VMs." },
    { "poll_interval_ms", &PlatformSettings::pollInterval, 10, maxMilliseconds,
        "Interval between two reads of the list." },
    { "timeout_ms", &PlatformSettings::timeout, 10, maxMilliseconds, "Timeout for one read." },
};

inline const std::vector<SettingField<ClusterSettings>> clusterFields {
    { "name", &ClusterSettings::name, 0, 0,
        "Name of the cluster; connections from VMs of another cluster are refused." },
    { "secret", &ClusterSettings::secret, 0, 0,
        "Secret that all VMs of the cluster share; a VM with another one is refused. It is sent in plain text." },
    { "address", &ClusterSettings::address, 0, 0, "IP address on which this VM accepts connections from peers." },
    { "port", &ClusterSettings::port, 0, maxPort, "Port for these connections; 0 chooses a free port." },
    { "heartbeat_ms", &ClusterSettings::heartbeatInterval, 1, maxMilliseconds,
        "Interval between two heartbeats to a peer." },
    { "silence_ms", &ClusterSettings::silenceTimeout, 1, maxMilliseconds,
        "Silence of a peer after which it counts as lost." },
    { "reconnect_ms", &ClusterSettings::reconnectInterval, 1, maxMilliseconds,
        "Delay before reconnecting to a lost peer." },
};

inline const std::vector<SettingField<JournalSettings>> journalFields {
    { "flush_ms", &JournalSettings::flushInterval, 0, maxMilliseconds,
        "How long changes are collected before they are sent to a peer as one batch." },
    { "go_on_unprotected", &JournalSettings::continuesWithoutPeers, 0, 0,
        "Whether repeatable generations continue while no peer can be reached; if not, they are refused." },
    { "keep_stream_ms", &JournalSettings::detachedRunTime, 0, maxMilliseconds,
        "How long an engine continues a keyed generation after this VM is lost, so that a peer can attach." },
};

inline const std::vector<SettingField<PeerSettings>> peerFields {
    { "name", &PeerSettings::name, 0, 0, "Name of another VM of the cluster.", true },
    { "zone", &PeerSettings::zone, 0, 0, "Availability zone of the peer.", true },
    { "address", &PeerSettings::address, 0, 0, "IP address on which the peer accepts connections.", true },
    { "port", &PeerSettings::port, 1, maxPort, "Port for these connections.", true },
};

inline const std::vector<SettingField<EndpointSettings>> endpointFields {
    { "name", &EndpointSettings::name, 0, 0, "Name of the endpoint, unique in the file.", true },
    { "zone", &EndpointSettings::zone, 0, 0, "Availability zone of the endpoint.", true },
    { "address", &EndpointSettings::address, 0, 0, "IP address of the endpoint.", true },
    { "port", &EndpointSettings::port, 1, maxPort, "Port of the endpoint.", true },
    { "models", &EndpointSettings::models, 0, 0, "Models that the endpoint serves; omit for a plain service." },
};

inline const std::vector<SettingField<ServiceSettings>> serviceFields {
    { "name", &ServiceSettings::name, 0, 0, "Name of the service, unique in the file.", true },
    { "path", &ServiceSettings::path, 0, 0, "Requests to this path and the paths below it go to the service.", true },
    { "endpoints", &ServiceSettings::endpoints, 0, 0, "Names of the endpoints that run the service.", true },
    { "deadline_ms", &ServiceSettings::deadline, 1, maxMilliseconds,
        "Deadline of a whole call, including its retries." },
    { "max_attempts", &ServiceSettings::maxAttempts, 1, 100, "Limit of the attempts for one call." },
    { "repeatable", &ServiceSettings::repeatable, 0, 0,
        "Whether a call may be repeated if the request has no `Lupinknot-Repeatable`." },
};

} // namespace lupinknot::internal
