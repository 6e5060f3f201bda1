// The VM that serves a request with a key, and the decision from the record that this VM holds for the key.
#pragma once

#include "lupinknot/ReplicaRecord.h"
#include "peer/PeerHandler.h"
#include <optional>

namespace lupinknot::internal {

struct KeyPlacement {
    enum class Kind {
        Here, // This VM is responsible, or holds the generation.
        Forward, // Another VM is responsible or holds it.
        TakeOver, // The VM that ran the generation is lost; its record is here.
        Refuse, // The VM that ran it cannot be reached but may still run it, and the request must not be repeated.
    };
    Kind kind { Kind::Here };
    PeerIdentity target;
    std::optional<ReplicaRecord> record;
};

// The runner is the VM that the record names, if it can be reached now; otherwise nothing.
KeyPlacement placeByRecord(ReplicaRecord, const std::optional<PeerIdentity>& runner);

} // namespace lupinknot::internal
