// Several entries of the endpoint list with one address: which endpoints are in use follows from the entries alone, not
// from the order in which they arrive.
#include "RelayHarness.h"
#include "relay/EndpointDirectory.h"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

EndpointEntry row(const std::string& id, std::uint64_t startTime, std::uint64_t version)
{
    return { .id = id,
        .service = "s",
        .address = { "127.0.0.1", 1 },
        .availabilityZone = "a",
        .slots = 4,
        .startTime = startTime,
        .writtenAt = { 1, version } };
}

EndpointEntry rowOf(const std::string& service, EndpointEntry entry)
{
    entry.service = service;
    return entry;
}

EndpointEntry draining(EndpointEntry entry)
{
    entry.isDraining = true;
    return entry;
}

// The changes of a list in which endpoints restart, move, shut down and leave, as the store's history has them.
class RandomList {
public:
    explicit RandomList(unsigned seed)
        : m_random(seed)
    {
    }

    EndpointChange change()
    {
        const auto number = draw(6);
        const auto id = "e" + std::to_string(number);
        const auto known = m_entries.find(id);
        if (known != m_entries.end() && draw(4) == 0) {
            m_entries.erase(known);
            return { { .id = id }, true };
        }
        // Two of the endpoints state no start time.
        const bool hasStartTime = number >= 2;
        ++m_version;
        if (known != m_entries.end() && hasStartTime && draw(2) == 0) {
            known->second.writtenAt.version = m_version;
            known->second.isDraining = known->second.isDraining || draw(2) == 0;
            return { known->second, false };
        }
        auto entry = row(id, hasStartTime ? unusedStartTime(id) : 0, m_version);
        entry.service = std::array { "s", "other", "unheard-of" }[draw(3)];
        entry.address.port = 1 + draw(3);
        m_entries.insert_or_assign(id, entry);
        return { entry, false };
    }

    std::vector<EndpointEntry> whole()
    {
        std::vector<EndpointEntry> entries;
        for (const auto& listed : m_entries)
            entries.push_back(listed.second);
        std::shuffle(entries.begin(), entries.end(), m_random);
        return entries;
    }

    unsigned draw(unsigned count) { return static_cast<unsigned>(m_random() % count); }

private:
    // Not in order: clocks are set back. Endpoints may have the same start time.
    std::uint64_t unusedStartTime(const std::string& id)
    {
        for (;;) {
            const auto startTime = 1 + draw(100);
            if (m_startTimes.insert({ id, startTime }).second)
                return startTime;
        }
    }

    std::mt19937 m_random;
    std::map<std::string, EndpointEntry> m_entries;
    std::set<std::pair<std::string, std::uint64_t>> m_startTimes;
    std::uint64_t m_version { 0 };
};

} // namespace

TEST_GROUP(SharedAddress)
{
    boost::asio::io_context ioContext;
    RelaySettings settings;
    std::unique_ptr<EndpointDirectory> directory;
    Milliseconds now { 100000 };
    std::set<std::string> services { "s", "other" };

    void setup() override { directory = newDirectory(); }

    std::unique_ptr<EndpointDirectory> newDirectory()
    {
        auto created = std::make_unique<EndpointDirectory>(ioContext, settings);
        created->setServices([this](const std::string& service) { return services.count(service) > 0; });
        return created;
    }

    static std::string inUse(const EndpointDirectory& known)
    {
        std::set<std::string> ids;
        for (const auto* const service : { "s", "other", "unheard-of" }) {
            for (const auto& endpoint : known.endpointsOf(service)) {
                const auto& entry = endpoint->entry();
                if (!endpoint->isRemoved())
                    ids.insert(entry.incarnationName() + " at " + entry.address.text()
                        + (entry.isDraining ? " draining" : ""));
            }
        }
        std::string text;
        for (const auto& id : ids)
            text += (text.empty() ? "" : ", ") + id;
        return text;
    }

    std::string inUse() const { return inUse(*directory); }
    void setServices(std::set<std::string> changed)
    {
        services = std::move(changed);
        directory->servicesChanged(now);
    }

    void remove(const std::string& id) { directory->change({ { { .id = id }, true } }, now); }
    void misdirected(const std::string& id) { directory->noteMisdirected(*directory->find(id), now); }
};

// Guards against a VM that reads the whole list and takes the endpoint whose key sorts last for the later one: it
// refused every request of the service.
TEST(SharedAddress, AWholeListInTheOrderOfItsKeysKeepsTheEndpointThatStartedLast)
{
    directory->replaceAll({ row("a-present", 200, 7), row("z-ended", 100, 3) }, now);
    STRCMP_EQUAL("a-present@200 at 127.0.0.1:1", inUse().c_str());
    remove("z-ended");
    STRCMP_EQUAL("a-present@200 at 127.0.0.1:1", inUse().c_str());
}

