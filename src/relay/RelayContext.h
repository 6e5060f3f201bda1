// What every request of the relay uses. Lives for the process; used on the relay's thread only.
#pragma once

#include "admission/WaitingRequestLimit.h"
#include "lupinknot/Clock.h"
#include "relay/RetryBudget.h"
#include "relay/ServicePace.h"
#include "rollout/Rollouts.h"
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <unordered_map>

namespace lupinknot::internal {

class CallProtocol;
class CrashGuard;
class EndpointDirectory;
class PermitSource;
class Placement;
class RelayConfiguration;
class RelayMetrics;
class RunLocations;
enum class Policy;
struct RelaySettings;

struct RelayContext {
    boost::asio::io_context& ioContext;
    const RelaySettings& settings;
    const Clock& clock;
    const CallProtocol& protocol;
    EndpointDirectory& directory;
    Placement& placement;
    RelayMetrics& metrics;
    CrashGuard& crashGuard;
    // Where permits for endpoints under a limit come from.
    PermitSource* permits;
    // The newest version; null until one is known.
    std::shared_ptr<const RelayConfiguration> configuration;
    std::unordered_map<std::string, RetryBudget> retryBudgets;
    std::unordered_map<std::string, ServicePace> paces;
    // Null where VMs tell each other nothing.
    RunLocations* runLocations { nullptr };
    bool isStopping { false };
    // Orders to move a service's traffic to another version.
    Rollouts rollouts {};
    // Requests that wait, for news or for a place.
    WaitingRequestLimit waitingRequestLimit {};

    Milliseconds now() const { return clock.now(); }
    bool has(Policy) const;
    ServicePace& pace(const std::string& service) { return paces[service]; }
    RetryBudget& retryBudget(const std::string& service)
    {
        return retryBudgets.try_emplace(service, settings).first->second;
    }
};

} // namespace lupinknot::internal
