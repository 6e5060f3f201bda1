#include "RelayHarness.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

// A full endpoint that rejects the first requests and sends bytes that answer nothing before its next response on the
// same connection.
class RepeatingEndpoint {
public:
    using Respond = std::function<void(ScriptedConnection&)>;

    RepeatingEndpoint(
        ScriptedEndpoint& endpoint, int rejections, std::string rejection, std::string repeated, Respond run)
        : m_rejections(rejections)
        , m_rejection(std::move(rejection))
        , m_repeated(std::move(repeated))
        , m_run(std::move(run))
    {
        endpoint.onRequest([this](ScriptedConnection& caller, const std::string&) { respond(caller); });
    }

    int runs() const { return m_runs; }

private:
    void respond(ScriptedConnection& caller)
    {
        if (std::exchange(m_hasRejectedOn[&caller], false))
            caller.send(m_repeated);
        if (m_rejections > 0) {
            --m_rejections;
            m_hasRejectedOn[&caller] = true;
            caller.send(m_rejection);
            return;
        }
        ++m_runs;
        m_run(caller);
    }

    int m_rejections;
    const std::string m_rejection;
    const std::string m_repeated;
    const Respond m_run;
    std::map<const ScriptedConnection*, bool> m_hasRejectedOn;
    int m_runs { 0 };
};

std::string bodyless(int status, const std::string& headerLines)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headerLines + "Content-Length: 0\r\n\r\n";
}

const std::string rejectedHead = "X-Request-Id: r1\r\nX-Not-Executed: full\r\n";
const std::string callTime = "1200";
const std::string streamText = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";

void answerCall(ScriptedConnection& caller) { caller.answer(200, signedHead, "done"); }

void answerStream(ScriptedConnection& caller)
{
    caller.beginStream(signedHead);
    caller.sendEvent(1);
    caller.sendEvent(2);
    caller.endStream();
}

} // namespace

// Guards against requests that run twice, or run although they were refused, because an endpoint repeats an answer or
// sends bytes that belong to no request.
TEST_GROUP(SecondAnswer)
{
    std::unique_ptr<RelayHarness> relay;

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        relay->addRoute("once", RequestKind::NonIdempotent, 1);
        relay->addRoute("stream", RequestKind::EventStream, 1);
    }

    void teardown() override { relay.reset(); }

    std::shared_ptr<TestCaller> call(const std::string& path, const std::string& id = "r1")
    {
        auto caller = relay->call(path, { { "X-Deadline-Ms", callTime } }, id);
        CHECK_TEXT(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }), "no answer came");
        return caller;
    }

    // The endpoint rejects the request once and then runs it; what it repeats before that must change nothing.
    void checkRunsOnce(
        const std::string& path, const std::string& rejection, const std::string& repeated, const std::string& body)
    {
        RepeatingEndpoint endpoint(
            relay->addEndpoint("e1"), 1, rejection, repeated, path == "/once/1" ? answerCall : answerStream);
        relay->configure();
        relay->list();
        const auto caller = call(path);
        LONGS_EQUAL(200, caller->head.status);
        STRCMP_EQUAL(body.c_str(), caller->body.c_str());
        LONGS_EQUAL(1, endpoint.runs());
        CHECK_FALSE(relay->daemon().directory().find("e1")->isRemoved());
    }

    // Another request is answered on the connection that the request then uses, and the bytes come before its answer.
    void checkIgnoresBytesBeforeAnswer(const std::string& path, const std::string& bytes, const std::string& body)
    {
        auto& scripted = relay->addEndpoint("e1");
        int runs = 0;
        scripted.onRequest([&](ScriptedConnection& caller, const std::string& request) {
            if (request.find("X-Request-Id: r0\r\n") != std::string::npos) {
                caller.answer(200, "X-Request-Id: r0\r\nX-Response-Signature: s\r\n", "first");
                return;
            }
            ++runs;
            caller.send(bytes);
            (path == "/once/1" ? answerCall : answerStream)(caller);
        });
        relay->configure();
        relay->list();
        LONGS_EQUAL(200, call("/once/1", "r0")->head.status);
        const auto caller = call(path);
        LONGS_EQUAL(200, caller->head.status);
        STRCMP_EQUAL(body.c_str(), caller->body.c_str());
        LONGS_EQUAL(1, runs);
        LONGS_EQUAL(1, scripted.connections().size());
        CHECK_FALSE(relay->daemon().directory().find("e1")->isRemoved());
    }

    void checkCallIgnores(const std::string& bytes) { checkIgnoresBytesBeforeAnswer("/once/1", bytes, "done"); }

    void checkStreamIgnores(const std::string& bytes) { checkIgnoresBytesBeforeAnswer("/stream/1", bytes, streamText); }

    void checkCallRunsOnce(const std::string& rejection, const std::string& repeated)
    {
        checkRunsOnce("/once/1", rejection, repeated, "done");
    }

    void checkStreamRunsOnce(const std::string& rejection, const std::string& repeated)
    {
        checkRunsOnce("/stream/1", rejection, repeated, streamText);
    }
};

TEST(SecondAnswer, ARepeatedRejectionDoesNotAnswerTheNextDeliveryOfACall)
{
    checkCallRunsOnce(bodyless(503, rejectedHead), bodyless(503, rejectedHead));
}

TEST(SecondAnswer, ARepeatedRejectionWithStatus429DoesNotAnswerTheNextDeliveryOfACall)
{
    checkCallRunsOnce(bodyless(429, rejectedHead), bodyless(429, rejectedHead));
}

