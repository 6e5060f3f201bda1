// Exchanges the work of organisations (admission/OrganisationShares) between the VMs of an availability zone.
//
// Each VM reports its own counts to the collectors of its zone, every second in a zone of up to twelve VMs: those that
// changed by more than a tenth, the largest changes first, as many as fit into a message. Collectors add up the VMs'
// counts and publish the sums in the same way. Every fifth message contains all counts, because messages may be lost
// and VMs start later. Without a ZoneExchange, or without news from it, a VM uses its own counts.
//
//     ShareExchange exchange(context, vmName, zone);
//     exchange.connect(zoneExchange);
//     exchange.tick(now);                                     // Often; sends once a second or less often.
//
// Used on the relay's thread only.
#pragma once

#include "admission/OrganisationShares.h"
#include <set>
#include <unordered_map>

namespace lupinknot::internal {

class ZoneExchange;

class ShareExchange {
public:
    ShareExchange(OrganisationShares&, const Clock&, std::string vmName, std::string zone);

    // Null disconnects; the exchange must outlive this object or be disconnected.
    void connect(ZoneExchange*);
    void tick(Milliseconds now);
    // Sets the number of VMs of this zone, this one included. Messages are further apart in a large zone.
    void setZoneVmCount(std::size_t);
    // The time between two messages of this VM, and the bytes of counts in one.
    Milliseconds messageInterval() const;
    std::size_t messageBytes() const;

    static constexpr Milliseconds interval { 1000 };
    // The limit of a message is 16 KB; the rest is left for its other fields.
    static constexpr std::size_t maxCountBytes = 15U << 10U;
    // What a collector receives from the VMs of its zone, and what it sends to them: half of what a VM may spend on
    // control messages.
    static constexpr std::size_t bytesPerSecond = 12U << 10U;
    // The least bytes of a message: some tens of counts.
    static constexpr std::size_t minCountBytes = 1024;
    // The counts that a collector keeps for other VMs; about 8 MB.
    static constexpr std::size_t maxCollected = 50000;

private:
    using Counts = std::map<ShareKey, DecayedCount>;

    // A message with the counts that changed since the last one; empty when there are none.
    std::string encodeChanges(std::vector<ShareCount>, Counts& sent, Milliseconds now) const;
    void applyReport(const std::string& body);
    void applyNews(const std::string& body);
    void publishSums(Milliseconds now);
    void logInvalid(const std::string& sender);

    OrganisationShares& m_shares;
    const Clock& m_clock;
    const std::string m_vmName;
    const std::string m_zone;
    ZoneExchange* m_exchange { nullptr };
    Counts m_reported;
    Counts m_published;
    // On a collector: the counts of the other VMs.
    std::unordered_map<std::string, Counts> m_collected;
    std::size_t m_collectedCount { 0 };
    std::optional<Milliseconds> m_lastReportAt;
    std::optional<Milliseconds> m_sentAt;
    unsigned m_rounds { 0 };
    std::size_t m_zoneVmCount { 1 };
    std::set<std::string> m_invalidSenders;
};

} // namespace lupinknot::internal
