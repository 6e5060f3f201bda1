#include "quarantine/RequestDigest.h"

#include "http/HttpRequest.h"

#include <cinttypes>
#include <cstdio>
#include <memory>
#include <xxhash.h>

namespace lupinknot::internal {

namespace {

// Each text is preceded by its length, so that moving the boundary between two texts changes the digest.
void add(XXH3_state_t& state, std::string_view text)
{
    const auto length = static_cast<std::uint64_t>(text.size());
    XXH3_128bits_update(&state, &length, sizeof(length));
    XXH3_128bits_update(&state, text.data(), text.size());
}

} // namespace

std::string digestOf(const HttpRequest& request, std::string_view organisation)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), XXH3_freeState);
    XXH3_128bits_reset(state.get());
    for (const auto text : { request.headers.find("Host").value_or(""), std::string_view(request.method),
             std::string_view(request.target), std::string_view(request.body) })
        add(*state, text);
    const auto content = XXH3_128bits_digest(state.get());
    const auto owner = XXH3_64bits(organisation.data(), organisation.size());
    char digits[digestLength + 1];
    std::snprintf(digits, sizeof(digits), "%016" PRIx64 "%016" PRIx64 "%016" PRIx64, static_cast<std::uint64_t>(owner),
        static_cast<std::uint64_t>(content.high64), static_cast<std::uint64_t>(content.low64));
    return { digits, digestLength };
}

} // namespace lupinknot::internal
