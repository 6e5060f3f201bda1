// Finds out whether other endpoints than a silent one have been alive since its loss.
//
// Load pattern: all engines, or those of a zone, pause together for seconds while most of them run the same request.
// Their silence looks like that of engines which the request crashes one after the other. It differs in that the
// engines which have not lost the request are silent as well. These witnesses are the other endpoints of the zone, or
// of the service where the zone has none.
//
// Used on the relay's thread only. Lives for the process.
#pragma once

#include "quarantine/EndpointLosses.h"
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace lupinknot {
class Clock;
}

namespace lupinknot::internal {

class EndpointDirectory;
class EndpointProbe;
class RelayEndpoint;

class SilenceWitnesses {
public:
    SilenceWitnesses(const Clock&, const EndpointDirectory&);

    // Probes witnesses. Must outlive this object's use; null: only what other requests show is known.
    void setProbe(EndpointProbe* probe) { m_probe = probe; }
    // The last sign of life of any witness; empty if there is no witness. Probes some witnesses unless one has just
    // shown a sign of life. `silent` has the incarnations that are silent under the same request.
    std::optional<Milliseconds> lastAliveAt(const EndpointLoss&, const std::set<std::string>& silent);
    // Drops what is known about probes; no loss is undecided.
    void forget() { m_asked.clear(); }

private:
    using Endpoints = std::vector<std::shared_ptr<RelayEndpoint>>;

    struct Asked {
        bool isAsked { false };
        Milliseconds nextProbeAt { 0 };
    };

    // At most maxWitnesses of these endpoints.
    static Endpoints witnessesAmong(const Endpoints&, const EndpointLoss&, const std::set<std::string>& silent);
    void probe(const std::shared_ptr<RelayEndpoint>&, Milliseconds now);

    const Clock& m_clock;
    const EndpointDirectory& m_directory;
    EndpointProbe* m_probe { nullptr };
    // By incarnation.
    std::map<std::string, Asked> m_asked;
};

} // namespace lupinknot::internal
