// One end of an endpoint that speaks against a request. VMs tell each other of them.
#pragma once

#include "lupinknot/Clock.h"
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
};

} // namespace lupinknot::internal
