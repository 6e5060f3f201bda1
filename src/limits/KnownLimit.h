// What this VM believes of the requests a second that one endpoint takes from all VMs together.
//
// An endpoint in need names its limit in its answers and names it no more once the need is over, so the newest answer
// holds. Answers overtake each other: one that names no limit ends it only if its request was sent after the limit was
// last heard of.
//
//     switch (limit.noteAnswer(perSecond, sentAt, now)) ...
//     if (limit.perSecond()) ...
//
// A plain value without input or output; it belongs to one start of an endpoint. Not thread-safe.
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
    Confirmed, // The same limit is heard again after a while in which nobody was known to have heard it.
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
    // A limit that was not heard for so long may have changed.
    static constexpr Milliseconds believedFor { 1000 };

    bool isBelieved(Milliseconds now) const { return now - m_heardAt < believedFor; }
    // Nothing when the endpoint takes what it gets.
    const std::optional<double>& perSecond() const { return m_perSecond; }
    // When this was last said; 0 when nothing ever was.
    Milliseconds heardAt() const { return m_heardAt; }
    // Takes over what an answer says that came now to a request sent at the instant.
    LimitChange noteAnswer(std::optional<double> perSecond, Milliseconds sentAt, Milliseconds now);
    // Takes over what another VM heard at the instant, if it is newer.
    LimitChange notePeerReport(std::optional<double> perSecond, Milliseconds heardAt);

private:
    LimitChange set(std::optional<double> perSecond, Milliseconds heardAt);

    std::optional<double> m_perSecond;
    Milliseconds m_heardAt { 0 };
};

} // namespace lupinknot::internal
