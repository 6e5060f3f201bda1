#include "relay/LiveEngineSearch.h"

#include "http/HttpRoundTrip.h"
#include "relay/CallProtocol.h"
#include "relay/RelayContext.h"
#include "relay/RelayEndpoint.h"
#include "relay/RelayMetrics.h"
#include "relay/RelaySettings.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace lupinknot::internal {

std::optional<std::size_t> firstAlive(const std::vector<Liveness>& states)
{
    const auto first
        = std::find_if(states.begin(), states.end(), [](Liveness state) { return state != Liveness::Silent; });
    if (first == states.end() || *first == Liveness::Unknown)
        return std::nullopt;
    return static_cast<std::size_t>(first - states.begin());
}

std::shared_ptr<LiveEngineSearch> LiveEngineSearch::start(RelayContext& context, Engines candidates, Callback callback)
{
    std::shared_ptr<LiveEngineSearch> search(new LiveEngineSearch(context, std::move(candidates), std::move(callback)));
    const auto now = context.now();
    for (std::size_t i = 0; i < search->m_candidates.size(); ++i) {
        if (now - search->m_candidates[i]->lastAliveAt() <= context.settings.probeTimeout)
            search->m_states[i] = Liveness::Alive;
    }
    // Candidates after the first one that is alive cannot be chosen.
    for (std::size_t i = 0; i < search->m_candidates.size() && search->m_states[i] != Liveness::Alive; ++i)
        search->probe(i);
    boost::asio::post(context.ioContext, [weak = search->weak_from_this()] {
        if (const auto self = weak.lock())
            self->reportIfDecided();
    });
    return search;
}

LiveEngineSearch::LiveEngineSearch(RelayContext& context, Engines candidates, Callback callback)
    : m_context(context)
    , m_candidates(std::move(candidates))
    , m_callback(std::move(callback))
    , m_states(m_candidates.size(), Liveness::Unknown)
{
}

void LiveEngineSearch::probe(std::size_t index)
{
    m_context.metrics.engineProbes.Increment();
    m_probes.push_back(HttpRoundTrip::ask(m_context.ioContext, m_candidates[index]->openConnection(),
        m_context.protocol.encodeStateQuery(), m_context.settings.probeTimeout,
        [weak = weak_from_this(), index](const HttpRoundTripResult& outcome) {
            if (const auto self = weak.lock())
                self->answered(index, outcome);
        }));
}

void LiveEngineSearch::answered(std::size_t index, const HttpRoundTripResult& outcome)
{
    m_states[index] = outcome.answer ? Liveness::Alive : Liveness::Silent;
    const auto now = m_context.now();
    const auto& settings = m_context.settings;
    if (outcome.answer) {
        m_candidates[index]->noteAlive(now);
        m_candidates[index]->noteSignals(m_context.protocol.decodeAnswer(*outcome.answer), now);
    } else if (m_context.stalls.lastStallEnd(now) <= now - settings.probeTimeout) {
        // The next search asks others. An answer may have been late because this VM stood still.
        m_candidates[index]->avoidUntil(now + settings.avoidAfterSilence);
    }
    reportIfDecided();
}

void LiveEngineSearch::reportIfDecided()
{
    const auto found = firstAlive(m_states);
    const bool isPending = std::find(m_states.begin(), m_states.end(), Liveness::Unknown) != m_states.end();
    if ((!found && isPending) || !m_callback)
        return;
    const auto self = shared_from_this();
    m_probes.clear();
    std::exchange(m_callback, nullptr)(found);
}

} // namespace lupinknot::internal
