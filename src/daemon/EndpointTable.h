// The endpoints that this VM routes requests to, and the choice among them.
#pragma once

#include "daemon/EndpointState.h"
#include <map>

namespace lupinknot::internal {

// The request that needs an endpoint.
struct RouteQuery {
    // The request and its attempt, for the log.
    std::string subject;
    std::vector<std::string> avoid;
};

struct EndpointListingEntry {
    std::string name;
    EndpointListing listing;
};

// Thread-safe: the set of endpoints never changes after construction, and each endpoint synchronises its own state.
class EndpointTable {
public:
    EndpointTable(const DaemonSettings&, const Clock&);

    bool knowsModel(const std::string& model) const { return m_byModel.count(model); }
    // Both choose the eligible endpoint with the fewest requests in flight, from this VM's availability zone if it has
    // one there. An endpoint to avoid is chosen only when there is no other. When no endpoint is eligible, an ejected
    // endpoint that is not to be avoided gets a probe. Both return nothing when that is impossible too. The caller must
    // call workStarted() on the endpoint.
    std::shared_ptr<EndpointState> chooseForModel(const std::string& model, const RouteQuery&) const;
    std::shared_ptr<EndpointState> chooseAmong(const std::vector<std::string>& names, const RouteQuery&) const;

    std::shared_ptr<EndpointState> find(const std::string& name) const;
    const std::vector<std::shared_ptr<EndpointState>>& endpoints() const { return m_endpoints; }
    bool isEligible(const EndpointState& endpoint) const { return endpoint.isEligible(m_clock.now()); }
    // Applies the platform's list. Endpoints that it does not name keep their state.
    void applyListing(const std::vector<EndpointListingEntry>&);

private:
    using Endpoints = std::vector<std::shared_ptr<EndpointState>>;

    std::shared_ptr<EndpointState> choose(const Endpoints&, const RouteQuery&) const;
    std::shared_ptr<EndpointState> probe(const Endpoints&, const RouteQuery&) const;
    bool isBetter(const EndpointState&, const EndpointState&, const RouteQuery&) const;

    const Clock& m_clock;
    const std::string m_zone;
    Endpoints m_endpoints;
    std::map<std::string, std::shared_ptr<EndpointState>> m_byName;
    std::map<std::string, Endpoints> m_byModel;
};

} // namespace lupinknot::internal
