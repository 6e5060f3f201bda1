// Answers that callers received from a candidate version and, over the same time, of the present one. Counts are kept
// by route, because a version may be bad on a single route.
//
//     evidence.note("captions", RunnerVersion::Candidate, AnswerQuality::Bad);
//     fleet.add(evidence);                                    // Adds the counts of another VM.
//
// A plain value: separate instances can be used on separate threads.
#pragma once

#include <map>
#include <string>

namespace lupinknot::internal {

enum class RunnerVersion {
    Present,
    Candidate,
};

enum class AnswerQuality {
    Good,
    Bad, // A failure, or an answer that took several times as long as usual.
};

struct AnswerCounts {
    unsigned answers { 0 };
    unsigned bad { 0 };

    void add(const AnswerCounts& other)
    {
        answers += other.answers;
        bad += other.bad;
    }
};

struct RouteEvidence {
    AnswerCounts present;
    AnswerCounts candidate;
};

class VersionEvidence {
public:
    void note(const std::string& route, RunnerVersion, AnswerQuality);
    void set(const std::string& route, const RouteEvidence& counts) { m_routes[route] = counts; }
    void add(const VersionEvidence&);
    RouteEvidence total() const;
    const std::map<std::string, RouteEvidence>& routes() const { return m_routes; }

private:
    std::map<std::string, RouteEvidence> m_routes;
};

} // namespace lupinknot::internal
