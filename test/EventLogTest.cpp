#include "common/EventLog.h"

#include <algorithm>
#include <fcntl.h>
#include <future>
#include <poll.h>
#include <string>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace lupinknot::internal;

namespace {

// Much longer than the test needs; reached only when it fails.
constexpr std::chrono::seconds testTimeout { 20 };
constexpr int eventPairs = 20000;
// The lines of both kinds allowed in two seconds, because the test may run across the boundary of a second.
constexpr std::ptrdiff_t maxLines = 2 * 600 + 10;

// Redirects standard output to a pipe with a small buffer for the lifetime of the object.
class PipedOutput {
public:
    PipedOutput()
        : m_saved(::dup(STDOUT_FILENO))
    {
        constexpr int pipeSize = 4096;
        CHECK_EQUAL(0, ::pipe(m_pipe));
        ::fcntl(m_pipe[1], F_SETPIPE_SZ, pipeSize);
        ::dup2(m_pipe[1], STDOUT_FILENO);
    }

    ~PipedOutput()
    {
        ::dup2(m_saved, STDOUT_FILENO);
        for (const auto descriptor : { m_saved, m_pipe[0], m_pipe[1] })
            ::close(descriptor);
    }

    // Reads until no more data arrives.
    std::string drain()
    {
        constexpr int quietMilliseconds = 300;
        std::string text;
        pollfd waiting { m_pipe[0], POLLIN, 0 };
        char piece[4096];
        while (::poll(&waiting, 1, quietMilliseconds) == 1) {
            const auto size = ::read(m_pipe[0], piece, sizeof(piece));
            text.append(piece, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        }
        return text;
    }

private:
    const int m_saved;
    int m_pipe[2] { -1, -1 };
};

} // namespace

TEST_GROUP(EventLog) {};

TEST(EventLog, BlockedReaderDoesNotDelayWritersAndLineRateIsLimited)
{
    PipedOutput output;
    startEventLog("vm1");
    auto written = std::async(std::launch::async, [] {
        for (int i = 0; i < eventPairs; ++i) {
            LogEvent("request.done", LogImportance::Routine).text("request", "r1").number("number", i).write();
            LogEvent("request.refused").text("request", "r1").number("number", i).write();
        }
        stopEventLog();
    });
    const bool isDone = written.wait_for(testTimeout) == std::future_status::ready;
    const auto text = output.drain();
    CHECK_TEXT(isDone, "writing log lines must not wait for the reader of standard output");
    const auto lines = std::count(text.begin(), text.end(), '\n');
    CHECK_TEXT(lines > 0, "expected some lines after the reader started to read");
    CHECK_TEXT(lines <= maxLines, "expected at most 200 routine and 400 notable lines per second");
}
