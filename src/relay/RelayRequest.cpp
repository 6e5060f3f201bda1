#include "relay/RelayRequest.h"

#include <cinttypes>
#include <cstdio>
#include <xxhash.h>

namespace lupinknot::internal {

std::string streamIdOf(const RelayRequest& request, const std::string& firstAttempt)
{
    const auto name = request.digest + firstAttempt;
    char digits[2 * sizeof(std::uint64_t) + 1];
    std::snprintf(
        digits, sizeof(digits), "%016" PRIx64, static_cast<std::uint64_t>(XXH3_64bits(name.data(), name.size())));
    return digits;
}

std::string streamIdOf(const RelayRequest& request)
{
    const auto& fields = request.fields;
    return streamIdOf(request, fields.resumedRequestId.empty() ? fields.requestId : fields.resumedRequestId);
}

std::string runKeyOf(const RelayRequest& request)
{
    return request.fields.promptId.empty() ? streamIdOf(request) : streamIdOf(request, request.fields.promptId);
}

} // namespace lupinknot::internal