// Guards against a live endpoint that is lost when the entry of the one before it is written again, or says draining.
TEST(SharedAddress, ALaterWriteOfAnEarlierEndpointDisplacesNothing)
{
    directory->replaceAll({ row("ended", 100, 3), row("present", 200, 7) }, now);
    directory->upsert(row("ended", 100, 9), now);
    directory->upsert(draining(row("ended", 100, 10)), now);
    STRCMP_EQUAL("present@200 at 127.0.0.1:1", inUse().c_str());
}

// Guards against an entry that displaces the live endpoint and takes it along when it goes.
TEST(SharedAddress, AnEndpointIsInUseAgainWhenTheEntryThatDisplacedItGoes)
{
    directory->replaceAll({ row("present", 200, 7) }, now);
    directory->upsert(row("foreign", 300, 8), now);
    STRCMP_EQUAL("foreign@300 at 127.0.0.1:1", inUse().c_str());
    remove("foreign");
    STRCMP_EQUAL("present@200 at 127.0.0.1:1", inUse().c_str());
    directory->upsert(row("foreign", 300, 9), now);
    directory->replaceAll({ row("present", 200, 7) }, now);
    STRCMP_EQUAL("present@200 at 127.0.0.1:1", inUse().c_str());
}

// Guards against an address of which nobody is in use any more after its endpoint has answered 421 to requests for the
// one that displaced it.
TEST(SharedAddress, AnEndpointIsInUseAgainWhenItsAddressAnswersThatTheOtherOneIsNotThere)
{
    directory->replaceAll({ row("present", 200, 7), row("foreign", 300, 8) }, now);
    misdirected("foreign");
    STRCMP_EQUAL("present@200 at 127.0.0.1:1", inUse().c_str());
    directory->replaceAll({ row("present", 200, 7), row("foreign", 300, 8) }, now);
    STRCMP_EQUAL_TEXT("present@200 at 127.0.0.1:1", inUse().c_str(), "an unchanged entry proves nothing new");
    directory->upsert(row("foreign", 400, 9), now);
    STRCMP_EQUAL_TEXT("foreign@400 at 127.0.0.1:1", inUse().c_str(), "a later incarnation may be there");
}

TEST(SharedAddress, AnAnswerToAnEarlierIncarnationSaysNothingOfTheLaterOne)
{
    directory->replaceAll({ row("e1", 100, 3) }, now);
    const auto earlier = directory->find("e1");
    directory->upsert(row("e1", 200, 4), now);
    directory->noteMisdirected(*earlier, now);
    STRCMP_EQUAL("e1@200 at 127.0.0.1:1", inUse().c_str());
}

// Without start times, only the endpoint's own answer tells which entry is outdated.
TEST(SharedAddress, EntriesWithoutAStartTimeAreTriedFromTheLastOneWritten)
{
    directory->replaceAll({ row("a", 0, 3), row("b", 0, 5), row("c", 0, 4) }, now);
    STRCMP_EQUAL("b at 127.0.0.1:1", inUse().c_str());
    misdirected("b");
    STRCMP_EQUAL("c at 127.0.0.1:1", inUse().c_str());
    misdirected("c");
    STRCMP_EQUAL("a at 127.0.0.1:1", inUse().c_str());
}

TEST(SharedAddress, OfEqualStartTimesTheEntryThatWasWrittenLastCounts)
{
    directory->replaceAll({ row("a", 100, 5), row("b", 100, 4) }, now);
    STRCMP_EQUAL("a@100 at 127.0.0.1:1", inUse().c_str());
}

// Guards against an endpoint that is never used because its clock was set back before it started.
TEST(SharedAddress, AnEndpointWhoseClockWasSetBackIsInUseAfterOneAnswer)
{
    directory->replaceAll({ row("ended", 300, 3), row("present", 200, 7) }, now);
    STRCMP_EQUAL("ended@300 at 127.0.0.1:1", inUse().c_str());
    misdirected("ended");
    STRCMP_EQUAL("present@200 at 127.0.0.1:1", inUse().c_str());
}

