#include "PlatformCallProtocol.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;
using lupinknot::platform::PlatformCallProtocol;

TEST_GROUP(PlatformCallProtocol)
{
    PlatformCallProtocol protocol;

    static std::string value(const HttpHeaders& headers, std::string_view name)
    {
        return std::string(headers.find(name).value_or("absent"));
    }
};

TEST(PlatformCallProtocol, DecodesCallerHeaders)
{
    const auto fields = protocol.decodeCaller(
        { { "X-Request-Id", "9c41" }, { "X-Deadline-Ms", "25000" }, { "Api-Key", "k" }, { "Last-Event-Id", "12" },
            { "X-Token-Usage", "1460,80" }, { "X-Prompt-Prefix", "5c1e07a2:800,e4402b7d:250" } });
    STRCMP_EQUAL("9c41", fields.requestId.c_str());
    LONGS_EQUAL(25000, fields.callerTimeout->count());
    LONGS_EQUAL(12, *fields.lastEventId);
    LONGS_EQUAL(1460, fields.promptTokens);
    STRCMP_EQUAL("e4402b7d", fields.promptId.c_str());
    STRCMP_EQUAL("", fields.malformedField.c_str());
}

TEST(PlatformCallProtocol, DecodesTheAttemptThatACallerResumes)
{
    const auto resuming = protocol.decodeCaller({ { "X-Request-Id", "r2" }, { "Resumes", "r1" } });
    STRCMP_EQUAL("r1", resuming.resumedRequestId.c_str());
    STRCMP_EQUAL("", resuming.malformedField.c_str());
    STRCMP_EQUAL("", protocol.decodeCaller({ { "X-Request-Id", "r2" } }).resumedRequestId.c_str());
    STRCMP_EQUAL(
        "Resumes", protocol.decodeCaller({ { "X-Request-Id", "r2" }, { "Resumes", "r 1" } }).malformedField.c_str());
}

TEST(PlatformCallProtocol, NamesAMalformedNumericHeader)
{
    STRCMP_EQUAL("Last-Event-Id", protocol.decodeCaller({ { "Last-Event-Id", "-3" } }).malformedField.c_str());
    STRCMP_EQUAL("X-Deadline-Ms", protocol.decodeCaller({ { "X-Deadline-Ms", "" } }).malformedField.c_str());
    // Guards against a deadline that overflows and lies in the past.
    for (const auto* const endless : { "9223372036854775807", "9223372036854775808", "18446744073709551615" })
        LONGS_EQUAL(86'400'000, protocol.decodeCaller({ { "X-Deadline-Ms", endless } }).callerTimeout->count());
}

// A request id is written to store rows and engine requests as JSON; invalid UTF-8 in it would end the process there.
TEST(PlatformCallProtocol, RejectsARequestIdThatIsNotPlainText)
{
    for (const auto& id : { std::string("a\xff"), std::string("a b"), std::string(201, 'a') })
        STRCMP_EQUAL("X-Request-Id", protocol.decodeCaller({ { "X-Request-Id", id } }).malformedField.c_str());
}

TEST(PlatformCallProtocol, IgnoresAPromptIdThatIsNotHexadecimal)
{
    for (const auto& parts : { std::string("5c:8,\xff:2"), std::string("x&table=op:2"), std::string(201, 'a') + ":2" })
        STRCMP_EQUAL("", protocol.decodeCaller({ { "X-Prompt-Prefix", parts } }).promptId.c_str());
}

