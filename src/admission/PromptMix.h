// The engine priorities of this VM's prompts that wait for their first event, as a sample of all prompts that wait at
// the engines of a service.
//
// Load pattern: more prompts than the engines can read. Reports give the number of waiting prompts but not their
// priorities; most of them are late answers, which an answer in time overtakes. Counting all of them would declare
// every urgent answer late, counting none would declare none.
//
//     PromptMix::Scope scope(mix, priority);                 // Lives until the first event of the prompt.
//     const auto share = mix->aheadShare(priority);
//
// Not thread-safe.
#pragma once

#include "admission/RequestRank.h"
#include <array>
#include <memory>
#include <utility>

namespace lupinknot::internal {

class PromptMix {
public:
    class Scope {
    public:
        Scope(std::shared_ptr<PromptMix> mix, unsigned priority)
            : m_mix(std::move(mix))
            , m_priority(priority)
        {
            ++m_mix->m_counts.at(m_priority);
        }
        ~Scope() { --m_mix->m_counts.at(m_priority); }
        Scope(const Scope&) = delete;
        Scope& operator=(const Scope&) = delete;

    private:
        const std::shared_ptr<PromptMix> m_mix;
        const unsigned m_priority;
    };

    // Expected share of the waiting prompts that an engine reads before a prompt of this priority: half with no prompts
    // of this VM waiting, and weighted as two prompts otherwise.
    double aheadShare(unsigned priority) const
    {
        double ahead = 1;
        double all = 2;
        for (unsigned other = 0; other < m_counts.size(); ++other) {
            all += m_counts.at(other);
            ahead += other <= priority ? m_counts.at(other) : 0;
        }
        return ahead / all;
    }

private:
    std::array<unsigned, leastUrgentRank + 1> m_counts {};
};

} // namespace lupinknot::internal
