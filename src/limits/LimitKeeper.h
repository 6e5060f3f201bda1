// Gives out the permits for endpoints under a limit, for the VMs that ask this one.
//
// One VM counts for all, because shares that each VM keeps for itself waste what VMs without requests do not use, and
// are a burst when many VMs each have one request in hand: 300 VMs with a permit each are 300 requests at an endpoint
// that takes one a second. What it hears from those that ask orders itself by when it was heard (KnownLimit).
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
    // The first place of an endpoint is there after a share of the time between two: a VM that begins to count does not
    // know what was given out just before. VMs that count for themselves alone all begin at the same moment, when they
    // lose the one that counted, and each has a share of its own.
    explicit LimitKeeper(double firstPlaceAfter = 1)
        : m_firstPlaceAfter(firstPlaceAfter)
    {
    }

    // Share of a limit that is given out: the rest covers permits that are used a little late.
    static constexpr double primaryShare = 0.95;
    // The same where another VM may count for the same endpoint at the same time, because VMs know different lists of
    // VMs or some cannot reach it. Both shares together, and what each lets through at its start, stay below the one
    // and a half times that endpoints bear.
    static constexpr double substituteShare = 0.35;
    // No more requests than this wait for places of one endpoint, so that a limit that falls finds few permits out.
    static constexpr int mostWaiting = 2;

    PermitAnswer ask(const PermitRequest&, double share, Milliseconds now);
    void reportLimit(const std::string& endpoint, const LimitReport&, Milliseconds now);
    // What it has heard of the endpoint's limit.
    LimitReport report(const std::string& endpoint, Milliseconds now) const;
    // Endpoints that are counted for.
    std::size_t size() const { return m_counts.size(); }

private:
    struct Count {
        KnownLimit limit;
        PermitSchedule schedule;
        bool hasBegun { false };
        // When those that got no permit were told to ask again, oldest first.
        std::deque<Milliseconds> returns;
        Milliseconds usedAt { 0 };
    };

    Count& countOf(const std::string& endpoint, Milliseconds now);
    void forgetUnused(Milliseconds now);
    // When one that gets no permit should ask again; the next place is free after the time.
    static Milliseconds returnAfter(Count&, Milliseconds free, Milliseconds now);

    double m_firstPlaceAfter;
    // By start of an endpoint.
    std::map<std::string, Count> m_counts;
};

} // namespace lupinknot::internal
