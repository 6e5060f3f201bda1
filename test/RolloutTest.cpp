#include "RelayHarness.h"
#include "relay/EndpointDirectory.h"
#include "rollout/RolloutAggregator.h"
#include "rollout/RolloutJudge.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

const RolloutOrder order { "s", "v2", Milliseconds { 10000 }, 7 };

// Evidence of one route.
VersionEvidence seen(const AnswerCounts& present, const AnswerCounts& candidate, const std::string& route = "r")
{
    VersionEvidence evidence;
    evidence.set(route, { present, candidate });
    return evidence;
}

} // namespace

TEST_GROUP(Rollout)
{
    Milliseconds now { 100000 };
    // One VM of five, whose share of the fixed number is eight of fifty: 0.8 of ten.
    const RolloutParameters terms { { 0.1, 50 }, 0.2, "" };
    Rollout rollout { order, terms };

    bool triesCandidate() { return rollout.choose(now).admits("v2"); }

    int tryAll()
    {
        int tried = 0;
        while (tried < 1000 && triesCandidate())
            ++tried;
        return tried;
    }
};

TEST(Rollout, SendsNothingToACandidateBeforeAGathererAllowsIt)
{
    CHECK_FALSE(triesCandidate());
    rollout.applyDirective(RolloutDirective::Try, now);
    CHECK(triesCandidate());
}

TEST(Rollout, SpendsNoMoreThanItsPartOfTheExposure)
{
    rollout.applyDirective(RolloutDirective::Try, now);
    const auto fixed = tryAll();
    CHECK_TEXT(fixed == 8 || fixed == 9, "0.8 of a fifth of 50, rounded");
    for (int i = 0; i < 100; ++i)
        rollout.noteRequest();
    LONGS_EQUAL_TEXT(8, tryAll(), "0.8 of a tenth of 100 requests");
}

TEST(Rollout, APermissionEndsWhenNoGathererIsHeard)
{
    rollout.applyDirective(RolloutDirective::Try, now);
    now += Rollout::permissionHolds;
    CHECK_FALSE(triesCandidate());
}

TEST(Rollout, AStopHoldsWhateverOtherGatherersSay)
{
    rollout.applyDirective(RolloutDirective::Stop, now);
    rollout.applyDirective(RolloutDirective::Try, now);
    CHECK_FALSE(triesCandidate());
}

TEST(Rollout, TheFirstDecisionStays)
{
    rollout.decide(RolloutDecision::RolledBack, now);
    rollout.decide(RolloutDecision::Completed, now);
    rollout.applyDirective(RolloutDirective::Try, now);
    CHECK_FALSE(triesCandidate());
    CHECK(rollout.provenChoice(now).admits("v1"));
}

TEST(Rollout, ACompletedCandidateServesAloneUntilTheOthersHaveLeftTheList)
{
    rollout.decide(RolloutDecision::Completed, now);
    CHECK(rollout.provenChoice(now).admits("v2"));
    CHECK_FALSE(rollout.provenChoice(now).admits("v1"));
    now += Rollout::replacedLeaveWithin;
    CHECK_TEXT(rollout.provenChoice(now).admits("v3"), "the next version may come without an order");
}

TEST(Rollout, CopiesLieWithACandidateOnlyOnceItIsAboutToTakeOver)
{
    rollout.applyDirective(RolloutDirective::Try, now);
    CHECK_FALSE(rollout.choiceForCopies(now).admits("v2"));
    rollout.applyDirective(RolloutDirective::Ready, now);
    CHECK(rollout.choiceForCopies(now).admits("v2"));
}

TEST_GROUP(RolloutJudge) {};

TEST(RolloutJudge, JudgesNothingByFewAnswers)
{
    CHECK(judge(seen({ 100, 1 }, { 3, 1 })) == Judgement::Open);
    CHECK(judge(seen({ 10, 0 }, { 30, 15 })) == Judgement::Open);
}

TEST(RolloutJudge, FindsACandidateBadThatFailsMoreThanThePresentVersion)
{
    CHECK(judge(seen({ 100, 1 }, { 12, 6 })) == Judgement::Bad);
}

