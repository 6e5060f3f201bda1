// Limits retries so that all VMs together keep to the deployment's budget without asking each other.
//
// Each VM spends at most its share: a ratio of the requests it took in the last window, plus a part of the fixed
// number. What saves an answer under way may spend all of it, and a little more, because failures strike some VMs more
// than others; what is only a precaution, or follows from a full service, which strikes all VMs alike, leaves a part
// for that. One budget for each service. Used on the relay's thread only.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <deque>

namespace lupinknot::internal {

struct RelaySettings;

enum class RetryPurpose {
    Rescue, // An answer that has begun, or a request whose endpoint failed, goes on elsewhere.
    FullService, // An endpoint turned the request away. A service that is full is full for all VMs at once.
    Precaution, // Nothing has failed yet: a second sending of a slow call, or a move to where a copy can grow.
};

class RetryBudget {
public:
    explicit RetryBudget(const RelaySettings&);
    void noteRequest(Milliseconds now);
    // Takes one retry out of the budget; false when there is none left.
    bool take(RetryPurpose, Milliseconds now);
    // Returns a retry that was taken and has not reached an endpoint: only what arrives counts.
    void giveBack();

private:
    void forgetOld(Milliseconds now);

    const RelaySettings& m_settings;
    std::deque<Milliseconds> m_requests;
    std::deque<Milliseconds> m_retries;
};

} // namespace lupinknot::internal
