// The gaps between the events of one run, from which the pace of its engine is read.
//
//     gaps.add(1, now);                            // One event has arrived.
//     if (const auto interval = gaps.shortestTenth()) ...
//
// The shortest tenth of the gaps shows how fast the engine is when it does nothing else: prefills of other prompts, and
// an engine that is slow for some hundred milliseconds, lengthen the other gaps. Used on the relay's thread only.
#pragma once

#include "lupinknot/Clock.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace lupinknot::internal {

class EventGaps {
public:
    // Records that so many events arrived together. They count as evenly spaced since the events before them, because
    // the network or a busy VM may have joined them.
    void add(std::size_t events, Milliseconds now);
    // True once there are enough events for the shortest tenth.
    bool hasEnough() const { return m_events >= minEvents; }
    // Milliseconds between two events below which a tenth of the gaps lie; nothing with too few events.
    std::optional<double> shortestTenth() const;

    // An engine that is 2.5 times slower for half a second makes 7 events in that time at the usual 28 ms, which is
    // less than nine tenths of these.
    static constexpr std::size_t minEvents = 20;
    // Gaps kept; later ones overwrite the first ones.
    static constexpr std::size_t maxGaps = 256;

private:
    std::vector<float> m_gaps;
    std::size_t m_events { 0 };
    std::size_t m_next { 0 };
    std::optional<Milliseconds> m_lastAt;
};

} // namespace lupinknot::internal
