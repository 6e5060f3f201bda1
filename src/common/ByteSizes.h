// Units of size, in bytes.
#pragma once

#include <cstddef>

namespace lupinknot::internal {

inline constexpr std::size_t kibibyte = 1024;
inline constexpr std::size_t mebibyte = 1024 * kibibyte;

} // namespace lupinknot::internal
