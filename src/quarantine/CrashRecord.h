// One end of an endpoint that speaks against a request. VMs tell each other of them.
#pragma once

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
};

} // namespace lupinknot::internal
