#include "retries/LoanSearch.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

constexpr std::size_t vmsInRound = 2;
constexpr std::size_t maxRoundsInZone = 3;

} // namespace

LenderRounds chooseLenders(std::vector<std::size_t> ownZone, const std::vector<std::size_t>& otherZones,
    const std::function<bool(std::size_t)>& isSkipped, std::mt19937& random)
{
    // Draws VMs without replacement, and only as many as are needed: a zone may have hundreds.
    std::size_t drawn = 0;
    const auto draw = [&]() -> std::optional<std::size_t> {
        while (drawn < ownZone.size()) {
            const auto position = std::uniform_int_distribution<std::size_t>(drawn, ownZone.size() - 1)(random);
            std::swap(ownZone[drawn], ownZone[position]);
            const auto vm = ownZone[drawn++];
            if (!isSkipped(vm))
                return vm;
        }
        return std::nullopt;
    };
    LenderRounds rounds;
    while (rounds.size() < maxRoundsInZone) {
        std::vector<std::size_t> round;
        while (round.size() < vmsInRound) {
            const auto vm = draw();
            if (!vm)
                break;
            round.push_back(*vm);
        }
        if (round.empty())
            break;
        rounds.push_back(std::move(round));
    }
    // A VM of another zone that does not answer is not replaced by looking through all of them.
    constexpr int maxDraws = 4;
    for (int i = 0; i < maxDraws && !otherZones.empty(); ++i) {
        const auto vm = otherZones[std::uniform_int_distribution<std::size_t>(0, otherZones.size() - 1)(random)];
        if (isSkipped(vm))
            continue;
        rounds.push_back({ vm });
        break;
    }
    return rounds;
}

LoanSearch::LoanSearch(LenderRounds rounds, const LoanTimes& times, Milliseconds now)
    : m_rounds(std::move(rounds))
    , m_times(times)
    , m_askedAt(now)
    , m_roundStartedAt(now)
{
}

std::vector<std::size_t> LoanSearch::nextRound(Milliseconds now)
{
    const bool isRoundDone = m_nextRound == 0 || now >= m_roundStartedAt + m_times.round
        || std::none_of(m_rounds[m_nextRound - 1].begin(), m_rounds[m_nextRound - 1].end(),
            [this](std::size_t vm) { return std::find(m_pending.begin(), m_pending.end(), vm) != m_pending.end(); });
    if (isOver(now) || !isRoundDone || m_nextRound == m_rounds.size())
        return {};
    const auto& round = m_rounds[m_nextRound++];
    m_roundStartedAt = now;
    m_askedCount += round.size();
    m_pending.insert(m_pending.end(), round.begin(), round.end());
    return round;
}

Milliseconds LoanSearch::nextStepAt() const
{
    const auto end = m_askedAt + m_times.search;
    return m_nextRound < m_rounds.size() ? std::min(end, m_roundStartedAt + m_times.round) : end;
}

void LoanSearch::noteRefusal(std::size_t lender)
{
    m_pending.erase(std::remove(m_pending.begin(), m_pending.end(), lender), m_pending.end());
}

std::optional<RetryLoan> LoanSearch::grant(Milliseconds now) const
{
    const RetryLoan loan { m_askedAt + m_times.validity };
    return loan.isValid(now) ? std::optional(loan) : std::nullopt;
}

bool LoanSearch::isOver(Milliseconds now) const
{
    return now >= m_askedAt + m_times.search || (m_nextRound == m_rounds.size() && m_pending.empty());
}

} // namespace lupinknot::internal
