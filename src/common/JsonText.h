// Parses JSON that other processes have written.
//
//     const auto body = tryParseJson(text);
//     if (!body.is_object()) ...            // Also when the text is not JSON, or too deep.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace lupinknot::internal {

// Levels of arrays and objects inside each other. Copying and writing a value takes stack for each level, so a deeper
// text could end the process; no message of this system has a tenth of these levels.
inline constexpr std::size_t maxJsonDepth = 100;

// Throws nlohmann::json::exception when the text is not valid JSON or deeper than maxJsonDepth.
nlohmann::json parseJson(std::string_view text);

// Returns a discarded value instead, which is of no JSON type.
nlohmann::json tryParseJson(std::string_view text);

} // namespace lupinknot::internal
