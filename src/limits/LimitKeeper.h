// Issues the permits for rate-limited endpoints to the VMs that request them from this VM.
//
// A single VM issues all permits of an endpoint, because a fixed share of the limit for each VM wastes the shares of
// VMs without requests and permits bursts when many VMs have one request each: 300 VMs with one permit each are 300
// requests at an endpoint that accepts one a second. Reports of the limit from these VMs are ordered by the time at
// which it was received (KnownLimit).
//
//     LimitKeeper keeper;
//     const auto answer = keeper.ask(request, LimitKeeper::primaryShare, now);
//
// Without input or output; not thread-safe.
#pragma once

#include "limits/KnownLimit.h"
#include "limits/PermitSchedule.h"
#include "limits/PermitSource.h"
#include <deque>
#include <map>
#include <string>

namespace lupinknot::internal {

class LimitKeeper {
public:
    // The first slot of an endpoint is delayed by this share of the interval between slots, because a new keeper does
    // not know which permits were issued just before. VMs that become their own keeper all start at the same instant,
    // when they lose the common one, so each is given a different share.
    explicit LimitKeeper(double firstSlotDelayShare = 1)
        : m_firstSlotDelayShare(firstSlotDelayShare)
    {
    }

    // The share of a limit that is issued; the rest allows for permits that are used a little late.
    static constexpr double primaryShare = 0.95;
    // The share issued when another VM may be issuing permits for the same endpoint, because VMs know different lists
    // of VMs or some cannot reach the keeper. Both shares together, plus the first permits of each, stay below 1.5
    // times the limit, which endpoints tolerate.
    static constexpr double substituteShare = 0.35;
    // Maximum number of requests waiting for slots of one endpoint, so that few permits are outstanding when a limit
    // falls.
    static constexpr int maxWaiting = 2;

    PermitAnswer ask(const PermitRequest&, double share, Milliseconds now);
    void reportLimit(const std::string& endpoint, const LimitReport&, Milliseconds now);
    // The limit of the endpoint as known to this keeper.
    LimitReport report(const std::string& endpoint, Milliseconds now) const;
    // Number of endpoints with state.
    std::size_t size() const { return m_states.size(); }

private:
    struct EndpointState {
        KnownLimit limit;
        PermitSchedule schedule;
        bool hasStarted { false };
        // Times at which VMs without a permit should repeat their requests, oldest first.
        std::deque<Milliseconds> returns;
        Milliseconds usedAt { 0 };
    };

    EndpointState& stateOf(const std::string& endpoint, Milliseconds now);
    void removeUnused(Milliseconds now);
    // Delay after which a VM without a permit should repeat its request; the next slot is free after `timeUntilFree`.
    static Milliseconds nextReturnDelay(EndpointState&, Milliseconds timeUntilFree, Milliseconds now);

    double m_firstSlotDelayShare;
    // By endpoint incarnation.
    std::map<std::string, EndpointState> m_states;
};

} // namespace lupinknot::internal
