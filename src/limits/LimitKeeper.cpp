#include "limits/LimitKeeper.h"

#include <algorithm>
#include <utility>

namespace lupinknot::internal {

namespace {

// An endpoint that nobody has asked for is forgotten after this time; VMs name its limit again when they ask.
constexpr Milliseconds forgottenAfter { 60'000 };
// VMs that got no permit ask again one after the other, this far apart: with 300 of them that is 25 questions a second.
constexpr Milliseconds closestReturns { 40 };
constexpr Milliseconds farthestReturns { 500 };
// No VM stays away for longer than this as long as few ask, so that it hears soon that the limit has ended.
constexpr Milliseconds longestReturn { 2000 };
// A limit that nobody has heard for a while may have fallen meanwhile: requests go one at a time until one has told, as
// VMs do that hear it again after a while (LimitChange::Confirmed).
constexpr double doubtfulRate = 4;
// Beyond this many, more than all VMs of a fleet, those that ask are told the time of the last one.
constexpr std::size_t mostReturns = 1000;

LimitReport newsOf(const KnownLimit& limit, Milliseconds now) { return { limit.perSecond(), now - limit.heardAt() }; }

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

void LimitKeeper::reportLimit(const std::string& endpoint, const LimitReport& report, Milliseconds now)
{
    countOf(endpoint, now).limit.notePeerReport(report.perSecond, now - report.age);
}

LimitReport LimitKeeper::report(const std::string& endpoint, Milliseconds now) const
{
    const auto known = m_counts.find(endpoint);
    return known == m_counts.end() ? LimitReport { std::nullopt, now } : newsOf(known->second.limit, now);
}

PermitAnswer LimitKeeper::ask(const PermitRequest& request, double share, Milliseconds now)
{
    auto& count = countOf(request.endpoint, now);
    count.limit.notePeerReport(request.report.perSecond, now - request.report.age);
    const auto perSecond = count.limit.perSecond();
    if (!perSecond)
        return { true, Milliseconds { 0 }, newsOf(count.limit, now) };
    auto& schedule = count.schedule;
    const auto rate = std::max(*perSecond, PermitSchedule::slowestRate) * share;
    schedule.setRate(count.limit.isBelieved(now) ? rate : std::min(rate, doubtfulRate), now);
    if (!std::exchange(count.hasBegun, true))
        schedule.delay(m_firstPlaceAfter);
    const auto wait = schedule.waitFor(now);
    if (wait > std::min(request.permitTimeout, mostWaiting * schedule.interval()))
        return { false, returnAfter(count, std::max(wait, Milliseconds { 1 }), now), newsOf(count.limit, now) };
    schedule.take(now);
    return { true, wait, newsOf(count.limit, now) };
}

// Those that got no permit come back spread, in the order in which they asked, the first when a place is free.
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
