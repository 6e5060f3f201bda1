// Where a request with a key is to be served, and the decision by the record that this VM holds of it.
#pragma once

#include "lupinknot/ReplicaRecord.h"
#include "peer/PeerHandler.h"
#include <optional>

namespace lupinknot::internal {

struct KeyPlacement {
    enum class Kind {
        Here, // This VM is responsible, or holds the generation.
        Forward, // Another VM is.
        TakeOver, // The VM that ran the generation is lost, and its record is here.
        Refuse, // The VM that ran it is lost, but it may still be running, and the request must not be repeated.
    };
    Kind kind { Kind::Here };
    PeerIdentity target;
    std::optional<ReplicaRecord> record;
};

// The runner is the VM that the record names, as it can be reached now; nothing when it cannot.
KeyPlacement placeByRecord(ReplicaRecord, const std::optional<PeerIdentity>& runner);

} // namespace lupinknot::internal
