// Serves a request with a single, non-streamed answer.
//
// The answer is buffered until it is complete, so that the caller never takes a truncated answer for a complete one and
// an idempotent call can be sent to another endpoint. An idempotent call whose endpoint is slow is also sent to a
// second endpoint (hedging), and the first good answer is used.
//
// A call that must not run twice is sent again only if the first attempt provably did not run.
//
// A call that no endpoint has accepted waits for capacity; admission/WaitForCapacity decides how long. Used on the
// relay's thread only. Owned by its pending timers and the exchange's callback.
#pragma once

#include "admission/AnswerMemory.h"
#include "admission/DeliveryHistory.h"
#include "relay/CrashTracker.h"
#include "relay/EndpointCall.h"
#include "relay/OpenCalls.h"
#include "relay/RelayRefusal.h"
#include "relay/RelayRequest.h"
#include "relay/RequestVersions.h"
#include <boost/asio/steady_timer.hpp>
#include <vector>

namespace lupinknot::internal {

struct UnplacedRequest;
struct WaitingCall;
class PermitWait;
struct PlacementRequest;

class BufferedCall final : public EndpointCallListener,
                           public OpenCall,
                           public std::enable_shared_from_this<BufferedCall> {
public:
    static void serve(RelayContext&, RelayRequest);
    ~BufferedCall() override;

    void callHeader(EndpointCall&, const HttpResponse&, const AnswerFields&) override;
    void callBody(EndpointCall&, std::string_view) override;
    void callEnded(EndpointCall&) override;
    void callFailed(EndpointCall&, FailureKind) override;
    void stopRequested() override;
    void processEnds() override;
    std::shared_ptr<OpenCall> hold() override { return shared_from_this(); }

private:
    // One request to an endpoint and the part of its answer that has been received.
    struct Attempt {
        std::shared_ptr<EndpointCall> call;
        HttpResponse answer;
        AnswerFields fields;
        // Set when the first byte of a body arrives.
        std::unique_ptr<AnswerMemory::Holding> memory;
        DeliveryHistory::Number delivery { 0 };
        // The retry budget was charged for this attempt.
        bool tookRetry { false };
    };

    BufferedCall(RelayContext&, RelayRequest);
    void begin();
    // Sends the request to one more endpoint, or requests a permit to do so; returns false when no endpoint is
    // available. If the call can wait instead, only an endpoint without known problems is acceptable.
    bool sendNext(const PlacementRequest&, bool tookRetry);
    void sendTo(const std::shared_ptr<RelayEndpoint>&, bool tookRetry);
    // Refuses a request that has run nowhere and cannot be completed before the process ends.
    bool refuseBeforeEnd(bool tookRetry);
    // True if the process ends too early for a request that is passed on at the given time.
    bool isTooLate(Milliseconds at);
    void requestPermit(const std::shared_ptr<RelayEndpoint>&, bool tookRetry);
    void permitAnswered(const std::shared_ptr<RelayEndpoint>&, bool isGranted, bool tookRetry);
    PlacementRequest anyEndpoint();
    PlacementRequest healthyEndpoint();
    // True when no endpoint has run the call and it may be sent again later.
    bool mayWait() const;
    // Waits for capacity, or refuses the call with the reason when waiting is not worthwhile.
    void waitForCapacity(RefusalReason lastReason);
    UnplacedRequest unplaced(RefusalReason lastReason);
    WaitingCall waitingCall() const;
    void retryAfterWait(RefusalReason lastReason);
    void leaveWaitingRequestLimit();
    // A more urgent request has taken the place of this one, which is refused.
    void displaced(RefusalReason);
    // Pseudo-random number from 0 to 1 that differs between calls and between waits of a call.
    double jitter() const;
    void armHedge();
    void hedge();
    void timedOut();
    void handleResponse(Attempt&);
    void recover(RefusalReason lastReason);
    // True if losses under the request are being evaluated, after which the call goes on.
    bool waitsForEvaluation(RefusalReason lastReason);
    void refuseAsHeld();
    bool hasOpenAttempt() const;
    Attempt& attemptOf(const EndpointCall&);
    // Forwards the attempt's answer to the caller.
    void answer(Attempt&, std::string_view outcome, std::string_view endpointId);
    void recordCallTime(Milliseconds now);
    // Records once that an endpoint has started the request.
    void noteStarted(Milliseconds startedAt);
    void refuse(RefusalReason);
    void finish();

    RelayContext& m_context;
    const std::shared_ptr<OpenCalls> m_openCalls;
    const RelayRequest m_request;
    RequestVersions m_versions;
    CrashTracker m_crashTracker;
    std::vector<std::unique_ptr<Attempt>> m_attempts;
    // Set while a permit request is pending.
    std::shared_ptr<PermitWait> m_permit;
    // Endpoints tried since the last wait.
    std::vector<std::shared_ptr<RelayEndpoint>> m_triedEndpoints;
    DeliveryHistory m_deliveries;
    // A complete error answer of an endpoint, passed on if no attempt succeeds.
    std::unique_ptr<Attempt> m_errorAnswer;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_hedgeTimer;
    boost::asio::steady_timer m_waitTimer;
    // Number of waits for capacity so far.
    unsigned m_waits { 0 };
    // Set while the call waits for capacity.
    std::optional<std::uint64_t> m_waitingPlace;
    // When the last wait ends.
    Milliseconds m_waitsUntil { 0 };
    bool m_isFinished { false };
    bool m_isStartNoted { false };
};

} // namespace lupinknot::internal
