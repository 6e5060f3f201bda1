// Answers whose status, fields, length or coding cannot be understood: none of them is passed on as an answer.
#include "RelayHarness.h"
#include "ScriptedEndpoint.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

const std::string okLine = "HTTP/1.1 200 OK\r\n";
const std::string length = "Content-Length: 5\r\n";
const std::string chunkedBody = "5\r\nwhole\r\n0\r\n\r\n";

std::string withStatus(const std::string& status)
{
    return "HTTP/1.1 " + status + " OK\r\n" + signedHead + length + "\r\nwhole";
}

std::string withField(const std::string& field) { return okLine + signedHead + length + field + "\r\n\r\nwhole"; }

std::string withFraming(const std::string& fields, const std::string& body, const std::string& statusLine = okLine)
{
    return statusLine + signedHead + fields + "\r\n" + body;
}

std::vector<std::string> malformedStatuses()
{
    std::vector<std::string> answers;
    for (const auto* const status :
        { "000", "0", "20", "2000", "+20", "099", "0200", "20x", "", "-200", "101", "600", "999" })
        answers.push_back(withStatus(status));
    answers.push_back("HTTP/1.1200 OK\r\n" + signedHead + length + "\r\nwhole");
    return answers;
}

std::vector<std::string> malformedFields()
{
    using namespace std::string_literals;
    std::vector<std::string> answers;
    for (const auto& field : { "X Name: 1"s, "X-Name : 1"s, " X-Name: 1\r\nX-Other: 1"s, "X\x01Name: 1"s,
             "X\x7fName: 1"s, "X\0Name: 1"s, "X-N\xc3\xa4me: 1"s, "X(Name): 1"s, ": 1"s, "X-Name"s, "X-Name: a\0b"s,
             "X-Name: a\x01b"s, "X-Name: a\rb"s, "X-Name: a\rX-Other: b"s })
        answers.push_back(withField(field));
    return answers;
}

std::vector<std::string> malformedFramings()
{
    std::vector<std::string> answers;
    for (const auto* const coding : { "xchunked", "chunked, chunked", "gzip, chunked", "gzip", "chunked, gzip",
             "identity", "chunked;a=b", "chunked x", "" })
        answers.push_back(withFraming("Transfer-Encoding: " + std::string(coding) + "\r\n", chunkedBody));
    answers.push_back(withFraming("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunkedBody));
    answers.push_back(withFraming("Transfer-Encoding: chunked\r\n", chunkedBody, "HTTP/1.0 200 OK\r\n"));
    answers.push_back(withFraming("Transfer-Encoding: chunked\r\n" + length, chunkedBody));
    answers.push_back(withFraming(length + "Transfer-Encoding: chunked\r\n", chunkedBody));
    for (const auto* const stated : { "5x", "-5", "+5", "5, 6", "0x5", "99999999999999999999", "" })
        answers.push_back(withFraming("Content-Length: " + std::string(stated) + "\r\n", "whole"));
    answers.push_back(withFraming(length + "Content-Length: 4\r\n", "whole"));
    return answers;
}

// White space that a reader of the protocol has to skip, and any case.
std::vector<std::string> wellFormedAnswers()
{
    return { withStatus("200"), withField("X-Name:"), withField("X-Name: \t a\tb "), withField("x!#$%&'*+-.^_`|~9: 1"),
        withFraming("transfer-encoding:  Chunked \r\n", chunkedBody), withFraming("content-length: 005\r\n", "whole") };
}

std::string printable(const std::string& text)
{
    std::string printed;
    for (const auto character : text)
        printed += character >= ' ' && character <= '~' ? character : '~';
    return printed;
}

} // namespace

TEST_GROUP(MalformedAnswer)
{
    std::unique_ptr<RelayHarness> relay;
    ScriptedEndpoint* endpoint { nullptr };
    unsigned requestCount { 0 };

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        relay->settings.minHedgeDelay = relay->settings.maxHedgeDelay = Milliseconds { 100000 };
        relay->settings.retrySlack = 1e6;
        for (const auto kind : { RequestKind::NonIdempotent, RequestKind::Idempotent, RequestKind::EventStream })
            relay->addRoute("k" + std::to_string(static_cast<int>(kind)), kind, 1);
        endpoint = &relay->addEndpoint("e1");
        relay->configure();
        relay->list();
    }

    void teardown() override { relay.reset(); }

    void endpointAnswers(const std::string& bytes)
    {
        endpoint->onRequest([bytes](ScriptedConnection& connection, const std::string&) {
            connection.send(bytes);
            connection.close();
        });
    }

    std::shared_ptr<TestCaller> ask(const std::string& bytes)
    {
        endpointAnswers(bytes);
        auto caller = std::make_shared<TestCaller>();
        caller->connection = ClientConnection::open(relay->daemon().ioContext(), { "127.0.0.1", endpoint->port() }, {});
        caller->connection->send({ "POST", "/x", { { "Host", "h" }, { "X-Request-Id", "r1" } }, "body" }, caller);
        CHECK(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }));
        return caller;
    }

    void checkMalformed(const std::vector<std::string>& answers)
    {
        for (const auto& answer : answers) {
            CHECK_TEXT(!ask(answer)->isWhole, printable(answer).c_str());
            for (const auto kind : { RequestKind::NonIdempotent, RequestKind::Idempotent, RequestKind::EventStream })
                checkNotPassedOn(kind, answer);
        }
    }

    void checkNotPassedOn(RequestKind kind, const std::string& answer)
    {
        endpointAnswers(answer);
        const auto path = "/k" + std::to_string(static_cast<int>(kind)) + "/" + std::to_string(++requestCount);
        const auto caller = relay->call(path, { { "X-Deadline-Ms", "3000" } });
        CHECK(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }));
        const auto name = path + ": " + printable(answer) + ": " + caller->body;
        CHECK_TEXT(caller->head.status >= 500, name.c_str());
        STRCMP_EQUAL_TEXT("absent", caller->header("X-Response-Signature").c_str(), name.c_str());
    }
};

// Guards against a status that is none and reaches the caller as an answer.
TEST(MalformedAnswer, HasNoStatus) { checkMalformed(malformedStatuses()); }

// Guards against a head that is passed on with a line that is no field, or whose body is taken from elsewhere.
TEST(MalformedAnswer, HasALineThatIsNoField) { checkMalformed(malformedFields()); }

// Guards against a body under a coding that nobody here can undo, passed on with the coding's field dropped.
TEST(MalformedAnswer, HasALengthOrACodingThatCannotBeUnderstood) { checkMalformed(malformedFramings()); }

TEST(MalformedAnswer, IsNotFoundInUnusualButValidHeads)
{
    for (const auto& answer : wellFormedAnswers()) {
        const auto caller = ask(answer);
        CHECK_TEXT(caller->isWhole, printable(answer).c_str());
        STRCMP_EQUAL_TEXT("whole", caller->body.c_str(), printable(answer).c_str());
    }
}

// Guards against an overflow: the connection counted as closed by its peer, or as kept for ever.
TEST(MalformedAnswer, AnEndlessTimeOfAKeptConnectionIsLimited)
{
    for (const auto* const seconds : { "9223372036854775807", "9223372036854775", "86401" }) {
        const auto caller = ask(withField("Keep-Alive: timeout=" + std::string(seconds)));
        CHECK(caller->isWhole);
        LONGS_EQUAL_TEXT(86'400'000, caller->connection->peerIdleTimeout()->count(), seconds);
    }
    const auto caller = ask(withField("Keep-Alive: timeout=-9223372036854775808"));
    LONGS_EQUAL(0, caller->connection->peerIdleTimeout()->count());
}
