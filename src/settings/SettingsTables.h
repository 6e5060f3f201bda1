// The tables that describe every section of the daemon's settings.
#pragma once

#include "settings/DaemonSettings.h"
#include "settings/SettingField.h"
#include <limits>

namespace lupinknot::internal {

inline constexpr std::int64_t longestTime = 86400000;
inline constexpr std::int64_t highestPort = 65535;

inline const std::vector<SettingField<VmSettings>> vmFields {
    { "name", &VmSettings::name, 0, 0, "Name of this VM, unique in the cluster.", true },
    { "zone", &VmSettings::zone, 0, 0, "Availability zone of this VM; endpoints of the same one are preferred.", true },
    { "threads", &VmSettings::threads, 1, 256, "Threads for callers' connections and timers." },
    { "call_threads", &VmSettings::callThreads, 1, 256, "Threads for calls to endpoints and to the platform." },
    { "log_level", &VmSettings::logLevel, 0, 0, "Lowest level that is logged: debug, info, warning or error." },
    { "stop_timeout_ms", &VmSettings::stopTimeout, 0, longestTime,
        "Longest time that a planned stop waits for requests in progress." },
    { "stop_notice_ms", &VmSettings::stopNotice, 0, longestTime,
        "Time between reporting not ready and refusing new connections at a planned stop." },
};

inline const std::vector<SettingField<HttpServerSettings>> listenerFields {
    { "address", &HttpServerSettings::address, 0, 0, "IP number to listen on." },
    { "port", &HttpServerSettings::port, 0, highestPort, "Port to listen on; 0 takes any free one.", true },
    { "max_connections", &HttpServerSettings::maxConnections, 1, 1000000,
        "Connections open at one time; further ones are answered with 503." },
    { "max_header_bytes", &HttpServerSettings::maxHeaderBytes, 256, 1048576,
        "Largest header of a request; a larger one is answered with 431." },
    { "max_body_bytes", &HttpServerSettings::maxBodyBytes, 1, 1073741824,
        "Largest body of a request; a larger one is answered with 413." },
    { "header_timeout_ms", &HttpServerSettings::headerTimeout, 1, longestTime,
        "Time for a request's header to arrive, and for an idle connection to stay open." },
    { "body_timeout_ms", &HttpServerSettings::bodyTimeout, 1, longestTime, "Time for a request's body to arrive." },
    { "write_timeout_ms", &HttpServerSettings::writeTimeout, 1, longestTime,
        "Time for a reader to take one flush of a response." },
};

inline const std::vector<SettingField<GenerationSettings>> generationFields {
    { "deadline_ms", &GenerationSettings::deadline, 1, longestTime,
        "Time for a whole answer when the caller sets none with `Lupinknot-Deadline-Ms`." },
    { "retention_ms", &GenerationSettings::retention, 0, longestTime,
        "How long an ended answer with an Idempotency-Key is kept for a caller who comes back." },
    { "detached_grace_ms", &GenerationSettings::detachedGrace, 0, longestTime,
        "How long a repeatable generation with an Idempotency-Key runs on after its caller has gone; 0 cancels it at "
        "once." },
    { "max_tokens", &GenerationSettings::maxTokens, 1, 1000000, "Largest `max_tokens` that a request may ask for." },
    { "max_held", &GenerationSettings::maxGenerations, 1, 10000000,
        "Generations held at one time, running or kept; further ones are refused with 503." },
    { "retry_after_ms", &GenerationSettings::retryAfter, 1, longestTime,
        "When a refused caller is told to come back." },
};

inline const std::vector<SettingField<RecoverySettings>> recoveryFields {
    { "max_attempts", &RecoverySettings::maxAttempts, 1, 1000, "Attempts that one generation may take." },
    { "endpoint_wait_ms", &RecoverySettings::endpointWait, 0, longestTime,
        "How long a generation waits while no endpoint can take it, before it is given up." },
    { "endpoint_retry_interval_ms", &RecoverySettings::endpointRetryInterval, 1, longestTime,
        "Pause between two looks for an endpoint." },
};

inline const std::vector<SettingField<SilenceSettings>> silenceFields {
    { "detector", &SilenceSettings::detector, 0, 0,
        "How silence is judged: fixed, quantile, maximum or phi-accrual (docs/DETECTORS.md)." },
    { "floor_ms", &SilenceSettings::floor, 1, longestTime,
        "An endpoint is never suspected for a shorter silence of all its streams." },
    { "ceiling_ms", &SilenceSettings::ceiling, 1, longestTime,
        "An endpoint is always suspected for a longer silence of all its streams." },
    { "lone_stream_ms", &SilenceSettings::loneStream, 1, longestTime,
        "Silence of one stream while others on the endpoint go on." },
    { "prefill_ms", &SilenceSettings::prefill, 1, longestTime,
        "Silence of an endpoint while a stream waits for its first token." },
    { "first_token_ms", &SilenceSettings::firstToken, 1, longestTime,
        "Time for a first token on an endpoint that is alive." },
};

inline const std::vector<SettingField<EjectionSettings>> ejectionFields {
    { "initial_ms", &EjectionSettings::initial, 1, longestTime,
        "How long an endpoint gets no new work after a failure; doubles with each further one." },
    { "longest_ms", &EjectionSettings::longest, 1, longestTime, "Longest such time." },
};

inline const std::vector<SettingField<PlatformSettings>> platformFields {
    { "address", &PlatformSettings::address, 0, 0, "IP number of the platform's list of VMs; empty for none." },
    { "port", &PlatformSettings::port, 0, highestPort, "Port of the platform's list of VMs." },
    { "poll_interval_ms", &PlatformSettings::pollInterval, 10, longestTime, "Pause between two readings of the list." },
    { "timeout_ms", &PlatformSettings::timeout, 10, longestTime, "Time for one reading." },
};

inline const std::vector<SettingField<ClusterSettings>> clusterFields {
    { "name", &ClusterSettings::name, 0, 0, "Name of the cluster; VMs of another one are refused." },
    { "secret", &ClusterSettings::secret, 0, 0,
        "Shared by all VMs of the cluster; others are refused. It is sent as it is." },
    { "address", &ClusterSettings::address, 0, 0, "IP number on which this VM takes its peers' connections." },
    { "port", &ClusterSettings::port, 0, highestPort, "Port for them; 0 takes any free one." },
    { "heartbeat_ms", &ClusterSettings::heartbeatInterval, 1, longestTime, "Pause between two heartbeats to a peer." },
    { "silence_ms", &ClusterSettings::silenceTimeout, 1, longestTime,
        "A peer that has sent nothing for this long counts as lost." },
    { "reconnect_ms", &ClusterSettings::reconnectInterval, 1, longestTime,
        "Pause before a lost peer is dialled again." },
};

inline const std::vector<SettingField<JournalSettings>> journalFields {
    { "flush_ms", &JournalSettings::flushInterval, 0, longestTime,
        "How long changes are gathered before a batch goes to a peer." },
    { "go_on_unprotected", &JournalSettings::continuesWithoutPeers, 0, 0,
        "Whether repeatable generations go on while no peer can be reached; else they are refused." },
    { "keep_stream_ms", &JournalSettings::detachedRunTime, 0, longestTime,
        "How long an engine runs a keyed generation on after this VM is lost, for a peer to attach to." },
};

inline const std::vector<SettingField<PeerSettings>> peerFields {
    { "name", &PeerSettings::name, 0, 0, "Name of another VM of the cluster.", true },
    { "zone", &PeerSettings::zone, 0, 0, "Its availability zone.", true },
    { "address", &PeerSettings::address, 0, 0, "IP number on which it takes peers' connections.", true },
    { "port", &PeerSettings::port, 1, highestPort, "Port for them.", true },
};

inline const std::vector<SettingField<EndpointSettings>> endpointFields {
    { "name", &EndpointSettings::name, 0, 0, "Name of the endpoint, unique in the file.", true },
    { "zone", &EndpointSettings::zone, 0, 0, "Availability zone of the endpoint.", true },
    { "address", &EndpointSettings::address, 0, 0, "IP number of the endpoint.", true },
    { "port", &EndpointSettings::port, 1, highestPort, "Port of the endpoint.", true },
    { "models", &EndpointSettings::models, 0, 0, "Models that the endpoint serves; leave out for a plain service." },
};

inline const std::vector<SettingField<ServiceSettings>> serviceFields {
    { "name", &ServiceSettings::name, 0, 0, "Name of the service, unique in the file.", true },
    { "path", &ServiceSettings::path, 0, 0, "Requests to this path, and to paths beneath it, go to the service.",
        true },
    { "endpoints", &ServiceSettings::endpoints, 0, 0, "Names of the endpoints that run the service.", true },
    { "deadline_ms", &ServiceSettings::deadline, 1, longestTime, "Time for a whole call, all tries included." },
    { "max_attempts", &ServiceSettings::maxAttempts, 1, 100, "Tries that one call may take." },
    { "repeatable", &ServiceSettings::repeatable, 0, 0,
        "Whether a call may be repeated when the caller does not say so with `Lupinknot-Repeatable`." },
};

} // namespace lupinknot::internal
