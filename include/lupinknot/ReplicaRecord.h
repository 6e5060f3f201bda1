// What a VM holds of a generation that another VM runs.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/FinishReason.h"
#include "lupinknot/Generation.h"
#include "lupinknot/View.h"

namespace lupinknot {

// The request, in a form that the embedding program can parse again.
struct JournaledRequest {
    // The key that identifies an organisation's request on all VMs. A header's value cannot contain a line feed, so the
    // line feed is an unambiguous separator.
    static std::string scopedKey(const std::string& organisation, const std::string& idempotencyKey)
    {
        return organisation + "\n" + idempotencyKey;
    }

    std::string generation;
    // Unique across organisations.
    std::string key;
    std::string organisation;
    std::string idempotencyKey;
    std::string body;
    bool repeatable { true };
    Milliseconds timeLeft { 0 };
};

// The latest attempt, recorded so that another VM can attach to its stream.
struct JournaledAttempt {
    AttemptNumber number { 0 };
    std::string endpoint;
    std::string stream;
    // Position of the stream's first token in the answer.
    std::size_t position { 0 };
};

struct ReplicaRecord {
    ViewMember runner;
    JournaledRequest request;
    std::vector<TokenId> promptIds;
    std::vector<Token> tokens;
    std::optional<JournaledAttempt> attempt;
    std::optional<FinishReason> finishReason;
};

} // namespace lupinknot