TEST(PlatformCallProtocol, DropsReservedHeadersOfACaller)
{
    HttpRequest caller { "POST", "/a/b?c=d", {}, "body" };
    caller.headers = { { "Host", "a.example" }, { "X-Tenant", "forged" }, { "X-Expect-Instance", "forged" },
        { "Api-Key", "secret" }, { "Kv-From", "1.2.3.4:5/x" }, { "x-kv-backup", "1.2.3.4:5" },
        { "X-Request-Priority", "0" }, { "Connection", "keep-alive, X-Hop" }, { "X-Hop", "1" },
        { "X-Request-Id", "9c41" }, { "X-Model", "m" }, { "Content-Length", "4" } };
    ForwardFields fields;
    fields.timeLeft = Milliseconds { 800 };
    fields.endpointId = "i-1";
    fields.organisation = "acme";
    const auto request = protocol.encodeForward(caller, fields);
    STRCMP_EQUAL("POST", request.method.c_str());
    STRCMP_EQUAL("/a/b?c=d", request.target.c_str());
    STRCMP_EQUAL("body", request.body.c_str());
    STRCMP_EQUAL("acme", value(request.headers, "X-Tenant").c_str());
    STRCMP_EQUAL("i-1", value(request.headers, "X-Expect-Instance").c_str());
    STRCMP_EQUAL("800", value(request.headers, "X-Deadline-Ms").c_str());
    STRCMP_EQUAL("9c41", value(request.headers, "X-Request-Id").c_str());
    STRCMP_EQUAL("m", value(request.headers, "X-Model").c_str());
    STRCMP_EQUAL("a.example", value(request.headers, "Host").c_str());
    for (const auto* name : { "Api-Key", "Kv-From", "X-Kv-Backup", "X-Request-Priority", "X-Hop", "Last-Event-Id" })
        STRCMP_EQUAL_TEXT("absent", value(request.headers, name).c_str(), name);
}

TEST(PlatformCallProtocol, EncodesTheCopyTargetAndTheContinuedRun)
{
    ForwardFields fields;
    fields.lastEventId = 12;
    fields.copyTo = SocketAddress { "10.0.0.1", 80 };
    fields.continueFrom = RunMemorySource { { "10.0.0.2", 81 }, "9c41" };
    const auto request = protocol.encodeForward({}, fields);
    STRCMP_EQUAL("12", value(request.headers, "Last-Event-Id").c_str());
    STRCMP_EQUAL("10.0.0.1:80", value(request.headers, "X-Kv-Backup").c_str());
    STRCMP_EQUAL("10.0.0.2:81/9c41", value(request.headers, "Kv-From").c_str());
}

TEST(PlatformCallProtocol, DecodesResponseHeaders)
{
    HttpResponse shed { 503, { { "X-Not-Executed", "1" } }, "" };
    CHECK(protocol.decodeAnswer(shed).isNotRun);
    HttpResponse other { 421, { { "X-Not-Executed", "1" }, { "X-Instance-Id", "i-2" } }, "" };
    CHECK(protocol.decodeAnswer(other).isOtherIncarnation);
    HttpResponse statusAlone { 421, { { "X-Instance-Id", "i-2" } }, "" };
    CHECK_FALSE(protocol.decodeAnswer(statusAlone).isOtherIncarnation);
    HttpResponse good { 200, { { "X-Response-Signature", "s" }, { "X-Request-Id", "9c41" } }, "" };
    const auto fields = protocol.decodeAnswer(good);
    CHECK(fields.isSigned && !fields.isNotRun && !fields.isOtherIncarnation);
    STRCMP_EQUAL("9c41", fields.requestId.c_str());
}

// Guards against treating a run that is gone, or an order that is under way, like a target without room.
TEST(PlatformCallProtocol, DistinguishesTheRejectionsOfACopy)
{
    CHECK(protocol.decodeMoveRun({ 200, {}, "" }).status == MoveRunStatus::Copied);
    CHECK(protocol.decodeMoveRun({ 404, {}, "" }).status == MoveRunStatus::UnknownRun);
    CHECK(protocol.decodeMoveRun({ 409, {}, "" }).status == MoveRunStatus::Busy);
    CHECK(protocol.decodeMoveRun({ 503, {}, "" }).status == MoveRunStatus::Rejected);
    CHECK(protocol.decodeMoveRun({ 500, {}, "" }).status == MoveRunStatus::Other);
}

// Guards against a handle that changes the path of the request or splits its first line.
TEST(PlatformCallProtocol, EncodesTheHandleToDelete)
{
    const auto request = protocol.encodeReleaseHandle("h-1/2 x\r\n");
    STRCMP_EQUAL("DELETE", request.method.c_str());
    STRCMP_EQUAL("/api/kv-handle/h-1%2F2%20x%0D%0A", request.target.c_str());
}

