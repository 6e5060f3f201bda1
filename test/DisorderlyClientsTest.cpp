#include "DisorderlyClient.h"
#include "EntryProcess.h"
#include "RunUntil.h"
#include "common/ByteSizes.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using lupinknot::platform::EntryProcess;

namespace {

constexpr std::int64_t machineMegabytes = 64;
constexpr std::size_t machineMemory = machineMegabytes * mebibyte;
constexpr std::size_t maxDescriptors = 600;
// What each client sends that sends without end.
constexpr std::size_t endlessBytes = 16 * mebibyte;
constexpr std::size_t pieceBytes = 64 * kibibyte;
constexpr std::size_t maxBodyBytes = 4 * mebibyte;
// Fields of three bytes and a line end, of which a header of 16 KiB holds this many beside its other lines.
constexpr int tinyFields = 3900;
const std::string chunkedHead = "Transfer-Encoding: chunked\r\n\r\n";

// With sanitizers the memory of a process says nothing about the program.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool measuresMemory = false;
#else
constexpr bool measuresMemory = true;
#endif

std::string repeated(const std::string& text, std::size_t size)
{
    std::string result;
    while (result.size() < size)
        result += text;
    return result;
}

std::string lengthField(std::size_t length) { return "Content-Length: " + std::to_string(length) + "\r\n"; }

} // namespace

// Guards against a VM that runs out of memory because of what callers send or hold.
TEST_GROUP(DisorderlyClients)
{
    std::unique_ptr<boost::asio::io_context> ioContext;
    std::unique_ptr<EntryProcess> vm;
    std::vector<std::shared_ptr<DisorderlyClient>> crowd;
    std::size_t descriptorBound { maxDescriptors };

    void setup() override
    {
        ioContext = std::make_unique<boost::asio::io_context>(1);
        vm = std::make_unique<EntryProcess>(
            *ioContext, platform::EntryProcessSettings { .memoryMegabytes = machineMegabytes });
        const auto problem = vm->start();
        CHECK_TEXT(!problem, problem.value_or("").c_str());
    }

    void teardown() override
    {
        crowd.clear();
        vm.reset();
        ioContext.reset();
    }

    // Starts this many clients that send the request, each with an id of its own.
    void startCrowd(std::size_t count, const DisorderlyRequest& request, bool reads = true)
    {
        for (std::size_t i = 0; i < count; ++i) {
            auto own = request;
            own.head = vm->requestHead("/calls/crowd") + request.head;
            crowd.push_back(
                std::make_shared<DisorderlyClient>(*ioContext, std::make_shared<const DisorderlyRequest>(own)));
            crowd.back()->start(vm->front(), reads);
        }
    }

    // Waits until the crowd has sent everything or was turned away, and the VM has read what was sent.
    void waitUntilSent()
    {
        const auto isDone = [](const auto& client) { return client->isDone(); };
        CHECK_TEXT(runUntil(*ioContext,
                       [&] {
                           return !vm->isRunning()
                               || (std::all_of(crowd.begin(), crowd.end(), isDone) && vm->unreadBytes() == 0);
                       }),
            "the VM neither read what the crowd sent nor turned it away");
    }

    // The bounds are those of the machine that the settings state.
    void checkVm()
    {
        CHECK_TEXT(vm->isRunning(), ("the process ended: " + vm->lastExit()).c_str());
        if (measuresMemory) {
            CHECK_TEXT(vm->peakMemory() < machineMemory,
                ("the process needed " + std::to_string(vm->peakMemory() / kibibyte) + " KiB").c_str());
        }
        const auto descriptors = vm->openDescriptors();
        CHECK_TEXT(descriptors < descriptorBound, ("descriptors in use: " + std::to_string(descriptors)).c_str());
    }

    // While the crowd keeps its connections.
    void checkServesBesideCrowd()
    {
        checkVm();
        LONGS_EQUAL(200, vm->answerTo("/calls/1", "body"));
        checkVm();
    }

    void checkBounded(std::size_t count, const DisorderlyRequest& request, bool reads = true)
    {
        startCrowd(count, request, reads);
        waitUntilSent();
        checkServesBesideCrowd();
    }
};

TEST(DisorderlyClients, TrailersWithoutEnd)
{
    checkBounded(8,
        { chunkedHead + "1\r\nx\r\n0\r\n", repeated("X-More: " + std::string(100, 'x') + "\r\n", pieceBytes),
            endlessBytes / pieceBytes });
}

