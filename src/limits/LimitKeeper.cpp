#include "limits/LimitKeeper.h"

#include <algorithm>
#include <utility>

namespace lupinknot::internal {

namespace {

// State of an endpoint that nobody has asked for is dropped after this time; VMs state its limit again when they ask.
constexpr Milliseconds forgottenAfter { 60'000 };
// Bounds of the spacing at which VMs without a permit are told to ask again: with 300 VMs, 40 ms are 25 questions a
// second.
constexpr Milliseconds closestReturns { 40 };
constexpr Milliseconds farthestReturns { 500 };
// Maximum delay before a VM asks again while few are waiting, so that it soon hears that the limit has ended.
constexpr Milliseconds longestReturn { 2000 };
// Requests a second while the limit has not been heard for a while and may have fallen: requests go one at a time until
// an answer confirms it, as VMs do when they hear it again (LimitChange::Confirmed).
constexpr double doubtfulRate = 4;
// Maximum number of tracked return times, more than all VMs of a fleet; VMs beyond it are given the time of the last
// one.
constexpr std::size_t mostReturns = 1000;

LimitNews newsOf(const HeardLimit& limit, Milliseconds now) { return { limit.perSecond(), now - limit.heardAt() }; }

} // namespace

LimitKeeper::Count& LimitKeeper::countOf(const std::string& endpoint, Milliseconds now)
{
    const auto known = m_counts.find(endpoint);
    if (known == m_counts.end())
        forgetUnused(now);
    auto& count = m_counts.try_emplace(endpoint, Count { {}, PermitSchedule(now), false, {}, now }).first->second;
    count.usedAt = now;
    return count;
}

void LimitKeeper::forgetUnused(Milliseconds now)
{
    std::erase_if(m_counts, [now](const auto& entry) { return now - entry.second.usedAt > forgottenAfter; });
}

void LimitKeeper::tell(const std::string& endpoint, const LimitNews& news, Milliseconds now)
{
    countOf(endpoint, now).limit.noteNews(news.perSecond, now - news.age);
}

LimitNews LimitKeeper::news(const std::string& endpoint, Milliseconds now) const
{
    const auto known = m_counts.find(endpoint);
    return known == m_counts.end() ? LimitNews { std::nullopt, now } : newsOf(known->second.limit, now);
}

PermitAnswer LimitKeeper::ask(const PermitRequest& request, double share, Milliseconds now)
{
    auto& count = countOf(request.endpoint, now);
    count.limit.noteNews(request.news.perSecond, now - request.news.age);
    const auto perSecond = count.limit.perSecond();
    if (!perSecond)
        return { true, Milliseconds { 0 }, newsOf(count.limit, now) };
    auto& schedule = count.schedule;
    const auto rate = std::max(*perSecond, PermitSchedule::slowestRate) * share;
    schedule.setRate(count.limit.isBelieved(now) ? rate : std::min(rate, doubtfulRate), now);
    if (!std::exchange(count.hasBegun, true))
        schedule.delay(m_firstPlaceAfter);
    const auto wait = schedule.waitFor(now);
    if (wait > std::min(request.patience, mostWaiting * schedule.interval()))
        return { false, returnAfter(count, std::max(wait, Milliseconds { 1 }), now), newsOf(count.limit, now) };
    schedule.take(now);
    return { true, wait, newsOf(count.limit, now) };
}

// VMs that get no permit ask again in the order in which they asked, the first one when the next slot is free.
Milliseconds LimitKeeper::returnAfter(Count& count, Milliseconds free, Milliseconds now)
{
    auto& returns = count.returns;
    while (!returns.empty() && returns.front() <= now)
        returns.pop_front();
    const auto waiting = static_cast<std::int64_t>(returns.size());
    const auto step = std::clamp(count.schedule.interval() / 2, closestReturns, farthestReturns);
    const auto after = free + std::min(waiting * step, std::max(longestReturn, waiting * closestReturns));
    if (returns.size() < mostReturns)
        returns.push_back(std::max(now + after, returns.empty() ? now : returns.back()));
    return after;
}

} // namespace lupinknot::internal
