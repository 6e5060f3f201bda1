// Signals of planned work that reach a process before it serves, while it stops and after it has stopped serving.
#include "EntryProcess.h"
#include "RunUntil.h"

#include <boost/asio/steady_timer.hpp>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

constexpr Milliseconds pollInterval { 1 };
const std::string plannedEnd = "exit 0";

} // namespace

// Guards against a process that a signal of planned work ends instead of its handler.
TEST_GROUP(Signals)
{
    boost::asio::io_context ioContext;
    std::unique_ptr<EntryProcess> vm;

    void teardown() override { vm.reset(); }

    void create(EntryProcessSettings settings) { vm = std::make_unique<EntryProcess>(ioContext, settings); }

    void start()
    {
        const auto problem = vm->start();
        CHECK_TEXT(!problem, problem.value_or("").c_str());
    }

    // Runs the event loop and checks the condition at each poll interval.
    bool waitUntil(const std::function<bool()>& condition)
    {
        boost::asio::steady_timer timer(ioContext);
        std::function<void()> poll = [&] {
            timer.expires_after(pollInterval);
            timer.async_wait([&](boost::system::error_code error) {
                if (!error)
                    poll();
            });
        };
        poll();
        const bool isTrue = runUntil(ioContext, condition);
        timer.cancel();
        ioContext.poll();
        return isTrue;
    }

    void checkEndsAsPlanned()
    {
        CHECK_TEXT(waitUntil([this] { return !vm->isRunning(); }), "the process does not end");
        STRCMP_EQUAL(plannedEnd.c_str(), vm->lastExit().c_str());
    }
};

// Guards against a process that waits for its log until it is killed.
TEST(Signals, AStopEndsAlthoughTheLogIsNotRead)
{
    create({ .isLogUnread = true });
    start();
    vm->fillLog();
    vm->requestStop();
    checkEndsAsPlanned();
}
