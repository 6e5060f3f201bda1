// Chooses the VM through which this VM connects to an endpoint while it is partitioned from the endpoints.
//
// Load pattern: one VM, most VMs, or all VMs of a zone are partitioned at the same time; of 2,000 VMs 400 may be. A VM
// that is partitioned too rejects the connection within milliseconds, one that is dead or cut off does not answer. All
// partitioned VMs choose at the same time, so that a fixed order would overload the first VM.
//
// VMs that have helped before are chosen at random, along with one that has not been tried, until there are enough of
// them; VMs that did not help are skipped for a while. Own-zone and other-zone VMs take turns, own zone first, because
// traffic between zones is expensive and a whole zone may be partitioned.
//
//     VmChoice::Search search;
//     while (const auto vm = choice.next(search, now)) ... choice.noteResult(*vm, hasHelped, now);
//
// Without input or output; not thread-safe.
#pragma once

#include "http/SocketAddress.h"
#include "lupinknot/Clock.h"
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lupinknot::internal {

// Another VM that may connect to endpoints for this one.
struct PeerVm {
    SocketAddress address;
    std::string availabilityZone;
};

class VmChoice {
public:
    // A VM that did not help is skipped for this long.
    static constexpr Milliseconds skippedFor { 1000 };
    // A VM counts as helpful for this long after it last helped.
    static constexpr Milliseconds helpfulFor { 10'000 };
    // With this many helpful VMs no further ones are tried.
    static constexpr std::size_t enoughHelpful = 4;
    // VMs that are tried for one connection.
    static constexpr std::size_t maxTries = 5;

    // The VMs that were tried for one connection, by address.
    struct Search {
        std::set<std::string> tried;
    };

    VmChoice(std::string ownZone, std::uint64_t seed);

    void setVms(const std::vector<PeerVm>&);
    // Empty when no VM is left to try.
    std::optional<PeerVm> next(Search&, Milliseconds now);
    void noteResult(const PeerVm&, bool hasHelped, Milliseconds now);

private:
    struct Vm {
        PeerVm peer;
        std::string key;
    };
    struct Helper {
        PeerVm peer;
        Milliseconds helpedAt;
    };

    std::optional<PeerVm> pick(const std::vector<Vm>&, const Search&, Milliseconds now);
    std::vector<Vm> helpers() const;

    const std::string m_ownZone;
    std::vector<Vm> m_ownZoneVms;
    std::vector<Vm> m_otherVms;
    // By address.
    std::map<std::string, Milliseconds> m_skippedUntil;
    std::map<std::string, Helper> m_helpers;
    std::mt19937_64 m_random;
};

} // namespace lupinknot::internal