TEST(RolloutJudge, FindsACandidateBadThatFailsOnOneRouteAlone)
{
    auto evidence = seen({ 300, 3 }, { 100, 1 });
    evidence.set("other", { { 60, 1 }, { 12, 7 } });
    CHECK(judge(evidence) == Judgement::Bad);
}

TEST(RolloutJudge, TroublesOfBothVersionsAreNoFaultOfTheCandidate)
{
    CHECK(judge(seen({ 300, 90 }, { 50, 16 })) != Judgement::Bad);
}

TEST(RolloutJudge, FindsACandidateGoodAfterAsManyAnswersAsADayHas)
{
    CHECK(judge(seen({ 400, 4 }, { 80, 1 })) == Judgement::Good);
    CHECK(isAcceptable(seen({ 100, 1 }, { 45, 0 })));
    CHECK_FALSE(isAcceptable(seen({ 100, 1 }, { 10, 0 })));
}

TEST_GROUP(RolloutAggregator)
{
    Milliseconds now { 100000 };
    RolloutAggregator aggregator { order, now };
};

TEST(RolloutAggregator, CountsAProcessOnceHoweverOftenItTells)
{
    for (int i = 0; i < 3; ++i)
        aggregator.addReport("vm-1/1", seen({ 10, 0 }, { 2, 1 }), false);
    aggregator.addReport("vm-1/1", seen({ 5, 0 }, { 1, 0 }), false);
    aggregator.addReport("vm-1/2", seen({ 3, 0 }, { 1, 1 }), false);
    LONGS_EQUAL(3, aggregator.evidence().total().candidate.answers);
    LONGS_EQUAL(13, aggregator.evidence().total().present.answers);
}

TEST(RolloutAggregator, PassesOnWhatAnotherGathererHasJudged)
{
    aggregator.addReport("vm-1/1", {}, true);
    CHECK(aggregator.directive(now) == RolloutDirective::Stop);
    CHECK(aggregator.dueDecision(now) == RolloutDecision::RolledBack);
}

TEST(RolloutAggregator, CompletesAGoodCandidateNearTheEndOfItsTime)
{
    aggregator.addReport("vm-1/1", seen({ 400, 4 }, { 80, 1 }), false);
    CHECK_FALSE(aggregator.dueDecision(now).has_value());
    now += Milliseconds { 9000 };
    CHECK(aggregator.dueDecision(now) == RolloutDecision::Completed);
}

TEST(RolloutAggregator, LeavesTheDecisionToOthersWhenItKnowsLittleAndRollsBackInTheEnd)
{
    aggregator.addReport("vm-1/1", seen({ 4, 0 }, { 1, 0 }), false);
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
        return [status](ScriptedConnection& asker, const std::string& request) {
            const auto id = request.substr(request.find("X-Request-Id: ") + 14);
            asker.answer(status, "X-Request-Id: " + id.substr(0, id.find('\r')) + "\r\nX-Response-Signature: s\r\n",
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

TEST(RolloutOnRelay, SendsNothingToTheCandidateBeforeItIsAllowed)
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

TEST(RolloutOnRelay, ACandidateThatWasRolledBackGetsNothing)
{
    auto& rollout = *relay.daemon().rollouts().find("s");
    const auto now = relay.daemon().clock().now();
    rollout.applyDirective(RolloutDirective::Try, now);
    rollout.decide(RolloutDecision::RolledBack, now);
    STRCMP_EQUAL("200", call("r1").c_str());
    LONGS_EQUAL(0, rollout.exposed());
}

TEST(RolloutOnRelay, ACompletedCandidateGetsEverything)
{
    relay.daemon().rollouts().find("s")->decide(RolloutDecision::Completed, relay.daemon().clock().now());
    STRCMP_EQUAL("500", call("r1").c_str());
}

TEST(RolloutOnRelay, CallersAreServedByWhoeverIsLeft)
{
    relay.daemon().directory().remove("old", relay.daemon().clock().now());
    call("r1");
    LONGS_EQUAL(1, relay.daemon().rollouts().find("s")->evidence().total().candidate.answers);
}
