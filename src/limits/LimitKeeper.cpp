#include "limits/LimitKeeper.h"

#include <algorithm>
#include <utility>

namespace lupinknot::internal {

namespace {

// The state of an endpoint is dropped when no VM has requested a permit or reported the limit for this long; requests
// state the limit again.
constexpr Milliseconds unusedStateLifetime { 60'000 };
// Bounds of the spacing at which VMs without a permit should repeat their requests: with 300 VMs, 40 ms are 25 requests
// a second.
constexpr Milliseconds minReturnSpacing { 40 };
constexpr Milliseconds maxReturnSpacing { 500 };
// Maximum delay before a VM repeats its request while few are waiting, so that it soon learns that the limit has ended.
constexpr Milliseconds maxReturnDelay { 2000 };
// Requests a second while no answer has stated the limit for a while and it may have fallen: requests are sent one at a
// time until an answer confirms the limit. VMs report a confirmed limit (LimitChange::Confirmed).
constexpr double unconfirmedRate = 4;
// Maximum number of tracked times for repeated requests, more than all VMs of a fleet; VMs beyond it get the time of
// the last one.
constexpr std::size_t maxTrackedReturns = 1000;

LimitReport reportOf(const KnownLimit& limit, Milliseconds now)
{
    return { limit.perSecond(), now - limit.statedAt() };
}

} // namespace

LimitKeeper::EndpointState& LimitKeeper::stateOf(const std::string& endpoint, Milliseconds now)
{
    const auto known = m_states.find(endpoint);
    if (known == m_states.end())
        removeUnused(now);
    auto& state
        = m_states.try_emplace(endpoint, EndpointState { {}, PermitSchedule(now), false, {}, now }).first->second;
    state.usedAt = now;
    return state;
}

void LimitKeeper::removeUnused(Milliseconds now)
{
    std::erase_if(m_states, [now](const auto& entry) { return now - entry.second.usedAt > unusedStateLifetime; });
}

void LimitKeeper::reportLimit(const std::string& endpoint, const LimitReport& report, Milliseconds now)
{
    stateOf(endpoint, now).limit.notePeerReport(report.perSecond, now - report.age);
}

LimitReport LimitKeeper::report(const std::string& endpoint, Milliseconds now) const
{
    const auto known = m_states.find(endpoint);
    return known == m_states.end() ? LimitReport { std::nullopt, now } : reportOf(known->second.limit, now);
}

PermitAnswer LimitKeeper::ask(const PermitRequest& request, double share, Milliseconds now)
{
    auto& state = stateOf(request.endpoint, now);
    state.limit.notePeerReport(request.report.perSecond, now - request.report.age);
    const auto perSecond = state.limit.perSecond();
    if (!perSecond)
        return { true, Milliseconds { 0 }, reportOf(state.limit, now) };
    auto& schedule = state.schedule;
    const auto rate = std::max(*perSecond, PermitSchedule::minRate) * share;
    schedule.setRate(state.limit.isFresh(now) ? rate : std::min(rate, unconfirmedRate), now);
    if (!std::exchange(state.hasStarted, true))
        schedule.delay(m_firstSlotDelayShare);
    const auto wait = schedule.waitFor(now);
    if (wait > std::min(request.permitTimeout, maxWaiting * schedule.interval()))
        return { false, nextReturnDelay(state, std::max(wait, Milliseconds { 1 }), now), reportOf(state.limit, now) };
    schedule.take(now);
    return { true, wait, reportOf(state.limit, now) };
}

// VMs that get no permit repeat their requests in the same order, the first one when the next slot is free.
Milliseconds LimitKeeper::nextReturnDelay(EndpointState& state, Milliseconds timeUntilFree, Milliseconds now)
{
    auto& returns = state.returns;
    while (!returns.empty() && returns.front() <= now)
        returns.pop_front();
    const auto waiting = static_cast<std::int64_t>(returns.size());
    const auto step = std::clamp(state.schedule.interval() / 2, minReturnSpacing, maxReturnSpacing);
    const auto after = timeUntilFree + std::min(waiting * step, std::max(maxReturnDelay, waiting * minReturnSpacing));
    if (returns.size() < maxTrackedReturns)
        returns.push_back(std::max(now + after, returns.empty() ? now : returns.back()));
    return after;
}

} // namespace lupinknot::internal
