#include "rollout/RolloutJudge.h"

#include <algorithm>
#include <cmath>

namespace lupinknot::internal {

namespace {

// How much greater a bad version's share of bad answers is than the present version's, as a share of the rest up to 1.
// Bad versions fail a share that callers notice. A smaller difference cannot be detected within a tenth of the
// requests.
constexpr double greaterByShare = 0.2;
// Prior for the present version's share of bad answers. It only matters while the present version has few answers.
constexpr double usualBadShare = 0.02;
constexpr double usualAnswers = 20;
constexpr double deviations = 1.5;
// One hypothesis has to be this many times as likely as the other, so that one order in a thousand may be decided
// wrongly.
const double decisive = std::log(1000.0);
// A single route needs the same evidence to be judged bad, but less to be judged good, because it has only a part of
// the answers.
const double decisiveForRoute = std::log(20.0);
// A candidate with fewer answers is never acceptable.
constexpr unsigned fewestAnswers = 20;
// With fewer answers of the present version the candidate is not judged bad: a service that fails for everyone would
// look like a bad version.
constexpr unsigned fewestToCompare = 50;

// Logarithm of the likelihood ratio: how much likelier the answers are from a bad version than from one like the
// present version.
double evidenceAgainst(const RouteEvidence& counts)
{
    const double answers = counts.present.answers + usualAnswers;
    const double seen = (counts.present.bad + usualBadShare * usualAnswers) / answers;
    // With few answers the observed share may be too low, so the baseline is some standard deviations above it.
    const double usual = seen + deviations * std::sqrt(seen * (1 - seen) / answers);
    const double greater = usual + greaterByShare * (1 - usual);
    const double bad = counts.candidate.bad;
    const double good = counts.candidate.answers - bad;
    return bad * std::log(greater / usual) + good * std::log((1 - greater) / (1 - usual));
}

} // namespace

Judgement judge(const VersionEvidence& evidence)
{
    const auto against = evidenceAgainst(evidence.total());
    bool isGood = against <= -decisive;
    const auto canBeBad = [](const RouteEvidence& counts) { return counts.present.answers >= fewestToCompare; };
    bool isBad = canBeBad(evidence.total()) && against >= decisive;
    for (const auto& [route, counts] : evidence.routes()) {
        const auto onRoute = evidenceAgainst(counts);
        isBad = isBad || (canBeBad(counts) && onRoute >= decisive);
        // A route without callers gives no evidence and does not prevent a good verdict.
        isGood = isGood && (counts.present.answers == 0 || onRoute <= -decisiveForRoute);
    }
    return isBad ? Judgement::Bad : isGood ? Judgement::Good : Judgement::Open;
}

bool isAcceptable(const VersionEvidence& evidence)
{
    const auto& routes = evidence.routes();
    const auto total = evidence.total();
    const auto isNotBad = [](const auto& route) { return evidenceAgainst(route.second) <= 0; };
    return total.candidate.answers >= fewestAnswers && evidenceAgainst(total) <= -decisiveForRoute
        && std::all_of(routes.begin(), routes.end(), isNotBad);
}

} // namespace lupinknot::internal
