#include "ctl/RequestTrace.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace lupinknot::internal;

TEST_GROUP(RequestTrace)
{
    RequestTrace trace { "r1" };

    void read(const std::string& text)
    {
        std::istringstream log(text);
        trace.read(log);
    }

    std::string writeTrace(std::size_t expectedLines)
    {
        std::ostringstream out;
        LONGS_EQUAL(expectedLines, trace.write(out));
        return out.str();
    }
};

TEST(RequestTrace, SortsEventsOfSeveralVmsByTime)
{
    read(R"({"time_ms":120,"vm":"b","event":"stream.returned","request":"r2","earlier_request":"r1"})"
         "\n");
    read("prefix {\"time_ms\":100,\"vm\":\"a\",\"event\":\"request.admitted\",\"request\":\"r1\"}\nno line of ours\n");
    STRCMP_EQUAL("+0 ms {\"time_ms\":100,\"vm\":\"a\",\"event\":\"request.admitted\",\"request\":\"r1\"}\n"
                 "+20 ms {\"time_ms\":120,\"vm\":\"b\",\"event\":\"stream.returned\",\"request\":\"r2\","
                 "\"earlier_request\":\"r1\"}\n",
        writeTrace(2).c_str());
}

TEST(RequestTrace, ShowsTheNewestStateOfTheVmBeforeTheRequest)
{
    read(R"({"time_ms":10,"vm":"a","event":"config.applied","config_version":4}
{"time_ms":50,"vm":"a","event":"config.applied","config_version":7}
{"time_ms":60,"vm":"b","event":"config.applied","config_version":8}
{"time_ms":100,"vm":"a","event":"request.refused","request":"r1"}
{"time_ms":110,"vm":"a","event":"config.applied","config_version":9}
)");
    STRCMP_EQUAL(
        "  VM state, 50 ms old: {\"time_ms\":50,\"vm\":\"a\",\"event\":\"config.applied\",\"config_version\":7}\n"
        "+0 ms {\"time_ms\":100,\"vm\":\"a\",\"event\":\"request.refused\",\"request\":\"r1\"}\n",
        writeTrace(1).c_str());
}

TEST(RequestTrace, WritesNothingForAnUnknownRequest) { STRCMP_EQUAL("", writeTrace(0).c_str()); }
