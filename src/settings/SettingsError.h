// The errors that SettingsReader finds in a settings file.
#pragma once

#include <string>
#include <vector>

namespace lupinknot::internal {

struct SettingsError {
    std::string file;
    // Counted from 1; 0 if the error has no line.
    unsigned line { 0 };
    // Section and key, as in "silence.floor_ms"; empty for a syntax error.
    std::string key;
    // What was expected and what was found.
    std::string message;

    // "FILE:LINE: KEY: MESSAGE", without the line or the key if there is none.
    std::string text() const;
};

// All errors of one file, sorted by line.
struct SettingsErrors {
    std::vector<SettingsError> errors;
};

} // namespace lupinknot::internal
