#include "rollout/VersionEvidence.h"

namespace lupinknot::internal {

void VersionEvidence::note(const std::string& route, RunnerVersion version, AnswerQuality quality)
{
    auto& counts = m_routes[route];
    auto& versionCounts = version == RunnerVersion::Candidate ? counts.candidate : counts.present;
    versionCounts.add({ 1, quality == AnswerQuality::Bad ? 1U : 0U });
}

void VersionEvidence::add(const VersionEvidence& other)
{
    for (const auto& [route, counts] : other.m_routes) {
        auto& sum = m_routes[route];
        sum.present.add(counts.present);
        sum.candidate.add(counts.candidate);
    }
}

RouteEvidence VersionEvidence::total() const
{
    RouteEvidence sum;
    for (const auto& [route, counts] : m_routes) {
        sum.present.add(counts.present);
        sum.candidate.add(counts.candidate);
    }
    return sum;
}

} // namespace lupinknot::internal
