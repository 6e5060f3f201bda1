// Decides when a running run needs a new copy of its memory (KV cache), and from which copies a lost run can continue.
//
// Load pattern: 86 to 99% of the engines of one availability zone fail together every 3 to 7 s, zone after zone, and
// are back 1.2 s later with empty memory. A run lasts 5 to 10 s. Its engine sends a growing copy to one other engine,
// which is set when the run is sent; when the zone of that engine fails first, the run has no copy left when its own
// zone fails. The runs of a zone lose their copies together, and their new copies queue on the engines' network links.
//
//     CopyRenewal renewal(settings, fractionOfName(requestId));
//     const auto decision = renewal.decide(run, now);          // At each periodic check of the run.
//     if (decision.action == CopyAction::Order) ...            // Order a copy at another engine.
//     renewal.noteOrderEnded(CopyOrderResult::Rejected, now);
//     ...
//     for (const auto kind : usableCopies(run, now)) ...       // The run is lost: the copies to continue from, in
//     order.
//
// Plain values without I/O or synchronization. One object for each run.
#pragma once

#include "copies/CopyRenewalSettings.h"
#include "lupinknot/EnumNames.h"
#include <array>
#include <optional>
#include <vector>

namespace lupinknot::internal {

// Why a copy does not cover its run, or no longer does.
enum class CopyLoss {
    None, // The copy covers the run.
    NotRequested, // No copy has been requested.
    ZoneFailed, // The holder's zone has failed since the copy was requested.
    HolderRemoved, // The holder is no longer listed.
    HolderReplaced, // Another incarnation is listed at the holder's address; the copy may have been sent to it.
    HolderShuttingDown, // The holder takes no new work.
    RefreshRejected, // The copy could not be refreshed; its last state may still exist.
    Expired, // The copy was not refreshed in time.
};

inline constexpr std::array<EnumName<CopyLoss>, 8> copyLossNames { {
    { CopyLoss::None, "none" },
    { CopyLoss::NotRequested, "not-requested" },
    { CopyLoss::ZoneFailed, "zone-failed" },
    { CopyLoss::HolderRemoved, "holder-removed" },
    { CopyLoss::HolderReplaced, "holder-replaced" },
    { CopyLoss::HolderShuttingDown, "holder-shutting-down" },
    { CopyLoss::RefreshRejected, "refresh-rejected" },
    { CopyLoss::Expired, "expired" },
} };

// What is known of an engine that holds or receives a copy.
struct CopyHolderState {
    // Since the copy was requested.
    bool hasZoneFailed { false };
    bool isRemoved { false };
    // Another incarnation is listed at its address.
    bool isReplaced { false };
    bool isShuttingDown { false };
};

// A copy that was ordered and that the engine of the run has confirmed.
struct OrderedCopyState {
    CopyHolderState holder;
    // When the last confirmed order or refresh was sent: the copy holds at least the events up to then.
    Milliseconds confirmedAt { 0 };
    bool isRefreshRejected { false };
};

// What is known of a run and its copies.
struct CopiedRun {
    bool hasEvent { false };
    // True when the route permits the request to run again.
    bool mayRunAgain { false };
    // False while the run's engine is in back-off or suspected to have failed.
    bool isSourceUsable { true };
    // Expected time until the run ends.
    Milliseconds timeLeft { 0 };
    // How long a holder keeps a copy that is neither used nor refreshed.
    Milliseconds handleTime { 0 };
    // Holder of the copy that the engine sends as the run grows; nothing when none was requested.
    std::optional<CopyHolderState> growing;
    std::optional<OrderedCopyState> ordered;
    // Target of the order or refresh that is under way.
    std::optional<CopyHolderState> pending;
};

enum class CopyAction {
    None,
    Order, // Order a copy at another engine, in place of an order under way whose target is lost.
    Refresh, // Refresh the ordered copy.
};

struct CopyDecision {
    CopyAction action { CopyAction::None };
    // Why the run is not covered; None when it is.
    CopyLoss loss { CopyLoss::None };
    // True at the first decision that finds the run's cover lost.
    bool isNewLoss { false };
};

// How an order or a refresh has ended.
enum class CopyOrderResult {
    Copied,
    RunUnknown, // The engine does not run the request any more.
    Busy, // Another order for the run is under way.
    Rejected, // There is no room at the target, or no way to it.
    Unanswered, // No answer, or one that cannot be used.
};

inline constexpr std::array<EnumName<CopyOrderResult>, 5> copyOrderResultNames { {
    { CopyOrderResult::Copied, "copied" },
    { CopyOrderResult::RunUnknown, "run-unknown" },
    { CopyOrderResult::Busy, "busy" },
    { CopyOrderResult::Rejected, "rejected" },
    { CopyOrderResult::Unanswered, "unanswered" },
} };

enum class CopyKind {
    Growing, // The copy that the run's engine sends as the run grows.
    Ordered, // The copy that was ordered last.
};

CopyLoss lossOf(const CopyHolderState&);
CopyLoss lossOf(const OrderedCopyState&, Milliseconds handleTime, Milliseconds now);

// The copies from which the lost run can continue, in the order in which to try them: the ones that cover the run, the
// growing one first because it is updated several times a second; then the ones that may still exist. A copy that is
// known to be gone is left out, because a rejected continuation costs a retry and time.
std::vector<CopyKind> usableCopies(const CopiedRun&, Milliseconds now);

class CopyRenewal {
public:
    // `spread` is a number from 0 to 1 that differs between runs.
    CopyRenewal(const CopyRenewalSettings&, double spread);

    CopyDecision decide(const CopiedRun&, Milliseconds now);
    // An order or refresh was answered or timed out.
    void noteOrderEnded(CopyOrderResult, Milliseconds now);
    // No engine can take a copy at this time.
    void noteNoTarget(Milliseconds now);

private:
    bool isRefreshDue(const CopiedRun&, Milliseconds now) const;
    void waitAfterFailure(Milliseconds now);
    // Time from the loss of a copy to the order of a new one. Runs with the longest time left are copied first, because
    // they are the most likely to need the copy.
    Milliseconds orderDelay(Milliseconds timeLeft) const;

    CopyRenewalSettings m_settings;
    double m_spread;
    // Set while a new copy is needed.
    std::optional<Milliseconds> m_orderAt;
    Milliseconds m_nextOrderAt { 0 };
    // Number of orders in a row that an engine rejected or did not answer.
    unsigned m_failedOrders { 0 };
    bool m_hasReportedLoss { false };
    bool m_isRunGone { false };
};

} // namespace lupinknot::internal
