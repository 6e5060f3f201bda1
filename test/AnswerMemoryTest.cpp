#include "admission/AnswerMemory.h"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace lupinknot::internal;

TEST_GROUP(AnswerMemory)
{
    static constexpr std::size_t limit = 1000;
    std::shared_ptr<AnswerMemory> memory { std::make_shared<AnswerMemory>(limit) };
    std::vector<int> givenUp;

    std::unique_ptr<AnswerMemory::Holding> open(int number)
    {
        return memory->open([this, number] { givenUp.push_back(number); });
    }
};

TEST(AnswerMemory, GivesUpTheLargestAnswerOnly)
{
    const auto small = open(1);
    const auto endless = open(2);
    small->add(300);
    endless->add(600);
    LONGS_EQUAL(0, givenUp.size());
    small->add(101);
    LONGS_EQUAL(1, givenUp.size());
    LONGS_EQUAL(2, givenUp.front());
    LONGS_EQUAL(401, memory->total());
}

// Replays the load: ten answers without end beside a hundred sound ones.
TEST(AnswerMemory, SoundAnswersArriveWholeBesideAnswersWithoutEnd)
{
    constexpr int soundCount = 100;
    constexpr int endlessCount = 10;
    constexpr std::size_t soundBytes = 8;
    std::vector<std::unique_ptr<AnswerMemory::Holding>> sound;
    std::vector<std::unique_ptr<AnswerMemory::Holding>> endless;
    endless.reserve(endlessCount);
    for (int i = 0; i < endlessCount; ++i)
        endless.push_back(open(soundCount + i));
    for (int i = 0; i < soundCount; ++i) {
        sound.push_back(open(i));
        sound.back()->add(soundBytes);
        for (const auto& holding : endless)
            holding->add(20);
        CHECK(memory->total() <= limit);
    }
    LONGS_EQUAL(endlessCount, givenUp.size());
    for (const auto number : givenUp)
        CHECK(number >= soundCount);
}

TEST(AnswerMemory, AnAnswerThatWasGivenUpCountsNoMore)
{
    const auto answer = open(1);
    answer->add(limit + 1);
    answer->add(limit + 1);
    LONGS_EQUAL(1, givenUp.size());
    LONGS_EQUAL(0, memory->total());
}

TEST(AnswerMemory, AnOwnerMayDestroyItsHoldingWhenItIsGivenUp)
{
    std::unique_ptr<AnswerMemory::Holding> answer;
    answer = memory->open([&answer] { answer.reset(); });
    auto* const raw = answer.get();
    raw->add(limit + 1);
    CHECK(!answer);
    LONGS_EQUAL(0, memory->total());
}

TEST(AnswerMemory, AFinishedAnswerFreesItsBytes)
{
    {
        const auto finished = open(1);
        finished->add(limit);
    }
    const auto next = open(2);
    next->add(limit);
    LONGS_EQUAL(0, givenUp.size());
}
