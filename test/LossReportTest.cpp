#include "ctl/LossReport.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace lupinknot::internal;

TEST_GROUP(LossReport)
{
    LossReport report;

    void read(const std::string& text)
    {
        std::istringstream log(text);
        report.read(log);
    }

    static std::string line(const std::string& event, const std::string& fields)
    {
        return R"({"time_ms":1,"vm":"a","event":")" + event + R"(","request":"r1")" + (fields.empty() ? "" : ",")
            + fields + "}\n";
    }

    // Reads an admitted request with an objective of 4500 ms and a longest pause of 700 ms, then these lines.
    void readAdmittedRequest(const std::string& lines)
    {
        read(line("request.admitted", R"("objective_ms":4500,"longest_pause_ms":700,"prompt_tokens":5000)") + lines);
    }

    void checkOnlyOutcome(AttemptOutcome expected, bool hasReturned = false)
    {
        for (const auto& row : attemptOutcomeNames)
            LONGS_EQUAL_TEXT(row.value == expected ? 1 : 0, report.count(row.value, hasReturned), row.name.data());
    }
};

TEST(LossReport, AStreamAtItsLimitsIsInTime)
{
    readAdmittedRequest(line("stream.first-event", R"("since_admitted_ms":4500)")
        + line("stream.resumed", R"("pause_ms":700,"from_copy":true)")
        + line("stream.done", R"("outcome":"complete","status":200,"took_ms":9000)"));
    checkOnlyOutcome(AttemptOutcome::InTime);
}

TEST(LossReport, ALongPauseBeforeResumingFromACopyIsLateFromCopy)
{
    const auto first = line("stream.first-event", R"("since_admitted_ms":1000)");
    const auto done = line("stream.done", R"("outcome":"complete","status":200)");
    readAdmittedRequest(first + line("stream.resumed", R"("pause_ms":701,"from_copy":true)") + done);
    checkOnlyOutcome(AttemptOutcome::LateFromCopy);
}

TEST(LossReport, ALongPauseBeforeResumingWithPrefillIsLateFromPrefill)
{
    readAdmittedRequest(line("stream.sent", R"("from_copy":false,"after_event":0)")
        + line("stream.first-event", R"("since_admitted_ms":1000)") + line("stream.run-lost", R"("failure":"silent")")
        + line("stream.sent", R"("from_copy":false,"after_event":9)")
        + line("stream.resumed", R"("pause_ms":1701,"from_copy":false)")
        + line("stream.done", R"("outcome":"complete","status":200)"));
    checkOnlyOutcome(AttemptOutcome::LateFromPrefill);
    std::ostringstream out;
    LONGS_EQUAL(1, report.write(out));
    STRCMP_CONTAINS("1  runs lost: silent\n", out.str().c_str());
    STRCMP_CONTAINS("1  runs resumed with a new prefill, 5000 tokens\n", out.str().c_str());
}

TEST(LossReport, ALateFirstEventIsCountedAsSuch)
{
    readAdmittedRequest(line("stream.first-event", R"("since_admitted_ms":4501)")
        + line("stream.done", R"("outcome":"complete","status":200)"));
    checkOnlyOutcome(AttemptOutcome::LateFirstEvent);
}

TEST(LossReport, ReturnedAttemptsAreCountedSeparately)
{
    readAdmittedRequest(line("stream.returned", "") + line("stream.first-event", R"("since_admitted_ms":20)")
        + line("stream.done", R"("outcome":"complete","status":200)"));
    checkOnlyOutcome(AttemptOutcome::InTime, true);
}

TEST(LossReport, DistinguishesRefusalsFailuresServiceErrorsAndLateResponses)
{
    readAdmittedRequest(line("request.refused", R"("reason":"no-endpoint","status":503)"));
    checkOnlyOutcome(AttemptOutcome::Refused);
    readAdmittedRequest(line("request.refused", R"("reason":"timed-out","status":504)"));
    checkOnlyOutcome(AttemptOutcome::Failed);
    readAdmittedRequest(line("request.done", R"("outcome":"endpoint-status","status":500)"));
    checkOnlyOutcome(AttemptOutcome::ServiceError);
    readAdmittedRequest(line("request.done", R"("outcome":"answered","status":200,"took_ms":4501)"));
    checkOnlyOutcome(AttemptOutcome::LateResponse);
}

