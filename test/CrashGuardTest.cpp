#include "relay/CrashGuard.h"
#include "RunUntil.h"
#include "lupinknot/ManualClock.h"
#include "quarantine/CrashReports.h"
#include "quarantine/TrialGrants.h"
#include "relay/EndpointDirectory.h"
#include "relay/RelaySettings.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

class NotificationCounter final : public QuarantineListener {
public:
    void requestQuarantined() override { ++count; }

    int count { 0 };
};

// The records that other VMs have.
class SharedRecords final : public CrashReports {
public:
    void publish(const CrashRecord& record) override { ids.insert(record.endpointId); }
    void withdraw(const std::string&, const std::vector<std::string>& endpointIds) override
    {
        for (const auto& id : endpointIds)
            ids.erase(id);
    }
    void withdrawOne(const std::string&, const std::string& endpointId) override { ids.erase(endpointId); }

    std::set<std::string> ids;
};

// Grants trials, and delivers the answers when told to.
class DelayedTrials final : public TrialSource {
public:
    explicit DelayedTrials(const Clock& clock)
        : m_clock(clock)
    {
    }

    void ask(const std::string& digest, Callback callback) override
    {
        m_answers.emplace_back(m_grants.decide(digest, {}, m_clock.now()), std::move(callback));
    }

    void deliver()
    {
        for (const auto& [decision, callback] : std::exchange(m_answers, {}))
            callback(decision);
    }

private:
    const Clock& m_clock;
    TrialGrants m_grants;
    std::vector<std::pair<TrialDecision, Callback>> m_answers;
};

} // namespace

TEST_GROUP(CrashGuard)
{
    const std::string digest = "d";
    boost::asio::io_context ioContext;
    RelaySettings settings;
    ManualClock clock;
    std::unique_ptr<EndpointDirectory> directory;
    std::unique_ptr<CrashGuard> guard;

    void setup() override
    {
        directory = std::make_unique<EndpointDirectory>(ioContext, settings);
        guard = std::make_unique<CrashGuard>(ioContext, clock, settings, *directory);
    }

    void teardown() override
    {
        guard.reset();
        directory.reset();
    }

    bool isAdmitted()
    {
        bool result = false;
        guard->admit(digest, [&result](bool isAdmitted) { result = isAdmitted; });
        return result;
    }

    // Asks for a trial of a request whose hold has ended. Returns how many attempts have been admitted when the answers
    // are delivered after this time and after another attempt has been decided.
    int admittedWhenDelayed(Milliseconds delay)
    {
        DelayedTrials trials(clock);
        guard->setTrials(&trials);
        addRemoteRecords("e", 3, false);
        clock.advance(guard->quarantineTimeLeft(digest));
        int admitted = 0;
        const auto count = [&admitted](bool isAdmitted) { admitted += isAdmitted ? 1 : 0; };
        guard->admit(digest, count);
        clock.advance(delay);
        guard->admit(digest, count);
        trials.deliver();
        guard->setTrials(nullptr);
        return admitted;
    }

    void addRemoteRecords(const std::string& prefix, std::size_t count, bool endsTrial)
    {
        for (std::size_t i = 0; i < count; ++i) {
            const auto id = prefix + std::to_string(i);
            guard->addRemoteRecord({ digest, id, "at " + id, fullSuspicion, Milliseconds { 60 }, endsTrial });
        }
    }

    // Loses an endpoint that had begun the request at this instant.
    void noteLoss(const std::string& id, const std::string& zone, Milliseconds sentAt, bool wasThroughVm,
        FailureKind failure = FailureKind::ConnectionLost)
    {
        directory->upsert({ id, "service", { id, 1 }, zone }, clock.now());
        guard->noteLoss({ "r1", digest, directory->find(id), sentAt,
            { failure, RunStart::Begun, Milliseconds { 60 }, false, wasThroughVm } });
    }

    // Three endpoints become silent one after the other, each having just begun the request.
    void silenceEndpoints()
    {
        for (const std::string id : { "e1", "e2", "e3" }) {
            clock.advance(Milliseconds { 1 });
            noteLoss(id, "zone of " + id, clock.now() - Milliseconds { 1 }, false, FailureKind::Silent);
        }
    }

    void endSilence()
    {
        clock.advance(Milliseconds { 1 });
        for (const std::string id : { "e1", "e2", "e3" })
            directory->find(id)->noteAlive(clock.now());
    }

    bool isStatusReached(QuarantineStatus status)
    {
        return runUntil(ioContext, [this, status] { return guard->quarantineStatus(digest) == status; });
    }

    void waitForEvaluation()
    {
        CHECK(guard->quarantineStatus(digest) == QuarantineStatus::Pending);
        clock.advance(EndpointLosses::correlationWindow);
        CHECK(runUntil(ioContext, [this] { return guard->quarantineStatus(digest) != QuarantineStatus::Pending; }));
    }

    // Loses an endpoint that had just begun the request, and waits until the loss has been evaluated.
    void loseEndpoint(const std::string& id)
    {
        noteLoss(id, "a", clock.now(), false);
        waitForEvaluation();
    }

    // Loses one endpoint in each of four zones.
    void loseConcurrentRuns(Milliseconds apart, bool wasThroughVm)
    {
        const auto sentAt = clock.now();
        clock.advance(Milliseconds { 60 });
        for (const std::string zone : { "a", "b", "c", "d" }) {
            clock.advance(apart);
            noteLoss(zone + std::to_string(clock.now().count()), zone, sentAt, wasThroughVm);
        }
        waitForEvaluation();
    }
};

