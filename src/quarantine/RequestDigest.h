// Identifies the content of a request, so that it is recognised when its caller sends it again to any VM.
//
// Attempts of one caller may differ in request id and key, but the work for the engines is the same. The digest covers
// the host, method, target and body. The organisation is hashed separately, so that no organisation can create a
// request with the digest of another organisation's request.
#pragma once

#include <string>
#include <string_view>

namespace lupinknot::internal {

struct HttpRequest;

// Number of hexadecimal digits. The digest is the same in every process. The organisation is empty on public routes.
inline constexpr std::size_t digestLength = 48;
std::string digestOf(const HttpRequest&, std::string_view organisation);

} // namespace lupinknot::internal
