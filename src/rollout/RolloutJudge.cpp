#include "rollout/RolloutJudge.h"

#include <algorithm>
#include <cmath>

namespace lupinknot::internal {

namespace {

// A bad version's share of bad answers beyond the present one's, of those that are left. Bad versions fail a share that
// callers notice; a smaller difference cannot be told within a tenth of the requests.
constexpr double greaterByShare = 0.2;
// As long as the present version has shown little, its share of bad answers is taken for this.
constexpr double usualBadShare = 0.02;
constexpr double usualAnswers = 20;
constexpr double deviations = 1.5;
// Either side has to be this many times as likely: one order in a thousand may go wrong.
const double decisive = std::log(1000.0);
// A single route is judged bad by the same evidence, and good by less: it has a part of the answers only.
const double decisiveForRoute = std::log(20.0);
// Answers of the candidate without which nothing is acceptable.
constexpr unsigned fewestAnswers = 20;
// Answers of the present version without which the candidate is not judged: a service that fails for everyone would
// look like a bad version.
constexpr unsigned fewestToCompare = 50;

// The logarithm of how much likelier the answers are from a bad version than from one like the present one.
double evidenceAgainst(const RouteEvidence& counts)
{
    const double answers = counts.present.answers + usualAnswers;
    const double seen = (counts.present.bad + usualBadShare * usualAnswers) / answers;
    // Few answers may show less than there is: the share is taken some deviations higher.
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
        // A route without callers shows nothing and hinders nothing.
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
