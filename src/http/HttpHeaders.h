// Header fields of an HTTP message in their order. Names are compared case-insensitively.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lupinknot::internal {

struct HttpHeader {
    std::string name;
    std::string value;
};

// A plain value; not thread-safe.
class HttpHeaders {
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> fields)
        : m_fields(fields)
    {
    }

    void add(std::string name, std::string value) { m_fields.push_back({ std::move(name), std::move(value) }); }
    std::optional<std::string_view> find(std::string_view name) const;
    const std::vector<HttpHeader>& fields() const { return m_fields; }

    // The fields that an intermediary may forward. Leaves out hop-by-hop fields (RFC 9110, 7.6.1) and the message's
    // length and host, which are set anew for the next hop.
    HttpHeaders endToEnd() const;

private:
    std::vector<HttpHeader> m_fields;
};

} // namespace lupinknot::internal
