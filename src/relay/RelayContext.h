// State and collaborators shared by all requests of the relay. Lives for the process; used on the relay's thread only.
#pragma once

#include "admission/AnswerMemory.h"
#include "admission/FirstAttemptEstimate.h"
#include "admission/OrganisationShares.h"
#include "admission/WaitingRequestLimit.h"
#include "health/StallDetector.h"
#include "lupinknot/Clock.h"
#include "placement/EnginePaces.h"
#include "relay/OpenCalls.h"
#include "relay/RetryBudget.h"
#include "relay/ServicePace.h"
#include "rollout/Rollouts.h"
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
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
class RetryLoanSource;
class RunLocations;
class UsageRecorder;
class ZoneExchange;
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
    // Source of permits for rate-limited endpoints.
    PermitSource* permits;
    // The newest configuration; null until one is known.
    std::shared_ptr<const RelayConfiguration> configuration;
    std::unordered_map<std::string, RetryBudget> retryBudgets;
    std::unordered_map<std::string, ServicePace> paces;
    // Null when VMs do not exchange the locations of their runs.
    RunLocations* runLocations { nullptr };
    bool isStopping { false };
    // Orders to shift a service's traffic to another version.
    Rollouts rollouts {};
    // Requests that wait for the configuration, for endpoints or for capacity.
    WaitingRequestLimit waitingRequestLimit {};
    // By route name. A route that is removed from the configuration keeps its entry.
    std::unordered_map<std::string, FirstAttemptEstimate> firstAttempts {};
    // The work of organisations.
    OrganisationShares shares {};
    // The answers that endpoints are sending.
    std::shared_ptr<AnswerMemory> answerMemory { std::make_shared<AnswerMemory>(defaultAnswerMemory) };
    // Null when VMs do not exchange messages through collectors.
    ZoneExchange* zoneExchange { nullptr };
    // Null when usage is not reported.
    UsageRecorder* usage { nullptr };
    // Null when VMs do not lend retries to each other.
    RetryLoanSource* retryLoans { nullptr };
    // Paces of single engines, relative to their service.
    EnginePaces enginePaces {};
    // When this VM's event loop last stood still; silence of others counts only from then on.
    StallDetector stalls {};
    // When the process ends, once a stop has been requested.
    std::optional<Milliseconds> endsAt {};
    std::shared_ptr<OpenCalls> openCalls { std::make_shared<OpenCalls>() };

    Milliseconds now() const { return clock.now(); }
    bool has(Policy) const;
    // True if a request that usually takes this long may be passed on at the given time (admission/StopWindow).
    bool mayPassOn(Milliseconds usualTime, Milliseconds at) const;
    // True if the endpoints of the service are engines.
    bool hasEngines(const std::string& service) const;
    // Records that an endpoint has started a request of the organisation.
    void noteStarted(const std::string& organisation, Milliseconds startedAt) const;
    ServicePace& pace(const std::string& service) { return paces[service]; }
    RetryBudget& retryBudget(const std::string& service)
    {
        return retryBudgets.try_emplace(service, settings).first->second;
    }
};

} // namespace lupinknot::internal
