// What a GenerationDriver needs from the program that embeds it.
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

// The order to run the rest of a generation on an endpoint.
struct AttemptOrder {
    AttemptNumber number;
    EndpointName endpoint;
    // Tokens already held: they are the attempt's prefix, and its first token has this position.
    std::size_t position;
    // True when the attempt attaches to the stream that the generation's last attempt on another VM left running.
    bool attaches;
};

// How an attempt's time on its endpoint ended, for the endpoint's books.
struct AttemptEnd {
    AttemptNumber number;
    EndpointName endpoint;
    // Nothing when the attempt did its work or was cancelled through no fault of the endpoint.
    std::optional<FailureKind> failure;
};

// A continuation that has brought its first token.
struct ResumeReport {
    AttemptNumber number;
    FailureKind failure;
    std::size_t position;
    // From the last token before the loss (or the start of the lost attempt) to the first token after it.
    Milliseconds gap;
    // From the moment the loss was known to the first token after it.
    Milliseconds sinceDetection;
};

// Calls come from within the driver's own methods, under the lock that protects it; an implementation must return at
// once and must not call the driver back on the same stack.
class AttemptHost {
public:
    virtual ~AttemptHost() = default;
    // Chooses an endpoint, not one of those to avoid if there is another; nothing when none can take work now.
    virtual std::optional<EndpointChoice> chooseEndpoint(const std::vector<EndpointName>& avoid) = 0;
    virtual void startAttempt(const AttemptOrder&) = 0;
    // Stops the attempt's work on its endpoint. Whatever still arrives from it is refused.
    virtual void cancelAttempt(AttemptNumber) = 0;
    virtual void attemptEnded(const AttemptEnd&) = 0;
    virtual void resumed(const ResumeReport&) = 0;
};

} // namespace lupinknot
