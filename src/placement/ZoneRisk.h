// The expected loss of a run because its zone fails, as a surcharge in the choice of an engine.
//
// Load pattern: the zones of a service fail in turn every 3 to 7 s and are back 1.2 s later, so that the zone that is
// next to fail is known, while all zones are needed to carry the load.
//
//     const ZoneRisk risk(history, { "a", "b", "c" }, now);
//     cost += risk.surcharge("a", { .untilFirstEvent = 1.2, .afterFirstEvent = 5 });
//
// The weight follows from what a loss costs. A run that is lost before its first event reads its prompt again: one
// prefill for each loss. A run that is lost later continues from its copy and loses the pause until its next event,
// about a fifth of a prefill. A zone that fails next with certainty every 5 s (0.2 failures a second) thus costs a run
// with 1.2 s until its first event and 5 s after it 0.2 * (1.2 + 0.2 * 5) = 0.44 prefills: less than a single prompt
// that waits at a loaded engine, so that an idle engine in a zone at risk still gets the run.
//
// The risk counts only as far as it exceeds the lowest one, so that the surcharge is zero where no zone is preferred.
//
// A plain value without input or output; not thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include <map>
#include <string>
#include <vector>

namespace lupinknot::internal {

class ZoneFailureHistory;

// Times of a run, in seconds.
struct RunTimes {
    double untilFirstEvent { 1.2 };
    double afterFirstEvent { 5 };
};

class ZoneRisk {
public:
    // Prefills that a loss after the first event costs.
    static constexpr double lossWithCopy = 0.2;

    // No zone is at risk.
    ZoneRisk() = default;
    // The risk of the zones of a service by the history of its zone failures.
    ZoneRisk(const ZoneFailureHistory&, const std::vector<std::string>& zones, Milliseconds now);

    // Expected failures of the zone per second beyond those of the zone with the lowest risk.
    double excess(const std::string& zone) const;
    // The expected loss of a run in the zone, in prefills.
    double surcharge(const std::string& zone, const RunTimes&) const;
    // How much the zone's risk exceeds the lowest one, as a share of the greatest excess: 0 for the safest zone, and
    // for all zones where none is preferred.
    double relativeExcess(const std::string& zone) const;

private:
    std::map<std::string, double> m_excess;
    double m_greatestExcess { 0 };
};

} // namespace lupinknot::internal
