// An AttemptHost that records what it is asked for.
#pragma once

#include "lupinknot/AttemptHost.h"
#include <algorithm>

namespace lupinknot {

class FakeAttemptHost final : public AttemptHost {
public:
    explicit FakeAttemptHost(std::vector<EndpointName> endpoints)
        : available(std::move(endpoints))
    {
    }

    std::optional<EndpointChoice> chooseEndpoint(const std::vector<EndpointName>& avoid) override
    {
        if (available.empty())
            return std::nullopt;
        const auto isFree
            = [&avoid](const EndpointName& name) { return std::find(avoid.begin(), avoid.end(), name) == avoid.end(); };
        const auto found = std::find_if(available.begin(), available.end(), isFree);
        return EndpointChoice { found == available.end() ? available.front() : *found,
            std::make_shared<EndpointLiveness>(livenessSettings) };
    }

    void startAttempt(const AttemptOrder& order) override { orders.push_back(order); }
    void cancelAttempt(AttemptNumber attempt) override { cancelled.push_back(attempt); }
    void attemptEnded(const AttemptEnd& end) override { ends.push_back(end); }
    void resumed(const ResumeReport& report) override { resumptions.push_back(report); }

    std::string lastFailure() const
    {
        const auto& failure = ends.back().failure;
        return failure ? std::string(traitsOf(*failure).name) : "none";
    }

    LivenessSettings livenessSettings;
    std::vector<EndpointName> available;
    std::vector<AttemptOrder> orders;
    std::vector<AttemptNumber> cancelled;
    std::vector<AttemptEnd> ends;
    std::vector<ResumeReport> resumptions;
};

} // namespace lupinknot
