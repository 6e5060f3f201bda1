// The rate limit of one endpoint incarnation as known to this VM: the requests a second that it accepts from all VMs
// together.
//
// An overloaded endpoint states its limit in its answers and stops doing so when the overload ends, so the newest
// answer holds. Answers may arrive out of order: an answer without a limit ends the limit only if its request was sent
// after the limit was last received.
//
//     switch (limit.noteAnswer(perSecond, sentAt, now)) ...
//     if (limit.perSecond()) ...
//
// A plain value without input or output; it belongs to one endpoint incarnation. Not thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <optional>

namespace lupinknot::internal {

enum class LimitChange {
    None,
    Named,
    Changed,
    Ended,
    Confirmed, // The same limit was stated again after a time in which no VM was known to have received it.
};

inline constexpr std::array<EnumName<LimitChange>, 5> limitChangeNames { {
    { LimitChange::None, "none" },
    { LimitChange::Named, "named" },
    { LimitChange::Changed, "changed" },
    { LimitChange::Ended, "ended" },
    { LimitChange::Confirmed, "confirmed" },
} };

class KnownLimit {
public:
    // A limit that no answer has stated for this long may have changed.
    static constexpr Milliseconds freshFor { 1000 };

    bool isFresh(Milliseconds now) const { return now - m_statedAt < freshFor; }
    // Empty if the endpoint states no limit.
    const std::optional<double>& perSecond() const { return m_perSecond; }
    // When an answer last stated the limit, or that there is none; 0 if never.
    Milliseconds statedAt() const { return m_statedAt; }
    // Records the limit in an answer that arrives now to a request sent at `sentAt`.
    LimitChange noteAnswer(std::optional<double> perSecond, Milliseconds sentAt, Milliseconds now);
    // Records a limit that another VM received at `statedAt`, unless a newer one is known.
    LimitChange notePeerReport(std::optional<double> perSecond, Milliseconds statedAt);

private:
    LimitChange set(std::optional<double> perSecond, Milliseconds statedAt);

    std::optional<double> m_perSecond;
    Milliseconds m_statedAt { 0 };
};

} // namespace lupinknot::internal
