#include "RelayHarness.h"
#include "relay/EndpointDirectory.h"
#include "rollout/RolloutAggregator.h"
#include "rollout/RolloutJudge.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

const RolloutOrder order { "s", "v2", Milliseconds { 10000 }, 7 };

// Evidence of a single route.
VersionEvidence evidenceOf(const AnswerCounts& present, const AnswerCounts& candidate, const std::string& route = "r")
{
    VersionEvidence evidence;
    evidence.set(route, { present, candidate });
    return evidence;
}

} // namespace

TEST_GROUP(Rollout)
{
    Milliseconds now { 100000 };
    // One VM of five. Its part of the fixed number of 50 is 10, of which it spends a share of 0.8: eight.
    const RolloutParameters parameters { { 0.1, 50 }, 0.2, "" };
    Rollout rollout { order, parameters };

    bool isSentToCandidate() { return rollout.choose(now).admits("v2"); }

    int exhaustBudget()
    {
        int sent = 0;
        while (sent < 1000 && isSentToCandidate())
            ++sent;
        return sent;
    }
};

TEST(Rollout, SendsNothingToTheCandidateBeforeAnAggregatorPermitsIt)
{
    CHECK_FALSE(isSentToCandidate());
    rollout.applyDirective(RolloutDirective::Try, now);
    CHECK(isSentToCandidate());
}

TEST(Rollout, LimitsCandidateRequestsToItsPartOfTheBudget)
{
    rollout.applyDirective(RolloutDirective::Try, now);
    const auto fixed = exhaustBudget();
    CHECK_TEXT(fixed == 8 || fixed == 9, "expected 0.8 of a fifth of 50, rounded up or down");
    for (int i = 0; i < 100; ++i)
        rollout.noteRequest();
    LONGS_EQUAL_TEXT(8, exhaustBudget(), "expected 0.8 of a tenth of 100 requests");
}

TEST(Rollout, PermissionExpiresWhenNoAggregatorAnswers)
{
    rollout.applyDirective(RolloutDirective::Try, now);
    now += Rollout::permissionLifetime;
    CHECK_FALSE(isSentToCandidate());
}

TEST(Rollout, AStopIsFinalWhateverOtherAggregatorsAnswer)
{
    rollout.applyDirective(RolloutDirective::Stop, now);
    rollout.applyDirective(RolloutDirective::Try, now);
    CHECK_FALSE(isSentToCandidate());
}

TEST(Rollout, OnlyTheFirstDecisionCounts)
{
    rollout.decide(RolloutDecision::RolledBack, now);
    rollout.decide(RolloutDecision::Completed, now);
    rollout.applyDirective(RolloutDirective::Try, now);
    CHECK_FALSE(isSentToCandidate());
    CHECK(rollout.provenChoice(now).admits("v1"));
}

TEST(Rollout, ACompletedCandidateServesAloneUntilTheOthersHaveLeftTheList)
{
    rollout.decide(RolloutDecision::Completed, now);
    CHECK(rollout.provenChoice(now).admits("v2"));
    CHECK_FALSE(rollout.provenChoice(now).admits("v1"));
    now += Rollout::replacedVersionExclusionTime;
    CHECK_TEXT(rollout.provenChoice(now).admits("v3"),
        "expected another version to be admitted: it may come without an order");
}

// Guards against streams, or copies of their runs, that change their version because a rollout is about to complete.
TEST(Rollout, AStreamContinuesOnlyWhereItsVersionMayStillServe)
{
    CHECK(rollout.admitsContinuation("v1", now));
    CHECK_FALSE_TEXT(rollout.admitsContinuation("v2", now), "not permitted yet");
    rollout.applyDirective(RolloutDirective::Try, now);
    CHECK(rollout.admitsContinuation("v2", now));
    rollout.applyDirective(RolloutDirective::Ready, now);
    CHECK(rollout.admitsContinuation("v1", now));
    CHECK_FALSE(rollout.isExcluded("v1", now));
    rollout.decide(RolloutDecision::Completed, now);
    CHECK(rollout.admitsContinuation("v2", now));
    CHECK(rollout.isExcluded("v1", now));
}

