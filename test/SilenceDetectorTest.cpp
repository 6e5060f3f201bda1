#include "lupinknot/EndpointLiveness.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;

namespace {

Milliseconds at(std::int64_t milliseconds) { return Milliseconds { milliseconds }; }

constexpr SilenceBounds bounds { Milliseconds { 100 }, Milliseconds { 1000 } };

void observe(SilenceDetector& detector, std::size_t count, std::int64_t gap)
{
    for (std::size_t i = 0; i < count; ++i)
        detector.observe(at(gap));
}

} // namespace

TEST_GROUP(SilenceDetector) {};

TEST(SilenceDetector, StaysAtTheCeilingUntilItKnowsEnoughGaps)
{
    const auto detector = makeSilenceDetector(DetectorKind::Quantile, bounds);
    observe(*detector, 15, 20);
    LONGS_EQUAL(1000, detector->silenceTimeout().count());
}

TEST(SilenceDetector, NeverGoesBelowTheFloor)
{
    const auto detector = makeSilenceDetector(DetectorKind::Quantile, bounds);
    observe(*detector, 64, 1);
    LONGS_EQUAL(100, detector->silenceTimeout().count());
}

TEST(SilenceDetector, AllowsAMultipleOfTheLongGapsByQuantile)
{
    const auto detector = makeSilenceDetector(DetectorKind::Quantile, bounds);
    observe(*detector, 64, 50);
    LONGS_EQUAL(150, detector->silenceTimeout().count());
}

TEST(SilenceDetector, ForgetsGapsThatAreLongPast)
{
    const auto detector = makeSilenceDetector(DetectorKind::Quantile, bounds);
    observe(*detector, 64, 300);
    observe(*detector, 256, 50);
    LONGS_EQUAL(150, detector->silenceTimeout().count());
}

TEST(SilenceDetector, AllowsALittleMoreThanTheLongestGapByMaximum)
{
    const auto detector = makeSilenceDetector(DetectorKind::Maximum, bounds);
    observe(*detector, 1, 200);
    observe(*detector, 127, 20);
    LONGS_EQUAL(260, detector->silenceTimeout().count());
}

TEST(SilenceDetector, KeepsALongGapInMindForAThousandMore)
{
    const auto detector = makeSilenceDetector(DetectorKind::Maximum, bounds);
    observe(*detector, 1, 200);
    observe(*detector, 1007, 20);
    LONGS_EQUAL(260, detector->silenceTimeout().count());
    observe(*detector, 32, 20);
    LONGS_EQUAL(100, detector->silenceTimeout().count());
}

TEST(SilenceDetector, TakesTheMeanAloneWhenPhiAccrualSeesNoSpread)
{
    const auto detector = makeSilenceDetector(DetectorKind::PhiAccrual, bounds);
    observe(*detector, 64, 200);
    LONGS_EQUAL(200, detector->silenceTimeout().count());
}

TEST(SilenceDetector, AnswersWithTheFloorWhenFixed)
{
    const auto detector = makeSilenceDetector(DetectorKind::Fixed, bounds);
    observe(*detector, 64, 900);
    LONGS_EQUAL(100, detector->silenceTimeout().count());
}

TEST_GROUP(EndpointLiveness)
{
    LivenessSettings settings { DetectorKind::Fixed, { at(100), at(1000) }, at(5000), at(400), at(3000) };
    EndpointLiveness liveness { settings };

    void checkVerdict(LivenessVerdict expected, std::int64_t now, const StreamActivity& activity)
    {
        LONGS_EQUAL(static_cast<int>(expected), static_cast<int>(liveness.verdict(at(now), activity)));
    }
};

TEST(EndpointLiveness, SuspectsAnEndpointWhoseStreamsAreAllSilent)
{
    const StreamActivity activity { at(1000), true };
    checkVerdict(LivenessVerdict::Alive, 1099, activity);
    checkVerdict(LivenessVerdict::EndpointSilent, 1100, activity);
}

TEST(EndpointLiveness, TakesATokenOfAnotherStreamAsASignOfLife)
{
    const StreamActivity activity { at(1000), true };
    liveness.tokenSeen(at(1090), std::nullopt);
    checkVerdict(LivenessVerdict::Alive, 1189, activity);
    checkVerdict(LivenessVerdict::EndpointSilent, 1190, activity);
}

TEST(EndpointLiveness, SuspectsALoneSilentStreamLater)
{
    const StreamActivity activity { at(1000), true };
    liveness.tokenSeen(at(6000), std::nullopt);
    checkVerdict(LivenessVerdict::StreamSilent, 6000, activity);
}

TEST(EndpointLiveness, GivesAFirstTokenTheTimeOfAPrefill)
{
    const StreamActivity activity { at(1000), false };
    checkVerdict(LivenessVerdict::Alive, 1399, activity);
    checkVerdict(LivenessVerdict::EndpointSilent, 1400, activity);
}

TEST(EndpointLiveness, LimitsTheWaitForAFirstTokenOnALiveEndpoint)
{
    const StreamActivity activity { at(1000), false };
    liveness.tokenSeen(at(3900), std::nullopt);
    checkVerdict(LivenessVerdict::Alive, 3999, activity);
    checkVerdict(LivenessVerdict::StreamSilent, 4000, activity);
}

TEST(EndpointLiveness, TellsWhenItsVerdictCanChange)
{
    const StreamActivity activity { at(1000), true };
    LONGS_EQUAL(1100, liveness.nextCheck(activity).count());
}
