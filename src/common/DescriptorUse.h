// The file descriptors of this process.
#pragma once

#include <cstddef>

namespace lupinknot::internal {

// The limit in force (RLIMIT_NOFILE). It can be changed from outside while the process runs.
std::size_t descriptorLimit();
// Number of open descriptors. Takes time in proportion to it.
std::size_t countOpenDescriptors();

} // namespace lupinknot::internal
