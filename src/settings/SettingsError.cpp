#include "settings/SettingsError.h"

namespace lupinknot::internal {

std::string SettingsError::text() const
{
    std::string text = file;
    if (line)
        text.append(":").append(std::to_string(line));
    if (!key.empty())
        text.append(": ").append(key);
    return text.append(": ").append(message);
}

} // namespace lupinknot::internal
