// The loss of one endpoint that counts as evidence against a request. VMs exchange these records.
#pragma once

#include "lupinknot/Clock.h"
#include <cstdint>
#include <string>

namespace lupinknot::internal {

struct CrashRecord {
    // Identifies the request (digestOf).
    std::string digest;
    // The endpoint incarnation that was lost, and its address.
    std::string endpointId;
    std::string address;
    // Weight of the evidence (crashWeight).
    double weight { 0 };
    // How long the endpoint had worked on the request.
    Milliseconds workedFor { 0 };
    // True if the loss ended a trial: the request had been held before and was admitted again.
    bool endsTrial { false };
    // When the request was sent to the endpoint and when it was lost: wall-clock time of the VM that saw it, in
    // milliseconds.
    std::int64_t sentAt { 0 };
    std::int64_t lostAt { 0 };
    // The endpoint's availability zone; empty in records of an earlier release and of runs through another VM, which
    // ends connections to all zones when it fails.
    std::string zone {};
    // True if the endpoint became silent, which different VMs and calls notice at different times. False if its
    // connection broke.
    bool wasSilent { false };
};

} // namespace lupinknot::internal
