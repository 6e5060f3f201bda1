#include "http/HttpHeaders.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace lupinknot::internal {

namespace {

constexpr std::array<std::string_view, 11> hopByHopNames { "connection", "keep-alive", "proxy-authenticate",
    "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length",
    "host" };

bool isSameName(std::string_view a, std::string_view b) { return boost::algorithm::iequals(a, b); }

// Names of the hop-by-hop fields listed in Connection fields.
std::vector<std::string> namesInConnectionFields(const HttpHeaders& headers)
{
    std::vector<std::string> names;
    for (const auto& field : headers.fields()) {
        if (!isSameName(field.name, "connection"))
            continue;
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            names.push_back(boost::algorithm::trim_copy(std::string(rest.substr(0, comma))));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return names;
}

} // namespace

std::optional<std::string_view> HttpHeaders::find(std::string_view name) const
{
    for (const auto& field : m_fields) {
        if (isSameName(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

HttpHeaders HttpHeaders::endToEnd() const
{
    const auto declared = namesInConnectionFields(*this);
    HttpHeaders kept;
    for (const auto& field : m_fields) {
        const auto isField = [&field](std::string_view name) { return isSameName(field.name, name); };
        if (std::any_of(hopByHopNames.begin(), hopByHopNames.end(), isField))
            continue;
        if (std::any_of(declared.begin(), declared.end(), isField))
            continue;
        kept.add(field.name, field.value);
    }
    return kept;
}

} // namespace lupinknot::internal
