#include "http/PercentEncoding.h"

#include <charconv>
#include <cstdio>

namespace lupinknot::internal {

namespace {

std::string encode(std::string_view text, std::string_view kept)
{
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string encoded;
    for (const char letter : text) {
        if (unreserved.find(letter) != std::string_view::npos || kept.find(letter) != std::string_view::npos) {
            encoded += letter;
            continue;
        }
        char escaped[4];
        std::snprintf(escaped, sizeof(escaped), "%%%02X", static_cast<unsigned>(static_cast<unsigned char>(letter)));
        encoded += escaped;
    }
    return encoded;
}

} // namespace

std::string encodePathSegment(std::string_view text) { return encode(text, ""); }

std::string encodeQueryValue(std::string_view text) { return encode(text, "/:"); }

std::string decodePercent(std::string_view text)
{
    constexpr std::size_t digits = 2;
    constexpr int hexadecimal = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned char byte = 0;
        const auto code = text[i] == '%' ? text.substr(i + 1, digits) : std::string_view();
        const auto parsed = std::from_chars(code.data(), code.data() + code.size(), byte, hexadecimal);
        const bool isCode
            = code.size() == digits && parsed.ec == std::errc() && parsed.ptr == code.data() + code.size();
        decoded += isCode ? static_cast<char>(byte) : text[i];
        i += isCode ? digits : 0;
    }
    return decoded;
}

} // namespace lupinknot::internal
