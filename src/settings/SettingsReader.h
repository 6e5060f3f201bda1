// Reads and validates the daemon's settings.
//
// All errors of a file are reported together: unknown keys, wrong types, values out of range and names that refer to
// nothing, each with file, line, key and what was expected. A file with an error yields no settings at all.
#pragma once

#include "settings/DaemonSettings.h"
#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace lupinknot::internal {

// Both return SettingsErrors as a Boost.LEAF error. `fileName` is used only in error messages.
boost::leaf::result<DaemonSettings> readSettingsFile(const std::string& path);
boost::leaf::result<DaemonSettings> readSettingsText(std::string_view toml, const std::string& fileName);

// Returns the reference of all settings in Markdown, printed from the tables that the reader validates against.
std::string settingsReference();

} // namespace lupinknot::internal
