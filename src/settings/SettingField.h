// Describes one setting of a section: its key, its member in the section's struct, its range and its purpose.
//
// The tables of these fields (SettingsTables.h) are the only description of the settings: the reader validates a file
// against them, and the reference for operators is printed from them.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/SilenceDetector.h"
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lupinknot::internal {

template <typename Section> struct SettingField {
    using Member = std::variant<std::int64_t Section::*, unsigned Section::*, Milliseconds Section::*,
        std::string Section::*, bool Section::*, std::vector<std::string> Section::*, DetectorKind Section::*>;

    std::string_view key;
    Member member;
    // Range of a number, both ends included; unused for other types.
    std::int64_t minimum;
    std::int64_t maximum;
    // Printed in the reference for operators.
    std::string_view description;
    bool isRequired { false };
};

} // namespace lupinknot::internal
