#include "lupinknot/Generation.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;

namespace {

GenerationLimits limits(std::size_t maxTokens, std::vector<std::string> stops = {})
{
    return { maxTokens, std::move(stops) };
}

void checkResult(AppendResult expected, AppendResult actual)
{
    STRCMP_EQUAL(std::string(nameIn(appendResultNames, expected)).c_str(),
        std::string(nameIn(appendResultNames, actual)).c_str());
}

std::string releasedText(const Generation& generation)
{
    std::string text;
    for (std::size_t i = 0; i < generation.releasedLength(); ++i)
        text += generation.tokens()[i].text;
    return text;
}

} // namespace

TEST_GROUP(Generation) {};

TEST(Generation, AppendsOnlyAtItsLength)
{
    Generation generation(limits(5));
    const auto attempt = generation.beginAttempt();
    checkResult(AppendResult::Appended, generation.append(attempt, 0, { 1, "a" }));
    checkResult(AppendResult::WrongPosition, generation.append(attempt, 0, { 1, "a" }));
    checkResult(AppendResult::WrongPosition, generation.append(attempt, 2, { 3, "c" }));
    checkResult(AppendResult::Appended, generation.append(attempt, 1, { 2, "b" }));
    LONGS_EQUAL(2, generation.length());
}

TEST(Generation, RefusesASupersededAttemptAtAnyPosition)
{
    Generation generation(limits(5));
    const auto first = generation.beginAttempt();
    generation.append(first, 0, { 1, "a" });
    generation.beginAttempt();
    checkResult(AppendResult::NotCurrentAttempt, generation.append(first, 1, { 9, "x" }));
    checkResult(AppendResult::NotCurrentAttempt, generation.finish(first, 1, FinishReason::Stop));
    LONGS_EQUAL(1, generation.length());
    CHECK_FALSE(generation.isEnded());
}

TEST(Generation, EndsAtTheTokenLimitWithoutAFinishEvent)
{
    Generation generation(limits(2));
    const auto attempt = generation.beginAttempt();
    generation.append(attempt, 0, { 1, "a" });
    generation.append(attempt, 1, { 2, "b" });
    CHECK(generation.finishReason() == FinishReason::Length);
    checkResult(AppendResult::AlreadyEnded, generation.append(attempt, 2, { 3, "c" }));
}

TEST(Generation, RefusesAFinishWithMissingTokens)
{
    Generation generation(limits(5));
    const auto attempt = generation.beginAttempt();
    generation.append(attempt, 0, { 1, "a" });
    checkResult(AppendResult::WrongPosition, generation.finish(attempt, 2, FinishReason::Stop));
    CHECK_FALSE(generation.isEnded());
}

TEST(Generation, FindsAStopStringSplitByAResumption)
{
    Generation generation(limits(9, { "END" }));
    const auto first = generation.beginAttempt();
    generation.append(first, 0, { 1, "so E" });
    const auto second = generation.beginAttempt();
    generation.append(second, 1, { 2, "ND and more" });
    CHECK(generation.finishReason() == FinishReason::Stop);
    STRCMP_EQUAL("so ", releasedText(generation).c_str());
}

TEST(Generation, HoldsBackTextThatMayBecomeAStopString)
{
    Generation generation(limits(9, { "END" }));
    const auto attempt = generation.beginAttempt();
    generation.append(attempt, 0, { 1, "a" });
    generation.append(attempt, 1, { 2, "E" });
    LONGS_EQUAL(1, generation.releasedLength());
    LONGS_EQUAL(2, generation.length());
    generation.append(attempt, 2, { 3, "x" });
    STRCMP_EQUAL("aEx", releasedText(generation).c_str());
}

TEST(Generation, ReleasesHeldTextWhenTheAnswerEnds)
{
    Generation generation(limits(9, { "END" }));
    const auto attempt = generation.beginAttempt();
    generation.append(attempt, 0, { 1, "aE" });
    generation.finish(attempt, 1, FinishReason::Stop);
    STRCMP_EQUAL("aE", releasedText(generation).c_str());
}
