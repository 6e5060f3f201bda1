// A position in the history of an external store that may be restored from an older copy.
//
// Each restore begins a new era, in which the store may assign versions that it had assigned before. Versions therefore
// order two states of a row only within one era, and positions are compared by era first.
//
//     const HistoryPosition before { 1, 530 };
//     const HistoryPosition after { 2, 480 };        // Later, although its version is lower.
#pragma once

#include <cstdint>
#include <tuple>

namespace lupinknot::internal {

struct HistoryPosition {
    std::uint64_t era { 0 };
    std::uint64_t version { 0 };

    friend bool operator==(const HistoryPosition&, const HistoryPosition&) = default;
    friend bool operator<(const HistoryPosition& left, const HistoryPosition& right)
    {
        return std::tie(left.era, left.version) < std::tie(right.era, right.version);
    }
    friend bool operator>(const HistoryPosition& left, const HistoryPosition& right) { return right < left; }
    friend bool operator<=(const HistoryPosition& left, const HistoryPosition& right) { return !(right < left); }
    friend bool operator>=(const HistoryPosition& left, const HistoryPosition& right) { return !(left < right); }
};

} // namespace lupinknot::internal
