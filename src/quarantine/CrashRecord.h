// One end of an endpoint that speaks against a request. VMs tell each other of them.
#pragma once

#include "lupinknot/Clock.h"
#include <cstdint>
#include <string>

namespace lupinknot::internal {

struct CrashRecord {
    // Of the request (digestOf).
    std::string digest;
    // The start of the endpoint that ended, and where it was.
    std::string endpointId;
    std::string address;
    // How far it speaks against the request (crashWeight).
    double weight { 0 };
    // How long the endpoint had worked on it.
    Milliseconds workedFor { 0 };
    // The request had been held before and was let in again: this is the trial's end.
    bool endsTrial { false };
    // When the run was sent and lost, by the time of day of the VM that saw it, in milliseconds.
    std::int64_t sentAt { 0 };
    std::int64_t lostAt { 0 };
};

} // namespace lupinknot::internal
