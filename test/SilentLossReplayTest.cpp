// Replays engines that become silent under many requests with the same content. Guards against refusing a harmless
// request because engines pause, and against sending on one whose engines crash without closing their connections.
#include "RunUntil.h"
#include "lupinknot/MonotonicClock.h"
#include "relay/CrashGuard.h"
#include "relay/EndpointDirectory.h"
#include "relay/EndpointProbe.h"
#include "relay/RelaySettings.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

namespace {

// Answers for an endpoint according to its silence.
class ReplayedProbe final : public EndpointProbe {
public:
    explicit ReplayedProbe(std::function<ProbeResult(RelayEndpoint&)> answer)
        : m_answer(std::move(answer))
    {
    }

    void probe(const std::shared_ptr<RelayEndpoint>& endpoint, Callback callback) override
    {
        callback(m_answer(*endpoint));
    }

private:
    std::function<ProbeResult(RelayEndpoint&)> m_answer;
};

} // namespace

TEST_GROUP(SilentLossReplay)
{
    static constexpr std::size_t engineCount = 18;
    static constexpr std::size_t zoneCount = 3;
    static constexpr Milliseconds callInterval { 40 };
    static constexpr Milliseconds timeUntilDetected { 250 };

    const std::string digest = "d";
    boost::asio::io_context ioContext;
    MonotonicClock clock;
    RelaySettings settings;
    EndpointDirectory directory { ioContext, settings };
    CrashGuard guard { ioContext, clock, settings, directory };
    ProbeResult resultWhileSilent { ProbeResult::Unanswered };
    ReplayedProbe probe { [this](RelayEndpoint& endpoint) {
        if (isSilent(endpoint.entry().id))
            return resultWhileSilent;
        endpoint.noteAlive(clock.now());
        return ProbeResult::Answered;
    } };
    // By engine: the end of its silence.
    std::map<std::string, Milliseconds> silentUntil;
    struct Run {
        std::string engine;
        Milliseconds sentAt;
    };
    std::vector<Run> runs;
    std::vector<Milliseconds> crashes;
    std::size_t sent { 0 };
    std::size_t refused { 0 };
    std::size_t waiting { 0 };

    void setup() override
    {
        guard.setProbe(&probe);
        for (std::size_t i = 0; i < engineCount; ++i)
            directory.upsert(
                { nameOf(i), "service", { nameOf(i), 1 }, "zone " + std::to_string(i % zoneCount) }, clock.now());
    }

    static std::string nameOf(std::size_t number) { return "e" + std::to_string(number); }
    bool isSilent(const std::string& engine) { return clock.now() < silentUntil[engine]; }

    // Sends the request, unless the guard prevents it. With endsEngines it silences its engine for good.
    void call(bool endsEngines)
    {
        const auto status = guard.quarantineStatus(digest);
        refused += status == QuarantineStatus::Held;
        waiting += status == QuarantineStatus::Pending;
        if (status != QuarantineStatus::Free)
            return;
        const auto engine = nameOf(sent++ % engineCount);
        runs.push_back({ engine, clock.now() });
        if (endsEngines && !isSilent(engine)) {
            silentUntil[engine] = Milliseconds::max();
            crashes.push_back(clock.now());
        }
    }

    // Losses of silent runs; all others have shown a sign of life.
    void detectSilence()
    {
        const auto now = clock.now();
        std::erase_if(runs, [&](const Run& run) {
            if (now - run.sentAt < timeUntilDetected)
                return false;
            const auto endpoint = directory.find(run.engine);
            if (isSilent(run.engine))
                guard.noteLoss({ "r", digest, endpoint, run.sentAt,
                    { FailureKind::Silent, RunStart::Begun, Milliseconds { 60 } } });
            else
                endpoint->noteAlive(now);
            return true;
        });
    }

    void replay(Milliseconds duration, bool endsEngines, const std::function<void()>& silenceEngines)
    {
        const auto end = clock.now() + duration;
        auto nextCallAt = clock.now();
        CHECK(runUntil(ioContext, [&] {
            silenceEngines();
            detectSilence();
            for (; clock.now() >= nextCallAt; nextCallAt += callInterval)
                call(endsEngines);
            return clock.now() >= end;
        }));
    }

    // A third of the engines at a time, in turn.
    void replayPauses(Milliseconds pause, Milliseconds interval, Milliseconds duration)
    {
        auto nextAt = clock.now();
        std::size_t turn = 0;
        replay(duration, false, [&] {
            if (clock.now() < nextAt)
                return;
            for (std::size_t i = turn % zoneCount; i < engineCount; i += zoneCount)
                silentUntil[nameOf(i)] = clock.now() + pause;
            nextAt += interval;
            ++turn;
        });
    }

    // The engines of some zones together.
    void replayCommonPauses(std::size_t zones, Milliseconds pause, Milliseconds interval, Milliseconds duration)
    {
        auto nextAt = clock.now();
        replay(duration, false, [&] {
            if (clock.now() < nextAt)
                return;
            for (std::size_t i = 0; i < engineCount; ++i) {
                if (i % zoneCount < zones)
                    silentUntil[nameOf(i)] = clock.now() + pause;
            }
            nextAt += interval;
        });
        LONGS_EQUAL_TEXT(0, refused, "a harmless request was held");
        CHECK(sent > 0);
    }

    void replayCrashes(ProbeResult resultOfCrashed)
    {
        constexpr Milliseconds judgementTime { 1000 };
        constexpr std::ptrdiff_t maxLateCrashes = 3;
        resultWhileSilent = resultOfCrashed;
        replay(Milliseconds { 4500 }, true, [] {});
        CHECK(crashes.size() >= 3);
        const auto known = crashes[2] + judgementTime;
        CHECK(std::count_if(crashes.begin(), crashes.end(), [known](auto at) { return at > known; }) <= maxLateCrashes);
        CHECK(guard.quarantineStatus(digest) == QuarantineStatus::Held);
    }
};

TEST(SilentLossReplay, PausesOfAThirdAtATimeHoldNothing)
{
    replayPauses(Milliseconds { 800 }, Milliseconds { 600 }, Milliseconds { 3500 });
    LONGS_EQUAL_TEXT(0, refused, "a harmless request was held");
    CHECK(sent > 0);
}

// Guards against taking engines for crashed by the request that all of them were running when all of them paused.
TEST(SilentLossReplay, PausesOfAllEnginesForLongerThanUsualHoldNothing)
{
    replayCommonPauses(zoneCount, Milliseconds { 3300 }, Milliseconds { 3600 }, Milliseconds { 7100 });
    CHECK_TEXT(runUntil(ioContext, [this] { return guard.quarantineStatus(digest) == QuarantineStatus::Free; }),
        "the request waits after the pauses");
}

// Guards against the same where the engines of one zone go on answering.
TEST(SilentLossReplay, PausesOfTwoZonesForLongerThanUsualHoldNothing)
{
    replayCommonPauses(2, Milliseconds { 3300 }, Milliseconds { 3600 }, Milliseconds { 7100 });
}

TEST(SilentLossReplay, RequestWhoseEnginesCannotBeReachedIsHeld) { replayCrashes(ProbeResult::NotConnected); }

TEST(SilentLossReplay, RequestWhoseEnginesHangIsHeld) { replayCrashes(ProbeResult::Unanswered); }
