#include "quarantine/EndpointLosses.h"

#include <CppUTest/TestHarness.h>

using namespace lupinknot;
using namespace lupinknot::internal;

TEST_GROUP(EndpointLosses)
{
    EndpointLosses losses;

    static EndpointLoss loss(const std::string& id, const std::string& zone, int at, const std::string& digest = "")
    {
        return { id, "s", zone, digest.empty() ? "of " + id : digest, Milliseconds { at } };
    }

    // Six engines in each of four zones.
    static constexpr OtherEndpointCounts manyOthers { 5, 23 };
};

TEST(EndpointLosses, SimultaneousLossesInZoneAreCorrelated)
{
    losses.note(loss("a1", "a", 1000), Milliseconds { 0 });
    losses.note(loss("a2", "a", 1300), Milliseconds { 0 });
    losses.note(loss("a3", "a", 1450), Milliseconds { 0 });
    CHECK(losses.isCorrelatedLoss(loss("a1", "a", 1000), manyOthers));
    CHECK(losses.isCorrelatedLoss(loss("a3", "a", 1450), manyOthers));
}

TEST(EndpointLosses, SingleOtherLossIsNotCorrelated)
{
    losses.note(loss("a1", "a", 1000), Milliseconds { 0 });
    losses.note(loss("a2", "a", 1100), Milliseconds { 0 });
    losses.note(loss("b1", "b", 1100), Milliseconds { 0 });
    CHECK_FALSE(losses.isCorrelatedLoss(loss("a1", "a", 1000), manyOthers));
}

TEST(EndpointLosses, LossOfBothEndpointsOfZoneIsCorrelated)
{
    losses.note(loss("a1", "a", 1000), Milliseconds { 0 });
    losses.note(loss("a2", "a", 1100), Milliseconds { 0 });
    CHECK(losses.isCorrelatedLoss(loss("a1", "a", 1000), { 1, 23 }));
}

TEST(EndpointLosses, LossOfHalfTheServiceIsCorrelated)
{
    losses.note(loss("a1", "a", 1000), Milliseconds { 0 });
    losses.note(loss("b1", "b", 1100), Milliseconds { 0 });
    losses.note(loss("c1", "c", 1100), Milliseconds { 0 });
    CHECK(losses.isCorrelatedLoss(loss("a1", "a", 1000), { 0, 3 }));
    CHECK_FALSE(losses.isCorrelatedLoss(loss("a1", "a", 1000), { 0, 5 }));
}

TEST(EndpointLosses, SeriesLostUnderOneRequestIsNotCorrelated)
{
    for (int i = 0; i < 3; ++i) {
        const auto id = "a" + std::to_string(i);
        losses.note(loss(id, "a", 1000 + 60 * i, "d"), Milliseconds { 0 });
        // A different request on the same endpoint each time.
        losses.note(loss(id, "a", 1000 + 60 * i), Milliseconds { 0 });
    }
    CHECK_FALSE(losses.isCorrelatedLoss(loss("a0", "a", 1000, "d"), manyOthers));
    CHECK_TEXT(losses.isCorrelatedLoss(loss("a0", "a", 1000), manyOthers),
        "the other requests on these endpoints lost them in a group");
}

TEST(EndpointLosses, IgnoresLossesOfOtherServicesAndTimes)
{
    losses.note(loss("a1", "a", 1000), Milliseconds { 0 });
    losses.note({ "t1", "t", "a", "d", Milliseconds { 1000 } }, Milliseconds { 0 });
    losses.note({ "t2", "t", "a", "d", Milliseconds { 1000 } }, Milliseconds { 0 });
    losses.note(loss("a2", "a", 1501), Milliseconds { 0 });
    losses.note(loss("a3", "a", 1501), Milliseconds { 0 });
    CHECK_FALSE(losses.isCorrelatedLoss(loss("a1", "a", 1000), manyOthers));
}

TEST(EndpointLosses, RequestSentAfterLossDidNotCauseIt)
{
    losses.note(loss("a1", "a", 1000), Milliseconds { 900 });
    CHECK(losses.wasLostBefore("a1", Milliseconds { 1001 }, Milliseconds { 900 }));
    CHECK_FALSE_TEXT(
        losses.wasLostBefore("a1", Milliseconds { 950 }, Milliseconds { 900 }), "the request was sent before the loss");
    CHECK_FALSE_TEXT(losses.wasLostBefore("a1", Milliseconds { 1500 }, Milliseconds { 1400 }),
        "the endpoint has shown life since the loss");
    CHECK_FALSE(losses.wasLostBefore("a2", Milliseconds { 1001 }, Milliseconds { 900 }));
}

TEST(EndpointLosses, EndpointSeenAliveAfterLossCanBeLostAgain)
{
    losses.note(loss("a1", "a", 1000), Milliseconds { 900 });
    losses.note(loss("a1", "a", 1200), Milliseconds { 900 });
    CHECK(losses.wasLostBefore("a1", Milliseconds { 1100 }, Milliseconds { 900 }));
    losses.note(loss("a1", "a", 2000), Milliseconds { 1500 });
    CHECK_FALSE(losses.wasLostBefore("a1", Milliseconds { 1900 }, Milliseconds { 1500 }));
}