TEST(PlatformCallProtocol, DecodesTheHandleOfAMovedRunWhateverItsType)
{
    STRCMP_EQUAL("h1", protocol.decodeMoveRun({ 200, {}, R"({"handle":"h1"})" }).handle.c_str());
    STRCMP_EQUAL("7", protocol.decodeMoveRun({ 503, {}, R"({"handle":7})" }).handle.c_str());
    const auto unreadable = protocol.decodeMoveRun({ 200, {}, "{" });
    CHECK(unreadable.isCopied);
    STRCMP_EQUAL("", unreadable.handle.c_str());
}

TEST(PlatformCallProtocol, DecodesAnEngineReport)
{
    const auto load = protocol.decodeLoad({ 200, {},
        R"({"waiting":2,"running":3,"kv-used":41000,"kv-total":55000,"runs":[["a",5,1,5],["b",6,2,5]],"next-token":9})" });
    CHECK(load.has_value());
    LONGS_EQUAL_TEXT(1, load->promptsInPrefill, "a run that is not listed is in prefill");
    LONGS_EQUAL(2, load->promptsWaiting);
    LONGS_EQUAL(2, load->generating);
    LONGS_EQUAL(41000, load->memoryUsed);
    LONGS_EQUAL(55000, load->memoryTotal);
}

TEST(PlatformCallProtocol, RejectsAnInvalidEngineReport)
{
    for (const auto* const text : { "", "[]", "{}", R"({"waiting":1,"running":1})", R"({"waiting":1,"runs":[]})",
             R"({"waiting":-1,"running":1,"runs":[]})", R"({"waiting":1,"running":-3,"runs":[]})",
             R"({"waiting":1,"running":"2","runs":[]})", R"({"waiting":1,"running":1.5,"runs":[]})",
             R"({"waiting":1,"running":1,"runs":7})" })
        CHECK_FALSE_TEXT(protocol.decodeLoad({ 200, {}, text }).has_value(), text);
    CHECK_FALSE(protocol.decodeLoad({ 503, {}, R"({"waiting":1,"running":1,"runs":[]})" }).has_value());
}

TEST(PlatformCallProtocol, LimitsExcessiveCountsOfAnEngineReport)
{
    const auto load = protocol.decodeLoad({ 200, {},
        R"({"waiting":18446744073709551615,"running":99999999,"kv-used":18446744073709551615,"kv-total":-1,"runs":[1]})" });
    CHECK(load.has_value());
    CHECK(load->promptsWaiting <= 1000 && load->promptsInPrefill <= 1000);
    CHECK(load->memoryUsed <= 1000000000);
    LONGS_EQUAL(0, load->memoryTotal);
    LONGS_EQUAL_TEXT(0,
        protocol.decodeLoad({ 200, {}, R"({"waiting":0,"running":1,"runs":[1,2,3]})" })->promptsInPrefill,
        "the list has more runs than are running");
}

TEST(PlatformCallProtocol, EncodesRetryAfterInFractionsOfASecond)
{
    STRCMP_EQUAL("0.250", protocol.encodeRetryAfter(Milliseconds { 250 }).value.c_str());
}

TEST(PlatformCallProtocol, DecodesADecimalRateLimit)
{
    const auto limitOf = [this](const std::string& text) {
        return protocol.decodeAnswer({ 200, { { "Server-Limit", text } }, "" }).limit;
    };
    DOUBLES_EQUAL(2.3, *limitOf("2.3").perSecond, 1e-9);
    DOUBLES_EQUAL(0, *limitOf("0").perSecond, 1e-9);
    DOUBLES_EQUAL(200, *limitOf("200").perSecond, 1e-9);
    const auto none = protocol.decodeAnswer({ 200, {}, "" }).limit;
    CHECK(!none.perSecond && none.unreadable.empty());
}

TEST(PlatformCallProtocol, ReportsAnInvalidRateLimitWithoutANumber)
{
    for (const auto* text : { "", "-1", "+1", "nan", "inf", "1e9", "1,5", "1.2.3", ".", " ", "0x1", "1 a second" }) {
        const auto limit = protocol.decodeAnswer({ 200, { { "Server-Limit", text } }, "" }).limit;
        CHECK_TEXT(!limit.perSecond && !limit.unreadable.empty(), text);
    }
    const auto decode = [this](const char* first, const char* second) {
        return protocol.decodeAnswer({ 200, { { "Server-Limit", first }, { "server-limit", second } }, "" }).limit;
    };
    DOUBLES_EQUAL(1, *decode("1", "1").perSecond, 1e-9);
    for (const auto& limit : { decode("1", "2"), decode("x", "2"), decode("2", "x") })
        CHECK(!limit.perSecond && !limit.unreadable.empty());
}

