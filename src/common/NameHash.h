// Maps a name to a fixed fraction, so that VMs make the same rounding, distribution or ordering decisions without
// communicating.
#pragma once

#include <string_view>
#include <xxhash.h>

namespace lupinknot::internal {

// At least 0 and less than 1; the same in every process.
inline double fractionOfName(std::string_view name)
{
    // One more than the largest hash value.
    constexpr double hashRange = 4294967296.0;
    return static_cast<double>(XXH32(name.data(), name.size(), 0)) / hashRange;
}

} // namespace lupinknot::internal
