// Percent-encoding of text in request targets (RFC 3986).
#pragma once

#include <string>
#include <string_view>

namespace lupinknot::internal {

// Encodes all but the unreserved characters, for a segment of a path.
std::string encodePathSegment(std::string_view);

// Encodes all but the unreserved characters, '/' and ':', for the value of a query parameter.
std::string encodeQueryValue(std::string_view);

// Replaces each percent sign and its two hexadecimal digits by their byte; other percent signs stay.
std::string decodePercent(std::string_view);

} // namespace lupinknot::internal
