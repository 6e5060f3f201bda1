// One thing that is wrong with a settings file.
#pragma once

#include <string>
#include <vector>

namespace lupinknot::internal {

struct SettingsError {
    std::string file;
    // 1 for the first line; 0 when the file as a whole is meant.
    unsigned line { 0 };
    // Section and key, as in "silence.floor_ms".
    std::string key;
    // What was expected and what came.
    std::string message;

    // "FILE:LINE: KEY: MESSAGE"
    std::string text() const;
};

// All errors of one file, in the order of its lines.
struct SettingsErrors {
    std::vector<SettingsError> errors;
};

} // namespace lupinknot::internal
