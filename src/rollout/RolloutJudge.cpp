#include "rollout/RolloutJudge.h"

#include <algorithm>
#include <cmath>

namespace lupinknot::internal {

namespace {

// How much greater a bad version's share of bad answers is than the present version's, as a share of the rest up to 1.
// Bad versions fail a share that callers notice. A smaller difference cannot be detected within a tenth of the
// requests.
constexpr double badShareIncrease = 0.2;
// Prior for the present version's share of bad answers. It only matters while the present version has few answers.
constexpr double priorBadShare = 0.02;
constexpr double priorAnswers = 20;
constexpr double baselineDeviations = 1.5;
// One hypothesis has to be this many times as likely as the other, so that one order in a thousand may be decided
// wrongly.
const double decisiveLogRatio = std::log(1000.0);
// A single route needs the same evidence to be judged bad, but less to be judged good, because it has only a part of
// the answers.
const double decisiveLogRatioForRoute = std::log(20.0);
// A candidate with fewer answers is never acceptable.
constexpr unsigned minimumCandidateAnswers = 20;
// With fewer answers of the present version the candidate is not judged bad: a service that fails for everyone would
// look like a bad version.
constexpr unsigned minimumPresentAnswers = 50;

// Logarithm of the likelihood ratio: how much likelier the answers are from a bad version than from one like the
// present version.
double logLikelihoodRatio(const RouteEvidence& counts)
{
    const double answers = counts.present.answers + priorAnswers;
    const double observedShare = (counts.present.bad + priorBadShare * priorAnswers) / answers;
    // With few answers the observed share may be too low, so the baseline is some standard deviations above it.
    const double baselineShare
        = observedShare + baselineDeviations * std::sqrt(observedShare * (1 - observedShare) / answers);
    const double badVersionShare = baselineShare + badShareIncrease * (1 - baselineShare);
    const double bad = counts.candidate.bad;
    const double good = counts.candidate.answers - bad;
    return bad * std::log(badVersionShare / baselineShare)
        + good * std::log((1 - badVersionShare) / (1 - baselineShare));
}

} // namespace

Judgement judge(const VersionEvidence& evidence)
{
    const auto totalLogRatio = logLikelihoodRatio(evidence.total());
    bool isGood = totalLogRatio <= -decisiveLogRatio;
    const auto hasBaseline
        = [](const RouteEvidence& counts) { return counts.present.answers >= minimumPresentAnswers; };
    bool isBad = hasBaseline(evidence.total()) && totalLogRatio >= decisiveLogRatio;
    for (const auto& [route, counts] : evidence.routes()) {
        const auto routeLogRatio = logLikelihoodRatio(counts);
        isBad = isBad || (hasBaseline(counts) && routeLogRatio >= decisiveLogRatio);
        // A route without callers gives no evidence and does not prevent a good verdict.
        isGood = isGood && (counts.present.answers == 0 || routeLogRatio <= -decisiveLogRatioForRoute);
    }
    return isBad ? Judgement::Bad : isGood ? Judgement::Good : Judgement::Open;
}

bool isAcceptable(const VersionEvidence& evidence)
{
    const auto& routes = evidence.routes();
    const auto total = evidence.total();
    const auto isNotBad = [](const auto& route) { return logLikelihoodRatio(route.second) <= 0; };
    return total.candidate.answers >= minimumCandidateAnswers && logLikelihoodRatio(total) <= -decisiveLogRatioForRoute
        && std::all_of(routes.begin(), routes.end(), isNotBad);
}

} // namespace lupinknot::internal