TEST(LossReport, AnAttemptWithoutAnEndCountsAsVmLost)
{
    readAdmittedRequest(line("stream.sent", R"("from_copy":false,"after_event":0)"));
    checkOnlyOutcome(AttemptOutcome::VmLost);
}

TEST(LossReport, AnAttemptWhoseCallerLeftIsNotCountedAsVmLost)
{
    readAdmittedRequest(line("stream.first-event", R"("since_admitted_ms":20)") + line("request.caller-gone", ""));
    checkOnlyOutcome(AttemptOutcome::CallerLeftDuringResponse);
}

TEST(LossReport, SkipsLinesWithoutAnEventAndEventsOfUnknownRequests)
{
    read("nonsense\n{\"event\":7}\n{}\n" + line("stream.sent", R"("after_event":"x")"));
    std::ostringstream out;
    LONGS_EQUAL(0, report.write(out));
}

TEST(LossReport, CountsRefusalsByReasonAndZoneEvenIfNotAdmitted)
{
    read(R"({"event":"process.started","vm":"v1","zone":"a"})"
         "\n"
         R"({"event":"request.refused","vm":"v1","request":"r9","reason":"no-configuration","status":503})"
         "\n"
         R"({"event":"stream.done","vm":"v2","request":"r8","outcome":"no-endpoint","status":503})"
         "\n"
         R"({"event":"stream.done","vm":"v1","request":"r7","outcome":"complete","status":200})"
         "\n");
    LONGS_EQUAL(2, report.refusals().size());
    LONGS_EQUAL(1, report.refusals().at("no-configuration in a"));
    LONGS_EQUAL(1, report.refusals().at("no-endpoint in an unknown zone"));
}

TEST(LossReport, CountsWaitsAndCallsToTheStoreByPurpose)
{
    read(R"({"event":"store.called","vm":"v1","purpose":"changes","table":"servers"})"
         "\n"
         R"({"event":"request.waits-for-place","vm":"v1","request":"r1","reason":"endpoints-busy"})"
         "\n");
    LONGS_EQUAL(1, report.storeCalls().at("changes servers"));
    LONGS_EQUAL(1, report.waits().at("capacity, after endpoints-busy"));
}

// Guards against a loss report that names losses but not why they ended streams.
TEST(LossReport, CountsWhyLostRunsWereNotContinued)
{
    readAdmittedRequest(line("stream.not-sent-on", R"("reason":"copy-gone","ends":false,"has_copy":false)")
        + line("stream.not-sent-on", R"("reason":"no-retry-left","ends":true,"has_copy":true)")
        + line("stream.done", R"("outcome":"endpoint-failed","status":0)"));
    LONGS_EQUAL(2, report.notContinued().size());
    LONGS_EQUAL(1, report.notContinued().at("copy-gone, from its copy"));
    LONGS_EQUAL(1, report.notContinued().at("no-retry-left, with a copy"));
}

TEST(LossReport, CountsAttemptsByRankOrganisationAndObjective)
{
    const std::string fields = R"("objective_ms":4000,"organisation":"acme","rank":0)";
    read(line("request.admitted", fields) + line("stream.first-event", R"("since_admitted_ms":4001)")
        + line("stream.done", R"("outcome":"complete","status":200)"));
    const auto counts = report.countsByGroup();
    LONGS_EQUAL(3, counts.size());
    for (const auto* group : { "rank 0", "organisation acme", "objective 4000 ms" }) {
        LONGS_EQUAL(1, counts.at(group).total);
        LONGS_EQUAL(1, counts.at(group).missed);
    }
    std::ostringstream out;
    report.write(out);
    STRCMP_CONTAINS("1  of 1 not in time: rank 0\n", out.str().c_str());
}
