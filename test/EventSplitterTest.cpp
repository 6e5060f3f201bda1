#include "relay/EventSplitter.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot::internal;

TEST_GROUP(EventSplitter)
{
    EventSplitter splitter;
    std::vector<CompleteEvent> events;
};

TEST(EventSplitter, PreservesAllBytesWhenFedByteByByte)
{
    const std::string stream = "id: 4\ndata: one\n\n: comment\n\nid:5\r\ndata: two\r\ndata: lines\r\n\r\n";
    for (const auto byte : stream)
        CHECK(splitter.feed(std::string(1, byte), events));
    LONGS_EQUAL(2, events.size());
    LONGS_EQUAL(4, events[0].id);
    LONGS_EQUAL(5, events[1].id);
    STRCMP_EQUAL(stream.c_str(), (events[0].bytes + events[1].bytes).c_str());
    CHECK(splitter.incompleteBytes().empty());
}

TEST(EventSplitter, WithholdsAnIncompleteEvent)
{
    CHECK(splitter.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n", events));
    LONGS_EQUAL(1, events.size());
    STRCMP_EQUAL("id: 2\ndata: b\n", splitter.incompleteBytes().c_str());
}

TEST(EventSplitter, RejectsANonNumericId) { CHECK_FALSE(splitter.feed("id: x1\ndata: a\n\n", events)); }

TEST(EventSplitter, RejectsAnOversizedEvent)
{
    CHECK_FALSE(splitter.feed("data: " + std::string(EventSplitter::maxEventBytes, 'x'), events));
}
