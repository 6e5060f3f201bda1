#include "lupinknot/ReplicaStore.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;

namespace {

const ViewMember runner { "a", 1 };
const ViewMember restartedRunner { "a", 2 };
const std::string key = "k";

ReplicaRecord record(const ViewMember& by = runner)
{
    ReplicaRecord made;
    made.runner = by;
    made.request.key = key;
    return made;
}

void checkResult(JournalResult expected, JournalResult actual)
{
    STRCMP_EQUAL(std::string(nameIn(journalResultNames, expected)).c_str(),
        std::string(nameIn(journalResultNames, actual)).c_str());
}

} // namespace

TEST_GROUP(ReplicaStore)
{
    ReplicaStore store;

    JournalResult append(std::size_t position, std::vector<Token> tokens, std::uint64_t epoch = 1)
    {
        return store.append(epoch, runner, key, position, std::move(tokens));
    }
};

TEST(ReplicaStore, KeepsTokensInOrder)
{
    store.open(1, record());
    checkResult(JournalResult::Applied, append(0, { { 1, "a" }, { 2, "b" } }));
    checkResult(JournalResult::Applied, append(2, { { 3, "c" } }));
    LONGS_EQUAL(3, store.find(key)->tokens.size());
}

TEST(ReplicaStore, RefusesAGap)
{
    store.open(1, record());
    checkResult(JournalResult::Refused, append(1, { { 2, "b" } }));
}

TEST(ReplicaStore, KeepsHeldTokensWhenTheyAreSentAgain)
{
    store.open(1, record());
    append(0, { { 1, "a" }, { 2, "b" } });
    checkResult(JournalResult::Applied, append(1, { { 9, "x" }, { 3, "c" } }));
    LONGS_EQUAL(2, store.find(key)->tokens[1].id);
    LONGS_EQUAL(3, store.find(key)->tokens[2].id);
}

TEST(ReplicaStore, RefusesTheRunnerOfASealedRecord)
{
    store.open(1, record());
    append(0, { { 1, "a" } });
    CHECK(store.seal(key, Milliseconds { 1000 }).has_value());
    checkResult(JournalResult::Refused, append(1, { { 2, "b" } }));
    checkResult(JournalResult::Refused, store.open(1, record()));
    checkResult(JournalResult::Refused, store.finish(1, runner, key, FinishReason::Stop));
    LONGS_EQUAL(1, store.find(key)->tokens.size());
}

TEST(ReplicaStore, SealsARecordOnlyOnce)
{
    store.open(1, record());
    CHECK(store.seal(key, Milliseconds { 1000 }).has_value());
    CHECK_FALSE(store.seal(key, Milliseconds { 1000 }).has_value());
}

TEST(ReplicaStore, RefusesASecondRunnerOfAKey)
{
    store.open(1, record());
    checkResult(JournalResult::Refused, store.open(1, record({ "b", 1 })));
    checkResult(JournalResult::Refused, store.open(1, record(restartedRunner)));
}

TEST(ReplicaStore, RefusesItemsBelowTheMinimumEpoch)
{
    store.open(1, record());
    store.raiseMinimumEpoch(2);
    checkResult(JournalResult::Refused, append(0, { { 1, "a" } }, 1));
    checkResult(JournalResult::Applied, append(0, { { 1, "a" } }, 2));
}

TEST(ReplicaStore, NeverLowersTheMinimumEpoch)
{
    store.raiseMinimumEpoch(5);
    store.raiseMinimumEpoch(3);
    checkResult(JournalResult::Refused, store.open(4, record()));
}

TEST(ReplicaStore, DropsARecordOnlyForItsRunner)
{
    store.open(1, record());
    store.drop(restartedRunner, key);
    LONGS_EQUAL(1, store.size());
    store.drop(runner, key);
    LONGS_EQUAL(0, store.size());
}

TEST(ReplicaStore, KeepsTheRecordsOfALostRunnerForTheRetentionTime)
{
    store.open(1, record());
    store.runnerLost("a", Milliseconds { 1000 });
    store.sweep(Milliseconds { 1499 }, Milliseconds { 500 });
    LONGS_EQUAL(1, store.size());
    store.sweep(Milliseconds { 1500 }, Milliseconds { 500 });
    LONGS_EQUAL(0, store.size());
}

TEST(ReplicaStore, KeepsTheRecordsOfARunnerThatIsBack)
{
    store.open(1, record());
    store.runnerLost("a", Milliseconds { 1000 });
    store.runnerBack(runner);
    store.sweep(Milliseconds { 9000 }, Milliseconds { 500 });
    LONGS_EQUAL(1, store.size());
}

TEST(ReplicaStore, DoesNotMistakeARestartedRunnerForTheOldOne)
{
    store.open(1, record());
    store.runnerLost("a", Milliseconds { 1000 });
    store.runnerBack(restartedRunner);
    store.sweep(Milliseconds { 9000 }, Milliseconds { 500 });
    LONGS_EQUAL(0, store.size());
}

// After a lost connection the runner sends everything again. If open() emptied the record and the runner were lost
// before it had sent all tokens again, callers would have seen tokens that no VM holds.
TEST(ReplicaStore, KeepsTheTokensOfARecordThatIsOpenedAgain)
{
    store.open(1, record());
    append(0, { { 1, "a" }, { 2, "b" } });
    checkResult(JournalResult::Applied, store.open(1, record()));
    LONGS_EQUAL(2, store.find(key)->tokens.size());
}

TEST(ReplicaStore, StartsAnEmptyRecordForAnotherGenerationOfTheRunner)
{
    store.open(1, record());
    append(0, { { 1, "a" } });
    auto other = record();
    other.request.generation = "g2";
    store.open(1, other);
    LONGS_EQUAL(0, store.find(key)->tokens.size());
}