TEST(Rollout, AStreamOfAStoppedCandidateDoesNotContinue)
{
    rollout.applyDirective(RolloutDirective::Try, now);
    rollout.applyDirective(RolloutDirective::Stop, now);
    CHECK_FALSE(rollout.admitsContinuation("v2", now));
    CHECK(rollout.isExcluded("v2", now));
    CHECK_FALSE(rollout.isExcluded("v1", now));
}

// Guards against continuations that send a bad candidate more than its share of the requests.
TEST(Rollout, ContinuationsAtACandidateCountAsExposed)
{
    rollout.applyDirective(RolloutDirective::Try, now);
    const auto before = rollout.exposed();
    CHECK(rollout.tryContinueAtCandidate(now));
    LONGS_EQUAL(before + 1, rollout.exposed());
    constexpr int moreThanTheBudget = 1000;
    for (int i = 0; i < moreThanTheBudget; ++i)
        rollout.tryContinueAtCandidate(now);
    CHECK_FALSE(rollout.tryContinueAtCandidate(now));
}

TEST_GROUP(RolloutJudge) {};

TEST(RolloutJudge, GivesNoVerdictOnFewAnswers)
{
    CHECK(judge(evidenceOf({ 100, 1 }, { 3, 1 })) == Judgement::Open);
    CHECK(judge(evidenceOf({ 10, 0 }, { 30, 15 })) == Judgement::Open);
}

TEST(RolloutJudge, CandidateThatFailsMoreThanThePresentVersionIsBad)
{
    CHECK(judge(evidenceOf({ 100, 1 }, { 12, 6 })) == Judgement::Bad);
}

TEST(RolloutJudge, CandidateThatFailsOnOneRouteIsBad)
{
    auto evidence = evidenceOf({ 300, 3 }, { 100, 1 });
    evidence.set("other", { { 60, 1 }, { 12, 7 } });
    CHECK(judge(evidence) == Judgement::Bad);
}

TEST(RolloutJudge, FailuresOfBothVersionsDoNotMakeTheCandidateBad)
{
    CHECK(judge(evidenceOf({ 300, 90 }, { 50, 16 })) != Judgement::Bad);
}

TEST(RolloutJudge, CandidateIsGoodAfterAsManyAnswersAsADayHas)
{
    CHECK(judge(evidenceOf({ 400, 4 }, { 80, 1 })) == Judgement::Good);
    CHECK(isAcceptable(evidenceOf({ 100, 1 }, { 45, 0 })));
    CHECK_FALSE(isAcceptable(evidenceOf({ 100, 1 }, { 10, 0 })));
}

TEST_GROUP(RolloutAggregator)
{
    Milliseconds now { 100000 };
    RolloutAggregator aggregator { order, now };
};

TEST(RolloutAggregator, CountsAProcessOnceHoweverOftenItReports)
{
    for (int i = 0; i < 3; ++i)
        aggregator.addReport("vm-1/1", evidenceOf({ 10, 0 }, { 2, 1 }), false);
    aggregator.addReport("vm-1/1", evidenceOf({ 5, 0 }, { 1, 0 }), false);
    aggregator.addReport("vm-1/2", evidenceOf({ 3, 0 }, { 1, 1 }), false);
    LONGS_EQUAL(3, aggregator.evidence().total().candidate.answers);
    LONGS_EQUAL(13, aggregator.evidence().total().present.answers);
}

TEST(RolloutAggregator, PassesOnTheVerdictOfAnotherAggregator)
{
    aggregator.addReport("vm-1/1", {}, true);
    CHECK(aggregator.directive() == RolloutDirective::Stop);
    CHECK(aggregator.dueDecision(now) == RolloutDecision::RolledBack);
}

