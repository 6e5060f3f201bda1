// Reads the events in the log of a VM.
#pragma once

#include <functional>
#include <istream>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace lupinknot::internal {

// Calls back with each event and its JSON text. Text before the JSON object, such as a log collector's prefix, is
// skipped, and so are lines without an event. Not thread-safe.
void readLog(std::istream&, const std::function<void(const nlohmann::json& event, const std::string& text)>&);

} // namespace lupinknot::internal