// Guards against a VM that has not yet read the removal from the store and reports the records again.
TEST(CrashGuard, RecordsRemovedFromTheStoreAreNotLearnedAgainFromOtherVms)
{
    addRemoteRecords("e", 3, false);
    CHECK(guard->quarantineStatus(digest) == QuarantineStatus::Held);
    const auto known = guard->knownCrashes(digest);
    for (const auto& crash : known)
        guard->removeRemoteRecord(digest, crash.record.endpointId);
    clock.advance(Milliseconds { 10 });
    for (const auto& crash : known)
        CHECK_FALSE(guard->addReportedCrash(crash));
    CHECK_FALSE(guard->isSuspect(digest));
    // A later loss counts.
    CHECK(guard->addReportedCrash({ known.front().record, clock.now() }));
}

// Guards against a call that goes on to its next endpoint after its trial has failed: the loss was dropped for lack of
// room, so that the request was not held again and the call not notified.
TEST(CrashGuard, CallOfFailedTrialIsNotifiedWhenRecordsAreFull)
{
    for (const bool areTrialRecordsFull : { false, true }) {
        addRemoteRecords("full", Quarantine::maxRecordsPerSuspect, false);
        if (areTrialRecordsFull)
            addRemoteRecords("trial", Quarantine::maxTrialRecordsPerSuspect, true);
        clock.advance(guard->quarantineTimeLeft(digest));
        CHECK(isAdmitted());
        const auto listener = std::make_shared<NotificationCounter>();
        guard->addListener(digest, listener);
        loseEndpoint(areTrialRecordsFull ? "e2" : "e1");
        CHECK_TEXT(guard->quarantineStatus(digest) == QuarantineStatus::Held, "the call may go on");
        CHECK(guard->quarantineTimeLeft(digest) > Quarantine::firstHold + Quarantine::holdSpread);
        CHECK_TEXT(runUntil(ioContext, [&] { return listener->count > 0; }), "the call was not notified");
        LONGS_EQUAL(1, listener->count);
        guard->removeListener(digest, *listener);
        guard->noteHarmless(digest);
        clock.advance(ServedRequests::entryLifetime);
    }
}

// Guards against holding a request whose runs in several zones end because the VM that carries them has failed.
TEST(CrashGuard, RunsThatEndWithTheVmThatCarriedThemCountAsOneLoss)
{
    loseConcurrentRuns(Milliseconds { 1 }, true);
    CHECK(guard->quarantineStatus(digest) == QuarantineStatus::Free);
    CHECK(guard->isSuspect(digest));
}

TEST(CrashGuard, RunsThroughAnotherVmThatEndOneByOneCountEach)
{
    loseConcurrentRuns(Milliseconds { 100 }, true);
    CHECK(guard->quarantineStatus(digest) == QuarantineStatus::Held);
}

TEST(CrashGuard, DirectRunsThatEndAtOnceInSeveralZonesCountEach)
{
    loseConcurrentRuns(Milliseconds { 1 }, false);
    CHECK(guard->quarantineStatus(digest) == QuarantineStatus::Held);
}