TEST(RolloutAggregator, CompletesAGoodCandidateNearTheEndOfItsTime)
{
    aggregator.addReport("vm-1/1", evidenceOf({ 400, 4 }, { 80, 1 }), false);
    CHECK_FALSE(aggregator.dueDecision(now).has_value());
    now += Milliseconds { 9000 };
    CHECK(aggregator.dueDecision(now) == RolloutDecision::Completed);
}

TEST(RolloutAggregator, WithLittleEvidenceWaitsForOthersAndRollsBackAtTheEnd)
{
    aggregator.addReport("vm-1/1", evidenceOf({ 4, 0 }, { 1, 0 }), false);
    now += Milliseconds { 9500 };
    CHECK_FALSE(aggregator.dueDecision(now).has_value());
    now += Milliseconds { 300 };
    CHECK(aggregator.dueDecision(now) == RolloutDecision::RolledBack);
}

TEST_GROUP(RolloutOnRelay)
{
    RelayHarness relay;

    void setup() override
    {
        relay.settings.retrySlackShare = 1;
        relay.addRoute("call", RequestKind::Idempotent, 2);
        relay.addEndpoint("old", "a").onRequest(answers(200));
        relay.addEndpoint("new", "a", "v2").onRequest(answers(500));
        relay.configure();
        relay.list();
        relay.daemon().beginRollout(order);
    }

    static ScriptedConnection::OnRequest answers(int status)
    {
        return [status](ScriptedConnection& connection, const std::string& request) {
            const auto id = request.substr(request.find("X-Request-Id: ") + 14);
            connection.answer(status,
                "X-Request-Id: " + id.substr(0, id.find('\r')) + "\r\nX-Response-Signature: s\r\n",
                std::to_string(status));
        };
    }

    std::string call(const std::string& id)
    {
        const auto caller = relay.call("/call/1", {}, id);
        CHECK(relay.runUntil([&] { return caller->isWhole || caller->isBroken; }));
        return caller->body;
    }
};

TEST(RolloutOnRelay, SendsNothingToTheCandidateBeforeItIsPermitted)
{
    for (int i = 0; i < 20; ++i)
        STRCMP_EQUAL("200", call("r" + std::to_string(i)).c_str());
    const auto& evidence = relay.daemon().rollouts().find("s")->evidence();
    LONGS_EQUAL(20, evidence.total().present.answers);
    LONGS_EQUAL(0, evidence.total().candidate.answers);
}

TEST(RolloutOnRelay, ACallThatTheCandidateFailsIsAnsweredByThePresentVersion)
{
    auto& rollout = *relay.daemon().rollouts().find("s");
    rollout.applyDirective(RolloutDirective::Try, relay.daemon().clock().now());
    for (int i = 0; i < 5; ++i)
        STRCMP_EQUAL("200", call("r" + std::to_string(i)).c_str());
    LONGS_EQUAL(5, rollout.evidence().total().candidate.bad);
    LONGS_EQUAL(5, rollout.exposed());
}

TEST(RolloutOnRelay, ARolledBackCandidateGetsNoRequests)
{
    auto& rollout = *relay.daemon().rollouts().find("s");
    const auto now = relay.daemon().clock().now();
    rollout.applyDirective(RolloutDirective::Try, now);
    rollout.decide(RolloutDecision::RolledBack, now);
    STRCMP_EQUAL("200", call("r1").c_str());
    LONGS_EQUAL(0, rollout.exposed());
}

TEST(RolloutOnRelay, ACompletedCandidateGetsAllRequests)
{
    relay.daemon().rollouts().find("s")->decide(RolloutDecision::Completed, relay.daemon().clock().now());
    STRCMP_EQUAL("500", call("r1").c_str());
}

TEST(RolloutOnRelay, CandidateServesWhenNoOtherRunnerIsLeft)
{
    relay.daemon().directory().remove("old", relay.daemon().clock().now());
    call("r1");
    LONGS_EQUAL(1, relay.daemon().rollouts().find("s")->evidence().total().candidate.answers);
}
