// Odd JSON, for tests of what reads the store, other VMs, engines and callers.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lupinknot::platform {

inline constexpr std::size_t rowBytes = 400'000;
// Within the limit on a message between the VMs of a zone.
inline constexpr std::size_t messageBytes = 15'000;

// Valid rows.
inline constexpr const char* configuration
    = R"({"version":1,"routes":[{"name":"r","host":"h","path-prefix":"/x/","kind":"streaming","timeout-ms":25000,)"
      R"("slo-ms":4500,"max-attempts":5,"priority":3,"split":[{"service":"llm","weight":1}]}],"services":[{"name":"llm",)"
      R"("max-conns":10,"engine":{"backups":true,"moves":true,"handle-s":4,"stride":5}}],"limits":{"max-body-bytes":4194304,)"
      R"("idle-timeout-ms":15000},"tenants":[{"name":"acme","api-keys":["k1"],"priority":2}]})";
inline constexpr const char* endpoint
    = R"({"service":"llm","address":"127.0.0.1:9","zone":"a","version":"v1","slots":4,)"
      R"("state":"ready","cold-left-ms":0,"sequence":4,"born":7})";
inline constexpr const char* vmRow = R"({"zone":"a","host":"127.0.0.1","port":9,"link":20.0})";
inline constexpr const char* orderRow = R"({"service":"llm","target-version":"v2","duration-s":60})";

inline constexpr const char* locationRow = R"({"endpoint":"e1","copy":"e2","host":"127.0.0.1","port":9,"request":"r1",)"
                                           R"("version":"v1","stream":"s","needed":true})";

// Values inside each other, as many as the bytes hold.
inline std::string nested(const std::string& open, const std::string& close, std::size_t bytes)
{
    std::string opened;
    std::string closed;
    while (opened.size() + closed.size() < bytes) {
        opened += open;
        closed += close;
    }
    return opened + "1" + closed;
}

// A text that ends inside a character wherever it is cut after an even number of bytes.
inline std::string longText()
{
    std::string text = "x";
    for (int i = 0; i < 2000; ++i)
        text += "\xc3\xa9";
    return text;
}

// JSON values that no writer of this release writes.
inline std::vector<std::string> oddJson(std::size_t bytes)
{
    return { "null", "true", "[]", "{}", "[[]]", R"([{"a":1}])", "\"\"", "\"x\"", "-1", "0", "70000", "1e300", "-1e300",
        "18446744073709551615", "18446744073709551616", "-9223372036854775808", "9007199254740993", "0.5", "1e400",
        "NaN", std::string(400, '9'), R"("\ud800")", "\"" + longText() + "\"", nested("[", "]", bytes),
        nested("{\"a\":", "}", bytes) };
}

inline std::vector<std::string> oddTexts(std::size_t bytes)
{
    auto texts = oddJson(bytes);
    for (const auto* text : { "", "{", "\xff\xfe\x80", "{\"a\":\"\xc3\x28\"}", "text", "\"" })
        texts.emplace_back(text);
    return texts;
}

// The valid object with each field, one at a time, replaced by each odd value, left out, or stated twice.
inline std::vector<std::string> variantsOf(const std::string& valid, std::size_t bytes)
{
    constexpr const char* mark = "@mark@";
    std::vector<std::string> variants;
    const auto whole = nlohmann::json::parse(valid);
    std::vector<nlohmann::json::json_pointer> fields;
    const std::function<void(const nlohmann::json&, const nlohmann::json::json_pointer&)> visit
        = [&](const nlohmann::json& at, const auto& path) {
              for (const auto& [name, value] : at.items()) {
                  const auto field = at.is_array() ? path / std::stoul(name) : path / name;
                  fields.push_back(field);
                  if (value.is_structured())
                      visit(value, field);
              }
          };
    visit(whole, nlohmann::json::json_pointer());
    for (const auto& field : fields) {
        auto marked = whole;
        marked[field] = mark;
        const auto text = marked.dump();
        const auto at = text.find("\"" + std::string(mark) + "\"");
        for (const auto& odd : oddJson(bytes))
            variants.push_back(text.substr(0, at) + odd + text.substr(at + std::string(mark).size() + 2));
        if (!whole.at(field.parent_pointer()).is_object())
            continue;
        auto without = whole;
        without.at(field.parent_pointer()).erase(field.back());
        variants.push_back(without.dump());
    }
    variants.push_back("{" + valid.substr(1, valid.size() - 2) + "," + valid.substr(1));
    return variants;
}

} // namespace lupinknot::platform
