// A point in the history of an outside store that may come back from an older copy of itself.
//
// Each return begins a new era, in which the store gives out again versions that it had given before. So a version
// orders two states of a row only within one era; positions compare by the era first.
//
//     const HistoryPosition before { 1, 530 };
//     const HistoryPosition after { 2, 480 };        // Later, although its version is smaller.
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
