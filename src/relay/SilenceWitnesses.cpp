#include "relay/SilenceWitnesses.h"

#include "lupinknot/Clock.h"
#include "relay/EndpointDirectory.h"
#include "relay/EndpointProbe.h"
#include "relay/RelayEndpoint.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

// A service may have thousands of endpoints, of which a few are sufficient.
constexpr std::size_t maxWitnesses = 32;
constexpr std::size_t maxProbed = 3;
constexpr Milliseconds probeInterval { 200 };

} // namespace

SilenceWitnesses::SilenceWitnesses(const Clock& clock, const EndpointDirectory& directory)
    : m_clock(clock)
    , m_directory(directory)
{
}

SilenceWitnesses::Endpoints SilenceWitnesses::witnessesAmong(
    const Endpoints& endpoints, const EndpointLoss& loss, const std::set<std::string>& silent)
{
    Endpoints witnesses;
    for (const auto& endpoint : endpoints) {
        const auto name = endpoint->entry().incarnationName();
        if (name == loss.endpointId || silent.contains(name) || endpoint->isShuttingDown() || endpoint->isReplaced())
            continue;
        witnesses.push_back(endpoint);
        if (witnesses.size() >= maxWitnesses)
            break;
    }
    return witnesses;
}

std::optional<Milliseconds> SilenceWitnesses::lastAliveAt(const EndpointLoss& loss, const std::set<std::string>& silent)
{
    auto witnesses = witnessesAmong(m_directory.endpointsOf(loss.service, loss.zone), loss, silent);
    if (witnesses.empty())
        witnesses = witnessesAmong(m_directory.endpointsOf(loss.service), loss, silent);
    if (witnesses.empty())
        return std::nullopt;
    const auto wasAliveLater = [](const auto& a, const auto& b) { return a->lastAliveAt() > b->lastAliveAt(); };
    const auto probed = std::min(maxProbed, witnesses.size());
    std::partial_sort(
        witnesses.begin(), witnesses.begin() + static_cast<std::ptrdiff_t>(probed), witnesses.end(), wasAliveLater);
    const auto now = m_clock.now();
    for (std::size_t i = 0; i < probed && now - witnesses.front()->lastAliveAt() >= probeInterval; ++i)
        probe(witnesses[i], now);
    return witnesses.front()->lastAliveAt();
}

void SilenceWitnesses::probe(const std::shared_ptr<RelayEndpoint>& endpoint, Milliseconds now)
{
    const auto name = endpoint->entry().incarnationName();
    auto& asked = m_asked[name];
    if (!m_probe || asked.isAsked || now < asked.nextProbeAt)
        return;
    asked = { true, now + probeInterval };
    // An answer has been noted as a sign of life.
    m_probe->probe(endpoint, [this, name](ProbeResult) {
        if (const auto known = m_asked.find(name); known != m_asked.end())
            known->second.isAsked = false;
    });
}

} // namespace lupinknot::internal
