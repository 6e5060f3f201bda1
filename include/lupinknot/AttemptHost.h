// The interface between a GenerationDriver and the program that embeds it.
#pragma once

#include "lupinknot/EndpointLiveness.h"
#include "lupinknot/FailureKind.h"
#include "lupinknot/Generation.h"
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lupinknot {

using EndpointName = std::string;

struct EndpointChoice {
    EndpointName name;
    std::shared_ptr<EndpointLiveness> liveness;
};

// A request to the host to run the rest of a generation on an endpoint.
struct AttemptOrder {
    AttemptNumber number;
    EndpointName endpoint;
    // Number of tokens already held. They are the attempt's prefix, and its first token has this position.
    std::size_t position;
    // True when the attempt attaches to a stream that the generation's last attempt, on another VM, left running.
    bool attaches;
};

// The end of an attempt, for the host's records about the endpoint.
struct AttemptEnd {
    AttemptNumber number;
    EndpointName endpoint;
    // Empty when the attempt succeeded, or was cancelled for a reason that is not the endpoint's fault.
    std::optional<FailureKind> failure;
};

// A resumption, reported at the first token after a loss.
struct ResumeReport {
    AttemptNumber number;
    FailureKind failure;
    std::size_t position;
    // From the last token before the loss (or the start of the lost attempt) to the first token after it.
    Milliseconds gap;
    // From the detection of the loss to the first token after it.
    Milliseconds sinceDetection;
};

// The driver calls these methods from within its own methods, under the lock that protects it. An implementation must
// return at once and must not call the driver back on the same stack.
class AttemptHost {
public:
    virtual ~AttemptHost() = default;
    // Chooses an endpoint, if possible none of those to avoid. Empty when no endpoint can take work now.
    virtual std::optional<EndpointChoice> chooseEndpoint(const std::vector<EndpointName>& avoid) = 0;
    virtual void startAttempt(const AttemptOrder&) = 0;
    // Stops the attempt's work on its endpoint. The driver refuses all that still arrives from the attempt.
    virtual void cancelAttempt(AttemptNumber) = 0;
    virtual void attemptEnded(const AttemptEnd&) = 0;
    virtual void resumed(const ResumeReport&) = 0;
};

} // namespace lupinknot
