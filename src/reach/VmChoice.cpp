#include "reach/VmChoice.h"

#include <algorithm>

namespace lupinknot::internal {

VmChoice::VmChoice(std::string ownZone, std::uint64_t seed)
    : m_ownZone(std::move(ownZone))
    , m_random(seed)
{
}

void VmChoice::setVms(const std::vector<PeerVm>& vms)
{
    m_ownZoneVms.clear();
    m_otherVms.clear();
    for (const auto& vm : vms)
        (vm.availabilityZone == m_ownZone ? m_ownZoneVms : m_otherVms).push_back({ vm, vm.address.text() });
}

std::vector<VmChoice::Vm> VmChoice::helpers() const
{
    std::vector<Vm> found;
    found.reserve(m_helpers.size());
    for (const auto& [key, helper] : m_helpers)
        found.push_back({ helper.peer, key });
    return found;
}

std::optional<PeerVm> VmChoice::next(Search& search, Milliseconds now)
{
    if (search.tried.size() >= maxTries)
        return std::nullopt;
    std::erase_if(m_helpers, [now](const auto& entry) { return now - entry.second.helpedAt > helpfulFor; });
    std::erase_if(m_skippedUntil, [now](const auto& entry) { return now >= entry.second; });
    const auto known = helpers();
    const bool isExploring
        = known.size() < enoughHelpful && std::uniform_int_distribution<std::size_t>(0, known.size())(m_random) == 0;
    auto chosen = isExploring ? std::nullopt : pick(known, search, now);
    // Every second try goes to another zone.
    const bool isOwnZoneFirst = search.tried.size() % 2 == 0;
    if (!chosen)
        chosen = pick(isOwnZoneFirst ? m_ownZoneVms : m_otherVms, search, now);
    if (!chosen)
        chosen = pick(isOwnZoneFirst ? m_otherVms : m_ownZoneVms, search, now);
    if (chosen)
        search.tried.insert(chosen->address.text());
    return chosen;
}

std::optional<PeerVm> VmChoice::pick(const std::vector<Vm>& vms, const Search& search, Milliseconds now)
{
    if (vms.empty())
        return std::nullopt;
    const auto first = std::uniform_int_distribution<std::size_t>(0, vms.size() - 1)(m_random);
    for (std::size_t i = 0; i < vms.size(); ++i) {
        const auto& vm = vms[(first + i) % vms.size()];
        const auto skipped = m_skippedUntil.find(vm.key);
        if (!search.tried.count(vm.key) && (skipped == m_skippedUntil.end() || now >= skipped->second))
            return vm.peer;
    }
    return std::nullopt;
}

void VmChoice::noteResult(const PeerVm& vm, bool hasHelped, Milliseconds now)
{
    const auto key = vm.address.text();
    if (hasHelped) {
        m_helpers.insert_or_assign(key, Helper { vm, now });
        m_skippedUntil.erase(key);
        return;
    }
    m_helpers.erase(key);
    m_skippedUntil.insert_or_assign(key, now + skippedFor);
}

} // namespace lupinknot::internal
