// Reads the events out of a VM's log.
#pragma once

#include <functional>
#include <istream>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace lupinknot::internal {

// Calls back with each event and its text; log collectors may put a prefix of their own before it. Lines that hold no
// event are passed over. Not thread-safe.
void readLog(std::istream&, const std::function<void(const nlohmann::json& event, const std::string& text)>&);

} // namespace lupinknot::internal
