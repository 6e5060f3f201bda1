// Requests through the relay to endpoints whose answers end early, at each of their bytes.
#include "CutAnswer.h"
#include "RelayHarness.h"

#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

// The endpoints cut their first answer to each request.
TEST_GROUP(CutRelayedAnswer)
{
    static constexpr unsigned eventCount = 3;

    std::unique_ptr<RelayHarness> relay;
    std::vector<ScriptedEndpoint*> endpoints;
    // Another VM, which answers in place of the endpoints that it has connected to.
    std::unique_ptr<ScriptedEndpoint> otherVm;
    // What the first answer to a request consists of.
    std::string firstBytes;
    Close close { Close::Orderly };
    std::string wholeAnswerFields;
    // Deliveries of each request, by the fields that name it.
    std::map<std::string, unsigned> deliveries;
    std::set<const ScriptedConnection*> usedConnections;
    unsigned cutsOnKeptConnections { 0 };
    unsigned requestCount { 0 };

    void setup() override
    {
        relay = std::make_unique<RelayHarness>();
        relay->settings.minHedgeDelay = relay->settings.maxHedgeDelay = Milliseconds { 100000 };
        relay->settings.retrySlack = 1e6;
        relay->addRoute("once", RequestKind::NonIdempotent, 3);
        relay->addRoute("again", RequestKind::Idempotent, 3);
        relay->addRoute("stream", RequestKind::EventStream, 3);
        for (const auto* const id : { "e1", "e2" }) {
            endpoints.push_back(&relay->addEndpoint(id));
            endpoints.back()->onRequest(answersInTurn());
        }
        relay->configure();
        relay->list();
    }

    void teardown() override
    {
        otherVm.reset();
        relay.reset();
    }

    static std::string eventsFrom(unsigned first)
    {
        std::string text;
        for (auto id = first; id <= eventCount; ++id)
            text += "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
        return text;
    }

    ScriptedConnection::OnRequest answersInTurn()
    {
        return [this](ScriptedConnection& connection, const std::string& request) {
            if (request.find("CONNECT") == 0)
                connection.send("HTTP/1.1 200 Connection established\r\n\r\n");
            // Probes are not answered.
            else if (request.find("X-Request-Id: ") != std::string::npos)
                answer(connection, request);
        };
    }

    void answer(ScriptedConnection & connection, const std::string& request)
    {
        const auto fields = signedHeadFor(request);
        const bool isKept = !usedConnections.insert(&connection).second;
        const bool isCut = ++deliveries[fields] == 1 && fields.find("whole") == std::string::npos;
        if (isCut) {
            cutsOnKeptConnections += isKept;
            sendsAndEnds(firstBytes, close)(connection, request);
        } else if (request.find("/stream/") == std::string::npos) {
            connection.answer(200, fields + wholeAnswerFields, "whole");
        } else {
            const std::string name = "Last-Event-Id: ";
            const auto last = request.find(name);
            const auto first = last == std::string::npos ? 0 : std::stoul(request.substr(last + name.size()));
            connection.answer(200, fields + wholeAnswerFields, eventsFrom(static_cast<unsigned>(first) + 1));
        }
    }

    std::shared_ptr<TestCaller> send(const std::string& kind, const std::string& id)
    {
        auto caller = relay->call("/" + kind + "/" + id, { { "X-Deadline-Ms", "5000" } }, id);
        CHECK(relay->runUntil([&] { return caller->isWhole || caller->isBroken; }));
        caller->connection->close();
        return caller;
    }

    // Makes the VM connect to the endpoints through the other one.
    void partition()
    {
        otherVm = std::make_unique<ScriptedEndpoint>(relay->daemon().ioContext());
        otherVm->onRequest(answersInTurn());
        relay->daemon().setOtherVms({ { { "127.0.0.1", otherVm->port() }, "a" } });
        relay->list();
        for (auto* const endpoint : endpoints)
            endpoint->crash();
        CHECK(relay->runUntil([this] {
            send("again", "whole" + std::to_string(++requestCount));
            return relay->daemon().directory().isPartitioned();
        }));
    }

    static std::vector<Framing> framingsOf(const std::string& body)
    {
        const auto half = body.size() / 2;
        const auto length = std::to_string(body.size());
        char chunks[200];
        std::snprintf(chunks, sizeof(chunks), "%zx;a=b\r\n%s\r\n%04zx\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", half,
            body.substr(0, half).c_str(), body.size() - half, body.substr(half).c_str());
        return {
            { "length", okLine, "Content-Length: " + length + "\r\n\r\n", body },
            { "chunks", okLine, "Transfer-Encoding: chunked\r\n\r\n", chunks },
            { "connection", okLine, "\r\n", body, true },
            { "interim response, connection", "HTTP/1.1 100 Continue\r\n\r\n" + okLine, "\r\n", body, true },
            { "rejection", "HTTP/1.1 503 X\r\n", "X-Not-Executed: 1\r\nContent-Length: 4\r\n\r\n", "full" },
            { "error", "HTTP/1.1 500 X\r\n", "Content-Length: 4\r\n\r\n", "oops" },
        };
    }

    void checkCut(const std::string& kind, const std::string& whole, const std::string& id, const std::string& name)
    {
        const auto caller = send(kind, id);
        CHECK_TEXT(caller->isWhole, name.c_str());
        if (kind == "once") {
            LONGS_EQUAL_TEXT(502, caller->head.status, name.c_str());
            STRCMP_EQUAL_TEXT("unknown", caller->header("Lupinknot-Outcome").c_str(), name.c_str());
            STRCMP_EQUAL_TEXT("absent", caller->header("X-Response-Signature").c_str(), name.c_str());
            LONGS_EQUAL_TEXT(1, deliveries[fieldsOf(id)], name.c_str());
            return;
        }
        LONGS_EQUAL_TEXT(200, caller->head.status, name.c_str());
        STRCMP_EQUAL_TEXT(whole.c_str(), caller->body.c_str(), name.c_str());
        LONGS_EQUAL_TEXT(2, deliveries[fieldsOf(id)], name.c_str());
    }

    static std::string fieldsOf(const std::string& id)
    {
        return "X-Request-Id: " + id + "\r\nX-Response-Signature: s\r\n";
    }

    // Without a length, an answer may end at any byte of its body, and a stream after any event.
    static bool mayBeComplete(
        const Framing& framing, const std::string& kind, const std::string& text, std::size_t minBytes)
    {
        const bool isOpenStream = kind == "stream" && framing.endsWithConnection;
        return text.size() >= minBytes && (!isOpenStream || text.substr(text.size() - 2) == "\n\n");
    }

    // Cuts the answers of each framing wherever they are not complete.
    void checkCuts(const std::string& kind, bool isKept, bool isThroughVm = false)
    {
        const std::string whole = kind == "stream" ? eventsFrom(1) : "whole";
        wholeAnswerFields = isKept ? "" : "Connection: close\r\n";
        for (const auto& framing : framingsOf(whole)) {
            for (const auto way : { Close::Orderly, Close::Reset }) {
                close = way;
                for (std::size_t cut = 0;; ++cut) {
                    const auto id = "r" + std::to_string(++requestCount);
                    const auto text = framing.text(fieldsOf(id));
                    if (cut > text.size())
                        break;
                    firstBytes = text.substr(0, cut);
                    const bool hasNoEnd = isThroughVm && framing.endsWithConnection;
                    if (!hasNoEnd && mayBeComplete(framing, kind, firstBytes, framing.minBytes(fieldsOf(id), way)))
                        continue;
                    if (isKept)
                        send(kind, "whole" + id);
                    checkCut(kind, whole, id, kind + ", " + caseName(framing.name, way, cut));
                }
            }
        }
        CHECK_EQUAL(isKept, cutsOnKeptConnections > 0);
    }
};

TEST(CutRelayedAnswer, IsNoAnswerToACallThatMustNotRunTwice)
{
    checkCuts("once", false);
    checkCuts("once", true);
}

TEST(CutRelayedAnswer, IsReplacedForACallThatMayRunAgain)
{
    checkCuts("again", false);
    checkCuts("again", true);
}

TEST(CutRelayedAnswer, IsContinuedForAStream)
{
    checkCuts("stream", false);
    checkCuts("stream", true);
}

TEST(CutRelayedAnswer, IsNoAnswerThroughAnotherVm)
{
    partition();
    for (const auto* const kind : { "once", "again", "stream" })
        checkCuts(kind, true, true);
}
