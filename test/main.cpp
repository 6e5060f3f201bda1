#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestOutput.h>
#include <CppUTest/TestRegistry.h>
#include <CppUTest/TestResult.h>

#include "common/Log.h"
#include <iostream>

namespace {

// Prints the closing line that CI reads, behind CppUTest's own summary.
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

} // namespace

int main(int argc, char** argv)
{
    // The leak detector keeps its books without a lock, and the tests run threads; leaks are found by the build with
    // AddressSanitizer instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    lupinknot::internal::initializeLog(lupinknot::internal::LogLevel::Error);
    SummaryRunner runner(argc, argv, TestRegistry::getCurrentRegistry());
    return runner.runAllTestsMain();
}