TEST(DisorderlyClients, AChunkExtensionWithoutEnd)
{
    checkBounded(8, { chunkedHead + "1;", std::string(pieceBytes, 'x'), endlessBytes / pieceBytes });
}

TEST(DisorderlyClients, HeadersOfThousandsOfFields)
{
    checkBounded(400, { repeated("a:\r\n", std::size_t { tinyFields } * 4) + lengthField(10) + "\r\n123456789" });
}

TEST(DisorderlyClients, AHeaderWithoutEnd)
{
    checkBounded(
        8, { "", repeated("X-More: " + std::string(100, 'x') + "\r\n", pieceBytes), endlessBytes / pieceBytes });
}

TEST(DisorderlyClients, BodiesThatLackAByte)
{
    checkBounded(24,
        { lengthField(maxBodyBytes) + "\r\n", std::string(pieceBytes, 'x'), maxBodyBytes / pieceBytes - 1,
            std::string(pieceBytes - 1, 'x') });
}

TEST(DisorderlyClients, ChunkedBodiesThatLackTheirEnd)
{
    checkBounded(24, { chunkedHead, "10000\r\n" + std::string(pieceBytes, 'x') + "\r\n", maxBodyBytes / pieceBytes });
}

// The endpoint takes its time, so that the VM holds the requests and what it has sent of them.
TEST(DisorderlyClients, LargeBodiesAtTheSameTime)
{
    vm->callTime = Milliseconds { 1000 };
    checkBounded(24, { lengthField(maxBodyBytes) + "\r\n", std::string(pieceBytes, 'x'), maxBodyBytes / pieceBytes });
}

// Each caller sends as much as is kept of a next request while the endpoint takes its time for the first one.
TEST(DisorderlyClients, BytesOfNextRequestsWhileTheirCallersAreBusy)
{
    constexpr std::int64_t headerBytes = 256 * kibibyte;
    // Each busy caller needs a second descriptor, to an endpoint. A quarter of the process's limit stays free.
    constexpr std::size_t processDescriptors = 1200;
    descriptorBound = processDescriptors * 3 / 4;
    vm = std::make_unique<EntryProcess>(*ioContext,
        platform::EntryProcessSettings {
            .memoryMegabytes = machineMegabytes, .maxHeaderBytes = headerBytes, .maxDescriptors = processDescriptors });
    const auto problem = vm->start();
    CHECK_TEXT(!problem, problem.value_or("").c_str());
    vm->callTime = Milliseconds { 1000 };
    checkBounded(400, { lengthField(0) + "\r\n", std::string(pieceBytes, 'x'), headerBytes / pieceBytes });
}

TEST(DisorderlyClients, AnswersThatAreNotRead)
{
    constexpr std::size_t count = 40;
    vm->answerBytes = 3 * mebibyte;
    startCrowd(count, { lengthField(0) + "\r\n" }, false);
    CHECK(runUntil(*ioContext, [&] { return vm->endpointRequests() == count && vm->hasEndpointAnswered(); }));
    vm->answerBytes = 1;
    checkServesBesideCrowd();
}

TEST(DisorderlyClients, ABodyInChunksOfOneByte)
{
    constexpr std::size_t chunksInPiece = 4096;
    checkBounded(
        2, { chunkedHead, repeated("1\r\nx\r\n", 6 * chunksInPiece), maxBodyBytes / chunksInPiece, "0\r\n\r\n" });
    CHECK(runUntil(*ioContext, [this] { return !crowd[0]->received().empty() && !crowd[1]->received().empty(); }));
    STRCMP_CONTAINS("HTTP/1.1 200", crowd[0]->received().c_str());
    STRCMP_CONTAINS("HTTP/1.1 200", crowd[1]->received().c_str());
    checkVm();
}

// A caller inside the limits is served beside others that hold what they were allowed to send.
TEST(DisorderlyClients, ALargeRequestIsServedBesideHalfSentOnes)
{
    checkBounded(
        24, { lengthField(maxBodyBytes) + "\r\n", std::string(pieceBytes, 'x'), maxBodyBytes / pieceBytes / 2 });
    LONGS_EQUAL(200, vm->answerTo("/calls/1", std::string(maxBodyBytes, 'x')));
    checkVm();
}

TEST(DisorderlyClients, ALargeRequestIsServedInCalm)
{
    for (int i = 0; i < 4; ++i)
        LONGS_EQUAL(200, vm->answerTo("/calls/1", std::string(maxBodyBytes, 'x')));
    checkVm();
}
