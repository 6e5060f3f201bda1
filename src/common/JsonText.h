// Parses JSON that other processes have written.
//
//     const auto body = tryParseJson(text);
//     if (!body.is_object()) ...            // Also when the text is not JSON, too deep or of too many values.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace lupinknot::internal {

// Levels of arrays and objects inside each other. Copying and writing a value takes stack for each level, so a deeper
// text could end the process; no message of this system has a tenth of these levels.
inline constexpr std::size_t maxJsonDepth = 100;

// Arrays and objects in a text, and values in it. A value takes many times its bytes: an empty object of three bytes
// takes over a hundred. A table of the store has a few values a row.
inline constexpr std::size_t maxJsonContainers = 100000;
inline constexpr std::size_t maxJsonValues = 2000000;

// Throws nlohmann::json::exception when the text is not valid JSON or exceeds a limit.
nlohmann::json parseJson(std::string_view text);

// Returns a discarded value instead, which is of no JSON type.
nlohmann::json tryParseJson(std::string_view text);

} // namespace lupinknot::internal
