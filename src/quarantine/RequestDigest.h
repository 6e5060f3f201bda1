// Names what a request asks for, so that it is recognised when its caller sends it again, at whichever VM.
//
// Two attempts of one caller differ in their request ids and perhaps in the key that they present; what engines work on
// is the same. The digest follows from the host, the method, the target and the body, and from the organisation, apart
// from the rest, so that no organisation can make a request that is taken for another one's.
#pragma once

#include <string>
#include <string_view>

namespace lupinknot::internal {

struct HttpRequest;

// Hexadecimal digits, the same in every process. The organisation is empty on public routes.
inline constexpr std::size_t digestLength = 48;
std::string digestOf(const HttpRequest&, std::string_view organisation);

} // namespace lupinknot::internal
