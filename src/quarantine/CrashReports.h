// Where VMs tell each other which endpoints have ended under which requests.
//
// What is told holds for all VMs, also for those that start later. Used on the relay's thread only.
#pragma once

#include "quarantine/CrashRecord.h"
#include <vector>

namespace lupinknot::internal {

class CrashReports {
public:
    virtual ~CrashReports() = default;
    virtual void publish(const CrashRecord&) = 0;
    // Takes records back: the request has been served.
    virtual void withdraw(const std::string& digest, const std::vector<std::string>& endpointIds) = 0;
};

} // namespace lupinknot::internal
