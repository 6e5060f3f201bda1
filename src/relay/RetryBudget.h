// Limits retries so that all VMs together keep to the deployment's budget without asking each other.
//
// Each VM spends at most its share: a ratio of the requests it took in the last window, plus a part of the fixed
// number. One budget for each service. Used on the relay's thread only.
#pragma once

#include "lupinknot/Clock.h"
#include <deque>

namespace lupinknot::internal {

struct RelaySettings;

class RetryBudget {
public:
    explicit RetryBudget(const RelaySettings&);
    void noteRequest(Milliseconds now);
    // Takes one retry out of the budget; false when there is none left.
    bool take(Milliseconds now);

private:
    void forgetOld(Milliseconds now);

    const RelaySettings& m_settings;
    std::deque<Milliseconds> m_requests;
    std::deque<Milliseconds> m_retries;
};

} // namespace lupinknot::internal
