#include "common/JsonText.h"

#include <nlohmann/json.hpp>

namespace lupinknot::internal {

namespace {

using nlohmann::json;

// The position at which the text exceeds a limit; npos when it exceeds none. Counts the brackets and commas of invalid
// JSON as well, which the parser rejects later.
std::size_t positionOfExcess(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t containers = 0;
    std::size_t values = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char letter = text[i];
        if (letter == '"') {
            isInString = !isInString;
        } else if (isInString) {
            // Skips the escaped character, which may be a quotation mark.
            i += letter == '\\' ? 1 : 0;
        } else if (letter == '[' || letter == '{') {
            if (++depth > maxJsonDepth || ++containers > maxJsonContainers)
                return i;
        } else if (letter == ',') {
            if (++values > maxJsonValues)
                return i;
        } else if ((letter == ']' || letter == '}') && depth > 0) {
            --depth;
        }
    }
    return std::string_view::npos;
}

} // namespace

json parseJson(std::string_view text)
{
    const auto excess = positionOfExcess(text);
    if (excess != std::string_view::npos) {
        constexpr int parseErrorId = 101;
        throw json::parse_error::create(parseErrorId, excess + 1,
            "expected at most " + std::to_string(maxJsonDepth) + " levels of arrays and objects, "
                + std::to_string(maxJsonContainers) + " arrays and objects, and " + std::to_string(maxJsonValues)
                + " values",
            nullptr);
    }
    return json::parse(text);
}

json tryParseJson(std::string_view text)
{
    if (positionOfExcess(text) != std::string_view::npos)
        return json(json::value_t::discarded);
    return json::parse(text, nullptr, false);
}

} // namespace lupinknot::internal
