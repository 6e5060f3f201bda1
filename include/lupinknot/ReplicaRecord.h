// What a VM holds of a generation that another VM runs.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/FinishReason.h"
#include "lupinknot/Generation.h"
#include "lupinknot/View.h"

namespace lupinknot {

// The request, in the form in which the embedding program can read it again.
struct JournaledRequest {
    // The key under which an organisation's request is known to all VMs. A line feed cannot be part of a header's
    // value, so it separates without doubt.
    static std::string scopedKey(const std::string& organisation, const std::string& idempotencyKey)
    {
        return organisation + "\n" + idempotencyKey;
    }

    std::string generation;
    // Unique over organisations.
    std::string key;
    std::string organisation;
    std::string idempotencyKey;
    std::string body;
    bool repeatable { true };
    Milliseconds timeLeft { 0 };
};

// The attempt that ran last, so that its stream can be attached to.
struct JournaledAttempt {
    AttemptNumber number { 0 };
    std::string endpoint;
    std::string stream;
    // The position of the stream's first token in the answer.
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
