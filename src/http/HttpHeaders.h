// Header fields of an HTTP message, in order; names compare without regard to case.
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

    // The fields that may be passed on by an intermediary: without those of one connection (RFC 9110, 7.6.1), without
    // the message's length and host, which the next hop's message gets anew.
    HttpHeaders endToEnd() const;

private:
    std::vector<HttpHeader> m_fields;
};

} // namespace lupinknot::internal
