// Interface through which a VM borrows a retry from another VM when its own part of the retry budget is spent.
//
//     m_loanRequest = loans.ask({ id, service, RetryPurpose::Continuation }, [this](const auto& loan) { ... });
//
// Used on the relay's thread only.
#pragma once

#include "admission/RequestRank.h"
#include "admission/RetryPurpose.h"
#include "lupinknot/Clock.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lupinknot::internal {

struct RetryLoanRequest {
    // For logs only.
    std::string requestId;
    std::string service;
    RetryPurpose purpose { RetryPurpose::Continuation };
    unsigned rank { defaultRequestRank };
};

// One retry that another VM counts as its own.
struct RetryLoan {
    // The lender may stop counting the retry a window after this time, so it must not be sent later.
    Milliseconds validUntil { 0 };

    bool isValid(Milliseconds now) const { return now <= validUntil; }
};

class RetryLoanSource {
public:
    // Gets nothing when no VM lends a retry in time.
    using Callback = std::function<void(const std::optional<RetryLoan>&)>;

    virtual ~RetryLoanSource() = default;
    // Calls back once, never before it returns. The request is cancelled when the returned object is destroyed.
    [[nodiscard]] virtual std::shared_ptr<void> ask(const RetryLoanRequest&, Callback) = 0;
};

} // namespace lupinknot::internal
