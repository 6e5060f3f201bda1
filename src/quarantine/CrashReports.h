// Interface through which VMs report to each other which endpoints crashed under which requests.
//
// Records reach all VMs, including those that start later. Used on the relay's thread only.
#pragma once

#include "quarantine/CrashRecord.h"
#include <vector>

namespace lupinknot::internal {

class CrashReports {
public:
    virtual ~CrashReports() = default;
    virtual void publish(const CrashRecord&) = 0;
    // Withdraws records of a request that has been served.
    virtual void withdraw(const std::string& digest, const std::vector<std::string>& endpointIds) = 0;
    // Withdraws the record of an endpoint that has turned out to be alive. The request's other records still count.
    virtual void withdrawOne(const std::string& digest, const std::string& endpointId) = 0;
};

} // namespace lupinknot::internal