TEST(SecondAnswer, ARepeatedRejectionDoesNotAnswerTheNextDeliveryOfAStream)
{
    checkStreamRunsOnce(bodyless(503, rejectedHead), bodyless(503, rejectedHead));
}

// Each further delivery goes on a connection that has not carried the request, without more open connections.
TEST(SecondAnswer, AFullEndpointIsAskedAgainOnOneConnectionAtATime)
{
    auto& scripted = relay->addEndpoint("e1");
    RepeatingEndpoint endpoint(scripted, 3, bodyless(503, rejectedHead), bodyless(503, rejectedHead), answerCall);
    relay->configure();
    relay->list();
    LONGS_EQUAL(200, call("/once/1")->head.status);
    LONGS_EQUAL(1, endpoint.runs());
    LONGS_EQUAL(4, scripted.connections().size());
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(relay->runUntil([&] { return scripted.connections()[i]->isClosedByPeer(); }));
}

// Another request may use the connection on which a request was rejected.
TEST(SecondAnswer, AConnectionCarriesOtherRequestsAfterARejection)
{
    auto& scripted = relay->addEndpoint("e1");
    scripted.onRequest([](ScriptedConnection& caller, const std::string& request) {
        if (request.find("X-Request-Id: r1\r\n") != std::string::npos)
            caller.send(bodyless(503, rejectedHead));
        else
            caller.answer(200, "X-Request-Id: r2\r\nX-Response-Signature: s\r\n", "done");
    });
    relay->configure();
    relay->list();
    const auto first = relay->call("/once/1", { { "X-Deadline-Ms", "100" } });
    CHECK(relay->runUntil([&] { return first->isWhole; }));
    LONGS_EQUAL(503, first->head.status);
    const auto connections = scripted.connections().size();
    LONGS_EQUAL(200, call("/once/1", "r2")->head.status);
    LONGS_EQUAL(connections, scripted.connections().size());
}

TEST(SecondAnswer, ARejectionThatNamesNoRequestDoesNotAnswerACall)
{
    checkCallIgnores(bodyless(503, "X-Not-Executed: full\r\n"));
}

TEST(SecondAnswer, ARejectionThatNamesNoRequestDoesNotAnswerAStream)
{
    checkStreamIgnores(bodyless(503, "X-Not-Executed: full\r\n"));
}

TEST(SecondAnswer, AnUnsignedErrorThatNamesNoRequestDoesNotAnswerACall) { checkCallIgnores(bodyless(503, "")); }

TEST(SecondAnswer, AnUnsignedErrorThatNamesNoRequestDoesNotAnswerAStream) { checkStreamIgnores(bodyless(503, "")); }

TEST(SecondAnswer, ASuccessThatNamesNoRequestDoesNotAnswerACall)
{
    checkCallIgnores(bodyless(200, "X-Response-Signature: s\r\n"));
}

TEST(SecondAnswer, ASuccessThatNamesNoRequestDoesNotAnswerAStream)
{
    checkStreamIgnores(
        "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: 24\r\n\r\nid: 1\ndata: other text\n\n");
}

TEST(SecondAnswer, A421ThatNamesNoRequestKeepsTheEndpointOfACall)
{
    checkCallIgnores(bodyless(421, "X-Not-Executed: 1\r\n"));
}

TEST(SecondAnswer, A421ThatNamesNoRequestKeepsTheEndpointOfAStream)
{
    checkStreamIgnores(bodyless(421, "X-Not-Executed: 1\r\n"));
}

TEST(SecondAnswer, ABare421DoesNotAnswerACall) { checkCallIgnores(bodyless(421, "")); }

// An answer to another request shows nothing about the endpoint either.
TEST(SecondAnswer, A421ForAnotherRequestKeepsTheEndpoint)
{
    checkCallIgnores(bodyless(421, "X-Request-Id: r0\r\nX-Not-Executed: 1\r\n"));
}

// Answers that belong to other requests come without end: the connection is given up.
TEST(SecondAnswer, AnswersToOtherRequestsEndTheConnectionWhenTheyDoNotEnd)
{
    auto& scripted = relay->addEndpoint("e1");
    scripted.onRequest([](ScriptedConnection& caller, const std::string&) {
        for (int i = 0; i < 100; ++i)
            caller.answer(200, "X-Request-Id: r0\r\nX-Response-Signature: s\r\n", "other");
    });
    relay->configure();
    relay->list();
    LONGS_EQUAL(502, call("/once/1")->head.status);
    CHECK(relay->runUntil([&] { return scripted.connections()[0]->isClosedByPeer(); }));
}

// Only a statement that the request was not run says so; a status alone does not.
TEST(SecondAnswer, A421WithoutTheStatementThatItWasNotRunIsNoPromise)
{
    RepeatingEndpoint endpoint(relay->addEndpoint("e1"), 1, bodyless(421, "X-Request-Id: r1\r\n"), "", answerCall);
    relay->configure();
    relay->list();
    LONGS_EQUAL(502, call("/once/1")->head.status);
    CHECK_FALSE(relay->daemon().directory().find("e1")->isRemoved());
}

TEST(SecondAnswer, A421OfAStreamWithoutTheStatementThatItWasNotRunIsNoPromise)
{
    RepeatingEndpoint endpoint(relay->addEndpoint("e1"), 1, bodyless(421, "X-Request-Id: r1\r\n"), "", answerStream);
    relay->configure();
    relay->list();
    LONGS_EQUAL(502, call("/stream/1")->head.status);
    CHECK_FALSE(relay->daemon().directory().find("e1")->isRemoved());
}
