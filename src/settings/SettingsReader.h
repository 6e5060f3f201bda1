// Reads and checks the daemon's settings.
//
// The file is checked as a whole: every unknown key, wrong type, value out of range and dangling name is reported, each
// with file, line, key and what is allowed. Settings with an error are not used in part.
#pragma once

#include "settings/DaemonSettings.h"
#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace lupinknot::internal {

// Both report SettingsErrors through Boost.LEAF.
boost::leaf::result<DaemonSettings> readSettingsFile(const std::string& path);
boost::leaf::result<DaemonSettings> readSettingsText(std::string_view toml, const std::string& fileName);

// The reference of all settings as a Markdown table, made from the tables that the reader checks against.
std::string settingsReference();

} // namespace lupinknot::internal
