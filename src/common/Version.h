// The release number of all programs and of the library.
#pragma once

#include <string_view>

namespace lupinknot::internal {

inline constexpr std::string_view version = "0.1.0";

} // namespace lupinknot::internal