TEST(PlatformCallProtocol, DecodesTheLoadThatAnEndpointStates)
{
    const auto loadOf = [this](const std::string& text) {
        return protocol.decodeAnswer({ 200, { { "X-Server-Load", text } }, "" }).load;
    };
    const auto load = loadOf("3,2,4,250").load;
    CHECK(load.has_value());
    LONGS_EQUAL(3, load->running);
    LONGS_EQUAL(2, load->waiting);
    LONGS_EQUAL(4, load->slots);
    DOUBLES_EQUAL(2.5, *load->pace, 1e-9);
    CHECK(loadOf("0, 0, 8").load.has_value());
    CHECK_FALSE(loadOf("0,0,8").load->pace.has_value());
    const auto none = protocol.decodeAnswer({ 200, {}, "" }).load;
    CHECK(!none.load && none.unreadable.empty());
}

TEST(PlatformCallProtocol, IgnoresAnInvalidLoadOfAnEndpoint)
{
    for (const auto* text : { "", "1", "1,2", "1,2,0", "-1,2,3", "1,2,x", "1,2,3,", "1,2,3,0", "1,2,3,99999999",
             "1,2,3,100,5", "1,2,18446744073709551616", "1.5,2,3", "1,2,3,nan", "4000000000,0,1" }) {
        const auto stated = protocol.decodeAnswer({ 200, { { "X-Server-Load", text } }, "" }).load;
        CHECK_TEXT(!stated.load && !stated.unreadable.empty(), text);
    }
}

TEST(PlatformCallProtocol, DecodesTheBackOffOfAnEndpoint)
{
    const auto restOf = [this](const std::string& text) {
        return protocol.decodeAnswer({ 503, { { "Retry-After", text } }, "" }).backOff;
    };
    LONGS_EQUAL(3000, restOf("3").time->count());
    LONGS_EQUAL(801, restOf("0.8001").time->count());
    LONGS_EQUAL(0, restOf("0").time->count());
    LONGS_EQUAL(3'600'000, restOf("99999999999999999999").time->count());
    const HttpHeaders dated { { "Date", "Sun, 06 Nov 1994 08:49:37 GMT" },
        { "Retry-After", "Sun, 06 Nov 1994 08:49:41 GMT" } };
    LONGS_EQUAL(4000, protocol.decodeAnswer({ 503, dated, "" }).backOff.time->count());
    const HttpHeaders past { { "Date", "Sun, 06 Nov 1994 08:49:37 GMT" },
        { "Retry-After", "Sun, 06 Nov 1994 08:49:31 GMT" } };
    LONGS_EQUAL(0, protocol.decodeAnswer({ 503, past, "" }).backOff.time->count());
    const HttpHeaders twice { { "Retry-After", "1" }, { "retry-after", "2" } };
    LONGS_EQUAL(2000, protocol.decodeAnswer({ 503, twice, "" }).backOff.time->count());
    // In other responses Retry-After states when the caller may retry, or when a redirect may be followed.
    CHECK(!protocol.decodeAnswer({ 200, { { "Retry-After", "3" } }, "" }).backOff.time);
}

TEST(PlatformCallProtocol, IgnoresAnInvalidBackOff)
{
    for (const auto* text : { "", "-1", "nan", "inf", "1e9", "1,5", "soon", "Sun, 06 Nov 1994 08:49:41 GMT" }) {
        const auto backOff = protocol.decodeAnswer({ 503, { { "Retry-After", text } }, "" }).backOff;
        CHECK_TEXT(!backOff.time && !backOff.unreadable.empty(), text);
    }
}

TEST(PlatformCallProtocol, DecodesThatAnEndpointIsShuttingDown)
{
    CHECK(protocol.decodeAnswer({ 200, { { "Server-Leaving", "1" } }, "" }).isShuttingDown);
    CHECK(!protocol.decodeAnswer({ 200, { { "Server-Leaving", "0" } }, "" }).isShuttingDown);
    CHECK(!protocol.decodeAnswer({ 200, {}, "" }).isShuttingDown);
}