// Guards against refusing a harmless request because engines that ran it paused for less than a second.
TEST(CrashGuard, EndpointsThatPauseAreNoCrashes)
{
    silenceEndpoints();
    CHECK(guard->quarantineStatus(digest) == QuarantineStatus::Pending);
    endSilence();
    noteLoss("e4", "d", clock.now(), false);
    clock.advance(EndpointLosses::correlationWindow);
    CHECK(runUntil(ioContext, [this] { return guard->evidence(digest).score > 0; }));
    DOUBLES_EQUAL_TEXT(1, guard->evidence(digest).score, 0, "more than the broken connection counts");
    CHECK(guard->quarantineStatus(digest) == QuarantineStatus::Free);
}

// Guards against a hold that outlasts the silence, at this VM and at those that have received its records.
TEST(CrashGuard, CountedSilenceIsTakenBackWhenTheEndpointsGoOn)
{
    SharedRecords shared;
    guard->setReports(&shared);
    silenceEndpoints();
    for (const std::string id : { "e1", "e2", "e3" })
        directory->remove(id, clock.now());
    waitForEvaluation();
    CHECK(guard->quarantineStatus(digest) == QuarantineStatus::Held);
    LONGS_EQUAL(3, shared.ids.size());
    endSilence();
    CHECK_TEXT(isStatusReached(QuarantineStatus::Free), "the request is still held");
    CHECK_FALSE(guard->isSuspect(digest));
    LONGS_EQUAL_TEXT(0, shared.ids.size(), "other VMs still have the records");
}

// Guards against a request that is sent on because the endpoints that it crashed became silent.
TEST(CrashGuard, SilentEndpointsThatHaveBeenRemovedCountAsCrashed)
{
    silenceEndpoints();
    for (const std::string id : { "e1", "e2", "e3" })
        directory->remove(id, clock.now());
    waitForEvaluation();
    CHECK(guard->quarantineStatus(digest) == QuarantineStatus::Held);
}

// Guards against two trials at once when a VM stands still between the question and the answer.
TEST(CrashGuard, AGrantThatArrivesAfterAStallIsNotUsed)
{
    LONGS_EQUAL(1, admittedWhenDelayed(Quarantine::maxTrialTime));
}

TEST(CrashGuard, AGrantThatArrivesLateByANetworkDelayIsUsed)
{
    LONGS_EQUAL(1, admittedWhenDelayed(Milliseconds { 300 }));
}

// Guards against taking engines for crashed because their entries lapse while all engines of the service are suspended.
TEST(CrashGuard, EntriesRemovedWhileAllEndpointsAreSilentAreNoCrashes)
{
    constexpr std::chrono::milliseconds evaluationTime { 900 };
    directory->upsert({ "other", "service", { "other", 1 }, "z" }, clock.now());
    silenceEndpoints();
    for (const std::string id : { "e1", "e2", "e3" })
        directory->remove(id, clock.now());
    clock.advance(EndpointLosses::correlationWindow);
    ioContext.run_for(evaluationTime);
    CHECK_TEXT(guard->quarantineStatus(digest) == QuarantineStatus::Pending, "silence counts as a crash");
    clock.advance(Milliseconds { 1 });
    directory->find("other")->noteAlive(clock.now());
    CHECK_TEXT(isStatusReached(QuarantineStatus::Held), "entries removed beside a living endpoint do not count");
}

// Guards against taking answers of a restarted endpoint, whose new entry is not known yet, for signs of life of the one
// that crashed.
TEST(CrashGuard, SignsOfLifeOfARestartedEndpointDoNotExcuseTheRequest)
{
    silenceEndpoints();
    endSilence();
    const auto startTime = std::chrono::system_clock::now().time_since_epoch() - Milliseconds { 100 };
    const auto startedAt = std::chrono::duration_cast<Milliseconds>(startTime).count();
    for (const std::string id : { "e1", "e2", "e3" })
        directory->upsert(
            { "new " + id, "service", { id, 1 }, "zone of " + id, 1, false, "", static_cast<std::uint64_t>(startedAt) },
            clock.now());
    clock.advance(EndpointLosses::correlationWindow);
    CHECK_TEXT(isStatusReached(QuarantineStatus::Held), "the request is not held");
}
