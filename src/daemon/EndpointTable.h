// The endpoints that this VM routes to, and the choice among them.
#pragma once

#include "daemon/EndpointState.h"
#include <map>

namespace lupinknot::internal {

// What an endpoint is wanted for.
struct RouteQuery {
    // For the log: which request, and which try.
    std::string subject;
    std::vector<std::string> avoid;
};

struct EndpointListingEntry {
    std::string name;
    EndpointListing listing;
};

// Thread-safe: the set of endpoints never changes after construction, and each endpoint guards its own state.
class EndpointTable {
public:
    EndpointTable(const DaemonSettings&, const Clock&);

    bool knowsModel(const std::string& model) const { return m_byModel.count(model); }
    // Both choose the eligible endpoint with the fewest requests in flight, in the own availability zone if there is
    // one; an endpoint to avoid is chosen only when there is no other. When none is eligible, an ejected one that is
    // not to be avoided is probed. Nothing when that is not possible either. The caller must start the work.
    std::shared_ptr<EndpointState> chooseForModel(const std::string& model, const RouteQuery&) const;
    std::shared_ptr<EndpointState> chooseAmong(const std::vector<std::string>& names, const RouteQuery&) const;

    std::shared_ptr<EndpointState> find(const std::string& name) const;
    const std::vector<std::shared_ptr<EndpointState>>& endpoints() const { return m_endpoints; }
    bool isEligible(const EndpointState& endpoint) const { return endpoint.isEligible(m_clock.now()); }
    // Takes over what the platform's list says. Endpoints that it does not name stay as they are.
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
