// Records which requests endpoints have started, by organisation.
//
// Used on the relay's thread only.
#pragma once

#include "lupinknot/Clock.h"
#include <string>

namespace lupinknot::internal {

class UsageRecorder {
public:
    virtual ~UsageRecorder() = default;
    // Call this once for each request, however many endpoints have run it.
    virtual void noteStarted(const std::string& organisation, Milliseconds startedAt) = 0;
};

} // namespace lupinknot::internal
