#include "settings/SettingsReader.h"
#include "settings/SettingsError.h"

#include <boost/leaf/handle_errors.hpp>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

namespace leaf = boost::leaf;

const std::string minimalSettings = R"([vm]
name = "a1"
zone = "z1"
[listener]
port = 0
[admin]
port = 0
)";

// Returns all errors of a settings text, one per line, or "none".
std::string errorsOf(const std::string& text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(readSettingsText(text, "s.toml"));
            return std::string("none");
        },
        [](const SettingsErrors& found) {
            std::string all;
            for (const auto& error : found.errors)
                all.append(error.text()).append("\n");
            return all;
        },
        [] { return std::string("an error of another type"); });
}

struct InvalidSettingsCase {
    const char* lines;
    const char* expected;
};

} // namespace

TEST_GROUP(SettingsReader) {};

TEST(SettingsReader, AcceptsAFileWithTheRequiredKeysOnly) { STRCMP_EQUAL("none", errorsOf(minimalSettings).c_str()); }

TEST(SettingsReader, ReportsFileLineKeyAndExpectedValue)
{
    const InvalidSettingsCase cases[] = {
        { "[silence]\nfloor_ms = 0\n",
            "s.toml:9: silence.floor_ms: expected a whole number from 1 to 86400000; found 0\n" },
        { "[silence]\nfloor_ms = \"x\"\n",
            "s.toml:9: silence.floor_ms: expected a whole number from 1 to 86400000; found a value of type string\n" },
        { "[silence]\nflor_ms = 5\n", "s.toml:9: silence.flor_ms: unknown key\n" },
        { "[sillence]\nfloor_ms = 5\n", "s.toml:8: sillence: unknown section\n" },
        { "[silence]\ndetector = \"guess\"\n",
            "s.toml:9: silence.detector: expected one of fixed, quantile, maximum, phi-accrual; found \"guess\"\n" },
        { "[silence]\nfloor_ms = 2000\n",
            "s.toml:9: silence.floor_ms: expected a value not above silence.ceiling_ms, which is 1500; found 2000\n" },
        { "[platform]\naddress = \"platform.example\"\n",
            "s.toml:9: platform.address: expected an IP address; found \"platform.example\"\n" },
        { "[[service]]\nname = \"s\"\npath = \"/s\"\nendpoints = [\"e7\"]\n",
            "s.toml:11: service.endpoints: no [[endpoint]] has the name \"e7\"\n" },
        { "[[service]]\nname = \"s\"\npath = \"s\"\nendpoints = []\n",
            "s.toml:10: service.path: expected a path that begins with \"/\"; found \"s\"\n" },
        { "[[endpoint]]\nname = \"e\"\nzone = \"z\"\naddress = \"10.0.0.1\"\n",
            "s.toml:8: endpoint.port: a value is required\n" },
    };
    for (const auto& badCase : cases)
        STRCMP_EQUAL(badCase.expected, errorsOf(minimalSettings + badCase.lines).c_str());
}

TEST(SettingsReader, ReportsEveryErrorOfAFile)
{
    const auto errors = errorsOf(minimalSettings + "[recovery]\nmax_attempts = 0\nendpoint_wait_ms = -1\n");
    STRCMP_CONTAINS("s.toml:9: recovery.max_attempts", errors.c_str());
    STRCMP_CONTAINS("s.toml:10: recovery.endpoint_wait_ms", errors.c_str());
}

TEST(SettingsReader, ReportsTheLineOfASyntaxError)
{
    STRCMP_CONTAINS("s.toml:8:", errorsOf(minimalSettings + "[silence\n").c_str());
}

TEST(SettingsReader, ReportsAFileThatCannotBeRead)
{
    const auto text = leaf::try_handle_all(
        []() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(readSettingsFile("/nonexistent/s.toml"));
            return std::string("none");
        },
        [](const SettingsErrors& found) { return found.errors.front().text(); },
        [] { return std::string("an error of another type"); });
    STRCMP_CONTAINS("/nonexistent/s.toml", text.c_str());
}

TEST(SettingsReader, ReferenceListsDefaultsRangesAndRequiredKeys)
{
    const auto reference = settingsReference();
    STRCMP_CONTAINS("| `floor_ms` | `350` | 1 to 86400000 |", reference.c_str());
    STRCMP_CONTAINS("| `port` | required |", reference.c_str());
}
