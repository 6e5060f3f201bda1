// Keeps an engine in another availability zone supplied with a copy of a stream's current run, and states from which
// copies the stream can continue when the run is lost.
//
//     RunCopier copier(context, request, versions);
//     copier.consider(run, expectedTimeLeft, failedEngines);       // Called periodically.
//     ...
//     choice->setCopies(copier.runLost(run));                      // The run is lost.
//     copier.noteContinued(copy.name);                             // The next run was sent to this copy.
//     copier.releaseUnused();                                      // The next run produces events.
//
// Orders cost no retry, because the run continues. They pass only between this VM and the run's engine. Used on the
// relay's thread only. Owned by the stream's call, which calls end() in every case; no answer is
// handled after its destruction.
#pragma once

#include "copies/CopyRenewal.h"
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lupinknot::internal {

class RelayEndpoint;
class RequestVersions;
class RunCopyOrder;
struct CopyOrderAnswer;
struct RelayContext;
struct RelayRequest;
struct RunTarget;
struct StreamRun;

class RunCopier {
public:
    using Engines = std::vector<std::shared_ptr<RelayEndpoint>>;

    // The context, the request and the request's versions must outlive the copier.
    RunCopier(RelayContext&, const RelayRequest&, RequestVersions&);
    ~RunCopier();
    RunCopier(const RunCopier&) = delete;
    RunCopier& operator=(const RunCopier&) = delete;

    // False when the engines of the service lack one of the features that this needs, or are all in the run's zone.
    bool isEnabledFor(const StreamRun&) const;
    // Orders or refreshes a copy of the run if CopyRenewal decides so.
    void consider(const StreamRun&, Milliseconds expectedTimeLeft, const Engines& failed);
    // The copies from which the run can continue, in the order in which to try them.
    std::vector<RunTarget> copiesOf(const StreamRun&) const;
    // Ends the orders for the run. Returns its copies.
    std::vector<RunTarget> runLost(const StreamRun&);
    // A run that continues from the copy with this name was sent; its engine frees the copy.
    void noteContinued(const std::string& name);
    // Frees the copies of earlier runs that are not in use.
    void releaseUnused();
    // Frees all copies: the stream has ended.
    void end();

private:
    // A copy that was ordered and made.
    struct Copy {
        std::shared_ptr<RelayEndpoint> source;
        std::shared_ptr<RelayEndpoint> holder;
        std::string handle;
        Milliseconds confirmedAt { 0 };
        bool isRefreshRejected { false };
    };

    CopiedRun describe(const StreamRun&, Milliseconds timeLeft, Milliseconds now) const;
    CopyHolderState stateOf(const RelayEndpoint& holder, Milliseconds since) const;
    void noteLoss(const StreamRun&, CopyLoss);
    void order(const StreamRun&, CopyLoss, const Engines& failed, Milliseconds now);
    void send(const StreamRun&, const std::shared_ptr<RelayEndpoint>& target, std::string_view reason);
    void orderAnswered(RunCopyOrder&, const CopyOrderAnswer&);
    void orderEnded(const RunCopyOrder&, const CopyOrderAnswer&);
    void lateOrderEnded(const RunCopyOrder&, const CopyOrderAnswer&);
    void replaceCopy(Copy);
    void endOrder();
    void endAllOrders();
    CopyRenewal makeRenewal() const;

    RelayContext& m_context;
    const RelayRequest& m_request;
    RequestVersions& m_versions;
    CopyRenewal m_renewal;
    std::optional<Copy> m_copy;
    std::shared_ptr<RunCopyOrder> m_order;
    // Orders that have timed out and may still be answered.
    std::vector<std::shared_ptr<RunCopyOrder>> m_lateOrders;
    // Targets that could not take a copy of the current run.
    Engines m_rejectedTargets;
    // Copies of earlier runs.
    std::vector<Copy> m_earlierCopies;
};

} // namespace lupinknot::internal