// Guards against a VM that runs throughout and one that starts later, which end with different addresses.
TEST(SharedAddress, AnEndpointThatRestartsWithItsClockSetBackHasTheAddressOfItsLastEntry)
{
    directory->replaceAll({ row("e1", 300, 3) }, now);
    auto moved = row("e1", 200, 4);
    moved.address.port = 2;
    directory->upsert(moved, now);
    STRCMP_EQUAL("e1@200 at 127.0.0.1:2", inUse().c_str());
}

TEST(SharedAddress, AnEndpointThatShutsDownIsNotReplacedByAnEarlierOne)
{
    directory->replaceAll({ row("ended", 100, 3), row("present", 200, 7) }, now);
    directory->upsert(draining(row("present", 200, 8)), now);
    STRCMP_EQUAL("present@200 at 127.0.0.1:1 draining", inUse().c_str());
}

// A withdrawn endpoint serves on for a while, also when an outdated entry has its address.
TEST(SharedAddress, ARemovedEndpointStaysALastResortBesideAnEarlierOne)
{
    directory->replaceAll({ row("ended", 100, 3), row("present", 200, 7) }, now);
    remove("present");
    STRCMP_EQUAL("ended@100 at 127.0.0.1:1", inUse().c_str());
    CHECK(directory->find("present") != nullptr);
    now += settings.removedEndpointGrace + Milliseconds { 1 };
    directory->dropExpired(now);
    CHECK(directory->find("present") == nullptr);
    STRCMP_EQUAL("ended@100 at 127.0.0.1:1", inUse().c_str());
}

// Guards against an outdated entry of another service that takes the address from the live endpoint by its key.
TEST(SharedAddress, OfTwoServicesTheEndpointThatStartedLastHasTheAddress)
{
    directory->replaceAll({ row("a-present", 200, 7), rowOf("other", row("z-ended", 100, 3)) }, now);
    STRCMP_EQUAL("a-present@200 at 127.0.0.1:1", inUse().c_str());
    STRCMP_EQUAL("a-present", directory->findAt("127.0.0.1:1")->entry().id.c_str());
}

// An endpoint that another service displaced would get no request whose answer could show that it is there.
TEST(SharedAddress, BetweenServicesAnEntryWithoutAStartTimeDisplacesNothing)
{
    directory->replaceAll({ row("a", 0, 3), rowOf("other", row("b", 0, 5)) }, now);
    STRCMP_EQUAL("a at 127.0.0.1:1, b at 127.0.0.1:1", inUse().c_str());
    CHECK(directory->findAt("s", { "127.0.0.1", 1 }) == directory->find("a"));
    CHECK(directory->findAt("other", { "127.0.0.1", 1 }) == directory->find("b"));
}

TEST(SharedAddress, AllOrdersOfThreeEntriesEndInTheSameDirectory)
{
    const std::vector<EndpointEntry> entries { row("a", 300, 4), row("b", 100, 9), rowOf("other", row("c", 200, 2)) };
    std::vector<std::size_t> order { 0, 1, 2 };
    do {
        std::vector<EndpointEntry> whole;
        const auto changed = newDirectory();
        for (const auto i : order) {
            whole.push_back(entries[i]);
            changed->upsert(entries[i], now);
        }
        const auto listed = newDirectory();
        listed->replaceAll(whole, now);
        STRCMP_EQUAL("a@300 at 127.0.0.1:1", inUse(*listed).c_str());
        STRCMP_EQUAL("a@300 at 127.0.0.1:1", inUse(*changed).c_str());
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against VMs that know different endpoints because one has followed the list and the other has read it whole.
TEST(SharedAddress, ChangesAndWholeReadsOfARandomHistoryEndInTheSameDirectory)
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        RandomList list(seed);
        const auto followed = newDirectory();
        const auto sometimesRead = newDirectory();
        for (int i = 0; i < 40; ++i) {
            followed->change({ list.change() }, now);
            if (list.draw(5) == 0)
                sometimesRead->replaceAll(list.whole(), now);
            now += Milliseconds { 200 };
            followed->dropExpired(now);
            sometimesRead->dropExpired(now);
        }
        sometimesRead->replaceAll(list.whole(), now);
        const auto started = newDirectory();
        started->replaceAll(list.whole(), now);
        const auto text = "seed " + std::to_string(seed);
        STRCMP_EQUAL_TEXT(inUse(*started).c_str(), inUse(*followed).c_str(), text.c_str());
        STRCMP_EQUAL_TEXT(inUse(*started).c_str(), inUse(*sometimesRead).c_str(), text.c_str());
    }
}

