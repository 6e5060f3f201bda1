// Decides, on a collector, whether the endpoints of a service in an availability zone have failed together.
//
// Load pattern: 86 to 99% of the engines of one zone fail at once, every 3 to 7 s, zone after zone. Each VM sees only
// one or two of the losses, within some hundred milliseconds, and several VMs see the same one. Meanwhile single
// engines fail at random times, engines restart one after the other, and engines are scaled in; none of these is a
// failure of the zone.
//
//     if (const auto failure = detector.noteFailure({ "chat", "a", "i-17" }, at, listed, now)) ...
//
// Silence is weaker evidence than a refused connection: all engines of a service may pause at once, and go on a second
// later. Endpoints that become silent in most zones at once are no failure of each zone, and a failure is retracted
// when half of the endpoints that were seen to fail have answered since.
//
//     detector.noteAlive(endpoint, at);
//     for (const auto& failure : detector.takeRetractions("chat", zones, now)) ...
//
// In a zone of very many endpoints only a sample of them counts, the same on all VMs, so that the number of reports
// does not grow with the number of endpoints.
//
// Without input or output; not thread-safe.
#pragma once

#include "health/FailureEvidence.h"
#include "health/RetractionReason.h"
#include "lupinknot/Clock.h"
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lupinknot::internal {

// A failure of one endpoint, as a VM saw it.
struct EndpointFailure {
    std::string service;
    std::string zone;
    std::string endpointId;
    FailureEvidence evidence { FailureEvidence::Failed };
};

struct ZoneFailure {
    std::string service;
    std::string zone;
    // When the first of the endpoints was seen to fail.
    Milliseconds firstFailureAt { 0 };
    Milliseconds declaredAt { 0 };
    // The endpoints that were seen to fail until then.
    std::size_t endpoints { 0 };
    // As many endpoints as make a failure of the zone show this evidence or stronger.
    FailureEvidence evidence { FailureEvidence::Failed };
};

// The strongest evidence that at least `count` of the failures show, or the weakest one if there are fewer.
FailureEvidence commonEvidence(std::vector<FailureEvidence>, std::size_t count);

// A failure that was declared and has turned out to be none.
struct RetractedFailure {
    ZoneFailure failure;
    RetractionReason reason;
};

class ZoneFailureDetector {
public:
    // Endpoints that fail within this time have failed together.
    static constexpr Milliseconds window { 400 };
    // A failure of the same zone is not declared again before this time.
    static constexpr Milliseconds minInterval { 1000 };
    // The least number of endpoints that fail together, and their least share of those that count.
    static constexpr std::size_t minEndpoints = 3;
    static constexpr double minShare = 0.15;
    // Silence is spread if the share of silent endpoints in other zones is more than this part of the share here, and
    // that in most zones.
    static constexpr double minSpread = 0.25;
    // How long failures are remembered, in which endpoints may answer again.
    static constexpr Milliseconds retention { 5000 };
    // The endpoints of a service in a zone that count, about.
    static constexpr std::size_t sampleSize = 128;

    // Whether the endpoint counts, where its service has `listed` endpoints in its zone.
    static bool isCounted(std::string_view endpointId, std::size_t listed);
    // The number of endpoints that have to fail together.
    static std::size_t threshold(std::size_t listed);

    // Records that an endpoint was seen to fail at an instant, which may be earlier than those recorded before. Returns
    // the failure of its zone if this endpoint completes it. The service has endpoints in so many zones.
    std::optional<ZoneFailure> noteFailure(
        const EndpointFailure&, Milliseconds at, std::size_t listed, Milliseconds now, std::size_t zones = 1);
    // Records that an endpoint has answered at an instant.
    void noteAlive(const EndpointFailure&, Milliseconds at);
    // The failures of the service's zones that this detector declared and that have turned out to be none since the
    // last call.
    std::vector<RetractedFailure> takeRetractions(const std::string& service, std::size_t zones, Milliseconds now);
    // Records that another VM has retracted the failure of the zone; it may be declared again at once.
    void noteRetracted(const std::string& service, const std::string& zone);
    // Records that a failure of the zone is known; it is not declared again for a while.
    void noteDeclared(const std::string& service, const std::string& zone, Milliseconds at);
    // True if the failure of the zone was declared so recently that further failures of its endpoints add nothing.
    bool isDeclared(const std::string& service, const std::string& zone, Milliseconds now) const;

private:
    struct Failure {
        Milliseconds at;
        FailureEvidence evidence;
        // It has answered since.
        bool isAlive { false };
    };
    struct Zone {
        // By endpoint id.
        std::map<std::string, Failure> failures;
        std::optional<Milliseconds> declaredAt;
        // The last failure that this detector declared, unless it was retracted.
        std::optional<ZoneFailure> declared;
        // The endpoints of the service in the zone that count.
        std::size_t counted { 0 };
    };
    using Key = std::pair<std::string, std::string>;

    // The failures within the window that contains the instant and the most failures.
    static std::vector<Failure> failuresAround(const Zone&, Milliseconds instant);
    // True if endpoints have become silent in most zones of the service at about that time.
    bool isSpread(const Key&, Milliseconds instant, std::size_t zones) const;
    // Why a failure of the zone at about that time is none; nothing if it is one.
    std::optional<RetractionReason> contradiction(
        const Key&, const Zone&, Milliseconds instant, FailureEvidence, std::size_t zones) const;
    // Forgets zones without recent failures if there is no room for another one. Returns whether there is room.
    bool makeRoom(const Key&, Milliseconds now);

    // By service and zone.
    std::map<Key, Zone> m_zones;
};

} // namespace lupinknot::internal
