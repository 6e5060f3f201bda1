#include "common/Log.h"
#include <algorithm>
#include <iostream>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestOutput.h>
#include <CppUTest/TestRegistry.h>
#include <CppUTest/TestResult.h>

namespace {

// Prints the last line that CI reads, after CppUTest's own summary.
class SummaryOutput : public ConsoleTestOutput {
public:
    void printTestsEnded(const TestResult& result) override
    {
        ConsoleTestOutput::printTestsEnded(result);
        const auto failed = result.getFailureCount();
        std::cout << result.getRunCount() - failed << " passed, " << failed << " failed" << std::endl;
    }
};

class SummaryRunner : public CommandLineTestRunner {
public:
    using CommandLineTestRunner::CommandLineTestRunner;

private:
    TestOutput* createConsoleOutput() override { return new SummaryOutput; }
};

// Removes tests from the registry by GROUP.NAME. Returns the names that match no test.
std::set<std::string> passOver(TestRegistry& registry, std::set<std::string> names)
{
    std::vector<UtestShell*> kept;
    while (auto* const test = registry.getFirstTest()) {
        const std::string name = std::string(test->getGroup().asCharString()) + "." + test->getName().asCharString();
        if (names.erase(name) == 0)
            kept.push_back(test);
        registry.unDoLastAddTest();
    }
    std::for_each(kept.rbegin(), kept.rend(), [&registry](UtestShell* test) { registry.addTest(test); });
    return names;
}

} // namespace

// Accepts CppUTest's options and --pass-over GROUP.NAME, which skips a test and may be repeated.
int main(int argc, char** argv)
{
    std::vector<const char*> options;
    std::set<std::string> passedOver;
    for (int i = 0; i < argc; ++i) {
        if (std::string_view(argv[i]) == "--pass-over" && i + 1 < argc)
            passedOver.insert(argv[++i]);
        else
            options.push_back(argv[i]);
    }
    for (const auto& name : passOver(*TestRegistry::getCurrentRegistry(), std::move(passedOver))) {
        std::cerr << "no test is named " << name << ", which is to be passed over" << std::endl;
        return 2;
    }
    // CppUTest's leak detector has no lock and the tests run threads; the AddressSanitizer build finds leaks instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    lupinknot::internal::initializeLog(lupinknot::internal::LogLevel::Error);
    SummaryRunner runner(static_cast<int>(options.size()), options.data(), TestRegistry::getCurrentRegistry());
    return runner.runAllTestsMain();
}
