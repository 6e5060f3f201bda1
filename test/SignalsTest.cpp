// Signals of planned work that reach a process before it serves, while it stops and after it has stopped serving.
#include "DaemonProcess.h"
#include "EntryProcess.h"
#include "RunUntil.h"
#include "common/ByteSizes.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <future>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using namespace lupinknot::platform;

namespace {

// Takes long enough to read that the process is found reading it.
constexpr std::size_t longComment = 8 * mebibyte;
constexpr Milliseconds pollInterval { 1 };
constexpr Milliseconds signalInterval { 10 };
// An endpoint's work on a request that is open when the stop begins.
constexpr Milliseconds workTime { 1000 };
constexpr std::size_t maxDescriptors = 256;
// More than the sockets between the process and its caller take.
constexpr std::size_t longAnswer = 24 * mebibyte;
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

    void launchAndSignalDuringStart(std::initializer_list<int> signals)
    {
        create({ .settingsComment = longComment });
        const auto problem = vm->launch();
        CHECK_TEXT(!problem, problem.value_or("").c_str());
        CHECK_TEXT(waitUntil([this] { return vm->isReadingSettings(); }), "the process was not found starting");
        for (const auto number : signals)
            vm->signal(number);
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

    // Sends the signal again and again until the process ends or the timer is cancelled.
    void signalRepeatedly(boost::asio::steady_timer & timer, int number)
    {
        vm->signal(number);
        timer.expires_after(signalInterval);
        timer.async_wait([this, &timer, number](boost::system::error_code error) {
            if (!error && vm->isRunning())
                signalRepeatedly(timer, number);
        });
    }
};

TEST(Signals, AStopRequestedDuringTheStartIsAPlannedStop)
{
    launchAndSignalDuringStart({ SIGTERM });
    checkEndsAsPlanned();
    STRCMP_CONTAINS("process.stopping", vm->log().c_str());
}

TEST(Signals, AReloadRequestedDuringTheStartIsCarriedOut)
{
    launchAndSignalDuringStart({ SIGHUP });
    CHECK_TEXT(
        waitUntil([this] { return !vm->isRunning() || vm->log().find("settings.applied") != std::string::npos; }),
        "the settings were not read again");
    CHECK_TEXT(vm->isRunning(), vm->lastExit().c_str());
}

TEST(Signals, AReloadAndAStopRequestedDuringTheStartAreBothCarriedOut)
{
    launchAndSignalDuringStart({ SIGHUP, SIGTERM });
    checkEndsAsPlanned();
    STRCMP_CONTAINS("settings.applied", vm->log().c_str());
    STRCMP_CONTAINS("process.stopping", vm->log().c_str());
}

// Guards against a process that waits for its log until it is killed.
TEST(Signals, AStopEndsAlthoughTheLogIsNotRead)
{
    create({ .isLogUnread = true });
    start();
    vm->fillLog();
    vm->requestStop();
    checkEndsAsPlanned();
}

// The process waits for its log at the end, when it serves nobody any more.
TEST(Signals, AReloadRequestedAfterTheStopDoesNotEndTheProcess)
{
    create({ .isLogUnread = true });
    start();
    vm->fillLog();
    vm->requestStop();
    CHECK_TEXT(waitUntil([this] { return !vm->isListening(); }), "the process does not stop");
    vm->signal(SIGHUP);
    checkEndsAsPlanned();
}

TEST(Signals, AStopRequestedAgainAfterTheStopDoesNotEndTheProcess)
{
    create({ .isLogUnread = true });
    start();
    vm->fillLog();
    vm->requestStop();
    CHECK_TEXT(waitUntil([this] { return !vm->isListening(); }), "the process does not stop");
    vm->signal(SIGTERM);
    checkEndsAsPlanned();
}

TEST(Signals, ReloadsDuringAStopLeaveOpenRequestsTheirAnswers)
{
    create({});
    vm->callTime = workTime;
    start();
    boost::asio::steady_timer stopTimer(ioContext, workTime / 2);
    boost::asio::steady_timer signalTimer(ioContext);
    stopTimer.async_wait([&](boost::system::error_code) {
        vm->requestStop();
        signalRepeatedly(signalTimer, SIGHUP);
    });
    LONGS_EQUAL(200, vm->answerTo("/calls/1"));
    checkEndsAsPlanned();
    signalTimer.cancel();
    ioContext.poll();
}

// Guards against an answer that is cut because its VM stops while its caller reads it slowly.
TEST(Signals, AStopLeavesASlowReaderItsWholeAnswer)
{
    create({ .memoryMegabytes = 512 });
    vm->answerBytes = longAnswer;
    start();
    boost::asio::ip::tcp::socket caller(ioContext, boost::asio::ip::tcp::v4());
    caller.set_option(boost::asio::socket_base::receive_buffer_size(64 * kibibyte));
    caller.connect({ boost::asio::ip::make_address(vm->front().host), static_cast<unsigned short>(vm->front().port) });
    boost::asio::write(caller, boost::asio::buffer(vm->requestHead("/calls/1") + "Content-Length: 0\r\n\r\n"));
    CHECK(waitUntil([this] { return vm->endpointRequests() == 1 && vm->hasEndpointAnswered(); }));
    vm->requestStop();
    boost::asio::steady_timer pause(ioContext, workTime);
    bool isOver = false;
    pause.async_wait([&](boost::system::error_code) { isOver = true; });
    CHECK(waitUntil([&] { return isOver; }));
    std::string answer;
    boost::system::error_code error;
    boost::asio::read(caller, boost::asio::dynamic_buffer(answer), error);
    const auto bodyAt = answer.find("\r\n\r\n");
    CHECK_TEXT(bodyAt != std::string::npos, "the answer has no header");
    LONGS_EQUAL(longAnswer, answer.size() - bodyAt - 4);
    checkEndsAsPlanned();
}

// The same for lupinknotd.
TEST_GROUP(SignalsOfDaemon) { static void checkEndsAsPlanned(DaemonProcess & daemon) {
    CHECK_TEXT(becomesTrue([&daemon] { return !daemon.isRunning(); }), "the process does not end");
STRCMP_EQUAL(plannedEnd.c_str(), daemon.lastExit().c_str());
}

static void launchAndSignalDuringStart(DaemonProcess& daemon, int number)
{
    CHECK(daemon.launch());
    while (!daemon.isReadingSettings() && daemon.isRunning())
        std::this_thread::sleep_for(pollInterval);
    daemon.signal(number);
}
}
;

TEST(SignalsOfDaemon, AStopRequestedDuringTheStartIsAPlannedStop)
{
    DaemonProcess daemon(longComment);
    launchAndSignalDuringStart(daemon, SIGTERM);
    checkEndsAsPlanned(daemon);
}

TEST(SignalsOfDaemon, AHangupDuringTheStartDoesNotEndTheProcess)
{
    DaemonProcess daemon(longComment);
    launchAndSignalDuringStart(daemon, SIGHUP);
    CHECK_TEXT(daemon.becomesReady(), daemon.lastExit().c_str());
}

TEST(SignalsOfDaemon, AHangupLeavesOpenRequestsTheirAnswers)
{
    DaemonProcess daemon;
    CHECK(daemon.start(maxDescriptors));
    daemon.service().control(R"({"delay_ms": 500})");
    auto status = std::async(std::launch::async, [&daemon] { return daemon.answerTo("/thumbs/1"); });
    do {
        daemon.signal(SIGHUP);
    } while (status.wait_for(signalInterval) == std::future_status::timeout);
    LONGS_EQUAL(200, status.get());
    daemon.signal(SIGTERM);
    daemon.signal(SIGHUP);
    checkEndsAsPlanned(daemon);
}
