// A number from 0 to 1 that follows from a name: VMs that must round, spread or order without asking each other use it.
#pragma once

#include <string_view>
#include <xxhash.h>

namespace lupinknot::internal {

// Less than 1, the same in every process.
inline double fractionOfName(std::string_view name)
{
    // One more than the greatest hash.
    constexpr double hashRange = 4294967296.0;
    return static_cast<double>(XXH32(name.data(), name.size(), 0)) / hashRange;
}

} // namespace lupinknot::internal
