// A point in the history of an outside store that may come back from an older copy of itself.
//
// Each return begins a new era, in which the store gives out again versions that it had given before. So a version
// orders two states of a row only within one era; positions compare by the era first.
//
//     const HistoryPosition before { 1, 530 };
//     const HistoryPosition after { 2, 480 };        // Later, although its version is smaller.
#pragma once

#include <compare>
#include <cstdint>

namespace lupinknot::internal {

struct HistoryPosition {
    std::uint64_t era { 0 };
    std::uint64_t version { 0 };

    friend auto operator<=>(const HistoryPosition&, const HistoryPosition&) = default;
};

} // namespace lupinknot::internal
