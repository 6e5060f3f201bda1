// Tables that map the values of an `enum class` to names, for logs, settings and messages.
//
//     constexpr std::array<EnumName<Color>, 2> colorNames { { { Color::Red, "red" }, { Color::Blue, "blue" } } };
//     nameIn(colorNames, Color::Red);    // "red"
//     valueIn(colorNames, "blue");       // Color::Blue
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace lupinknot {

template <typename Enum> struct EnumName {
    Enum value;
    std::string_view name;
};

// Returns the name of a value, or "?" when the table does not contain it.
template <typename Enum, std::size_t count>
constexpr std::string_view nameIn(const std::array<EnumName<Enum>, count>& table, Enum value)
{
    for (const auto& row : table) {
        if (row.value == value)
            return row.name;
    }
    return "?";
}

// Returns the value of a name, or std::nullopt when the table does not contain it.
template <typename Enum, std::size_t count>
constexpr std::optional<Enum> valueIn(const std::array<EnumName<Enum>, count>& table, std::string_view name)
{
    for (const auto& row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace lupinknot
