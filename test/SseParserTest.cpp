#include "http/SseParser.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot::internal;

TEST_GROUP(SseParser)
{
    SseParser parser;
    std::vector<SseEvent> events;
};

TEST(SseParser, ParsesEventsFromPiecesOfAnySize)
{
    const std::string stream = "id: g:1\ndata: one\n\n: a comment\nevent: error\ndata: two\r\ndata: lines\r\n\r\n";
    for (const auto byte : stream)
        CHECK(parser.feed(std::string(1, byte), events));
    LONGS_EQUAL(2, events.size());
    STRCMP_EQUAL("g:1", events[0].id.c_str());
    STRCMP_EQUAL("one", events[0].data.c_str());
    STRCMP_EQUAL("error", events[1].name.c_str());
    STRCMP_EQUAL("two\nlines", events[1].data.c_str());
}

TEST(SseParser, DropsAnEventWithoutData)
{
    parser.feed("id: g:1\n\n", events);
    LONGS_EQUAL(0, events.size());
}

TEST(SseParser, RefusesAnEventThatIsTooLarge)
{
    CHECK_FALSE(parser.feed("data: " + std::string(SseParser::maxEventBytes, 'x'), events));
}
