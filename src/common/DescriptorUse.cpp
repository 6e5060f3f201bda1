#include "common/DescriptorUse.h"

#include <algorithm>
#include <filesystem>
#include <limits>
#include <sys/resource.h>
#include <system_error>

namespace lupinknot::internal {

std::size_t descriptorLimit()
{
    // Descriptors are ints.
    constexpr rlim_t most = std::numeric_limits<int>::max();
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return static_cast<std::size_t>(most);
    return static_cast<std::size_t>(std::min(limit.rlim_cur, most));
}

std::size_t countOpenDescriptors()
{
    std::error_code error;
    std::filesystem::directory_iterator entries("/proc/self/fd", error);
    if (error)
        return error == std::errc::too_many_files_open ? descriptorLimit() : 0;
    std::size_t count = 0;
    for (const std::filesystem::directory_iterator end; !error && entries != end; entries.increment(error))
        ++count;
    // Reading the folder takes a descriptor itself.
    return count > 0 ? count - 1 : 0;
}

} // namespace lupinknot::internal