TEST(SharedAddress, WhatAnEntryDisplacesFollowsTheServicesOfTheConfiguration)
{
    const std::string both = "foreign@300 at 127.0.0.1:1, present@200 at 127.0.0.1:1";
    const std::string foreign = "foreign@300 at 127.0.0.1:1";
    services.clear();
    directory->replaceAll({ row("present", 200, 7), rowOf("other", row("foreign", 300, 8)) }, now);
    STRCMP_EQUAL_TEXT(both.c_str(), inUse().c_str(), "before the first configuration no service is known");
    setServices({ "s" });
    STRCMP_EQUAL(both.c_str(), inUse().c_str());
    setServices({ "s", "other" });
    STRCMP_EQUAL_TEXT(foreign.c_str(), inUse().c_str(), "the service is added");
    setServices({ "s" });
    STRCMP_EQUAL_TEXT(both.c_str(), inUse().c_str(), "the service is dropped");
    setServices({ "renamed", "other" });
    STRCMP_EQUAL_TEXT(foreign.c_str(), inUse().c_str(), "the displaced endpoint's service need not be known");
    remove("foreign");
    STRCMP_EQUAL("present@200 at 127.0.0.1:1", inUse().c_str());
}

// Guards against a VM that reads the list before the configuration and drops the live endpoints at whose addresses
// another writer lists a service that does not exist: it refused every request of their service.
TEST(SharedAddress, AnEntryOfAnUnknownServiceDisplacesNothingBeforeTheConfigurationIsKnown)
{
    for (const bool isListFirst : { true, false }) {
        RelayHarness relay;
        const auto list = [&relay] {
            relay.daemon().directory().replaceAll(
                { row("a-present", 200, 7), rowOf("unheard-of", row("z-foreign", 300, 8)) },
                relay.daemon().clock().now());
        };
        if (isListFirst)
            list();
        relay.configure();
        if (!isListFirst)
            list();
        const auto present = relay.daemon().directory().find("a-present");
        CHECK_TEXT(present && !present->isRemoved(), isListFirst ? "the list first" : "the configuration first");
    }
}

// Guards against a VM that keeps to the endpoints that were chosen by the services of an earlier configuration.
TEST(SharedAddress, AConfigurationThatAddsAServiceLetsItsEndpointsTakeOverAddresses)
{
    RelayHarness relay;
    relay.configure();
    auto& known = relay.daemon().directory();
    known.replaceAll({ row("ended", 200, 7), rowOf("added", row("present", 300, 8)) }, relay.daemon().clock().now());
    CHECK_FALSE(known.find("ended")->isRemoved());
    relay.daemon().applyConfiguration(
        RelayConfigurationBuilder().addService({ "s", 0 }).addService({ "added", 0 }).version(100).build());
    CHECK(known.find("ended") == nullptr);
    CHECK_FALSE(known.find("present")->isRemoved());
}

// Guards against a VM that stands still because another writer has listed one address under very many keys.
TEST(SharedAddress, AnyNumberOfEntriesMayNameOneAddress)
{
    std::vector<EndpointEntry> entries { row("present", 1'000'000, 1) };
    for (std::uint64_t i = 0; i < 20'000; ++i)
        entries.push_back(row("foreign" + std::to_string(i), i, 2 + i));
    directory->replaceAll(entries, now);
    STRCMP_EQUAL("present@1000000 at 127.0.0.1:1", inUse().c_str());
    LONGS_EQUAL(20'000, directory->unusedCount());
    directory->replaceAll({ entries[0] }, now);
    LONGS_EQUAL(0, directory->unusedCount());
}

TEST(SharedAddress, AClaimIsDisplacedIfAnyOtherDisplacesIt)
{
    std::mt19937 random(1);
    for (int round = 0; round < 2000; ++round) {
        std::vector<EndpointEntry> entries;
        for (std::uint64_t i = 0; i < 1 + random() % 6; ++i)
            entries.push_back(rowOf(std::array { "s", "other", "unheard-of" }[random() % 3],
                row("e" + std::to_string(i), random() % 4, random() % 3)));
        std::vector<AddressClaim> claims;
        claims.reserve(entries.size());
        for (const auto& entry : entries)
            claims.push_back({ .entry = &entry,
                .isListed = random() % 4 != 0,
                .isMisdirected = random() % 4 == 0,
                .isServiceKnown = entry.service != "unheard-of" });
        const auto displaced = AddressClaim::displaced(claims);
        for (std::size_t i = 0; i < claims.size(); ++i) {
            const bool isDisplaced = std::any_of(
                claims.begin(), claims.end(), [&](const AddressClaim& other) { return other.displaces(claims[i]); });
            CHECK_EQUAL(isDisplaced, displaced[i]);
        }
    }
}
