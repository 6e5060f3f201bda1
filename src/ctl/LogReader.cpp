#include "ctl/LogReader.h"

#include <nlohmann/json.hpp>

namespace lupinknot::internal {

void readLog(std::istream& log, const std::function<void(const nlohmann::json&, const std::string&)>& onEvent)
{
    std::string text;
    while (std::getline(log, text)) {
        const auto start = text.find('{');
        if (start == std::string::npos)
            continue;
        text.erase(0, start);
        const auto object = nlohmann::json::parse(text, nullptr, false);
        if (object.is_object() && object.contains("event") && object["event"].is_string())
            onEvent(object, text);
    }
}

} // namespace lupinknot::internal
