// Serves a request that has one whole answer.
//
// The answer is collected before its first byte goes to the caller, so that one that breaks off is never mistaken for
// a whole one and an idempotent call can go on elsewhere. An idempotent call whose endpoint is slow is also sent to a
// second endpoint, and the first good answer wins.
//
// A call that must not run twice is sent again only where the first sending provably did not run.
//
// A call that no endpoint has taken waits for a place; admission/WaitForCapacity decides how long.
// Used on the relay's thread only. Owned by its pending timers and the exchange's callback.
#pragma once

#include "relay/CrashTracker.h"
#include "relay/EndpointCall.h"
#include "relay/RelayRefusal.h"
#include "relay/RelayRequest.h"
#include "relay/RequestRollout.h"
#include <boost/asio/steady_timer.hpp>
#include <vector>

namespace lupinknot::internal {

struct UnplacedRequest;
struct WaitingCall;
class PermitWait;
struct PlacementRequest;

class BufferedCall final : public EndpointCallListener, public std::enable_shared_from_this<BufferedCall> {
public:
    static void serve(RelayContext&, RelayRequest);
    ~BufferedCall() override;

    void callHead(EndpointCall&, const HttpResponse&, const AnswerFields&) override;
    void callBody(EndpointCall&, std::string_view) override;
    void callEnded(EndpointCall&) override;
    void callFailed(EndpointCall&, FailureKind) override;

private:
    // One sending and what has come of its answer.
    struct Attempt {
        std::shared_ptr<EndpointCall> call;
        HttpResponse answer;
        AnswerFields fields;
        // A retry was taken for it.
        bool isCharged { false };
    };

    BufferedCall(RelayContext&, RelayRequest);
    void begin();
    // Sends to one more endpoint, or asks for a permit to; false when there is none. Only an endpoint of which nothing
    // bad is known is good enough where the call can wait instead.
    bool sendNext(const PlacementRequest&, bool isCharged);
    void sendTo(const std::shared_ptr<RelayEndpoint>&, bool isCharged);
    void askForPermit(const std::shared_ptr<RelayEndpoint>&, bool isCharged);
    void permitAnswered(const std::shared_ptr<RelayEndpoint>&, bool isGranted, bool isCharged);
    PlacementRequest anyEndpoint();
    PlacementRequest soundEndpoint();
    // True when the call has run nowhere and may be sent again.
    bool mayWait() const;
    // Waits for a place, or refuses for the reason when that is not worth it.
    void waitForCapacity(RefusalReason lastReason);
    UnplacedRequest unplaced(RefusalReason lastReason);
    WaitingCall waitingCall() const;
    void tryAgain(RefusalReason lastReason);
    void leaveWaitingRoom();
    // A number from 0 to 1 that differs from call to call.
    double spread() const;
    // True when an earlier attempt may have reached its endpoint: only then is the next one a retry.
    bool mayHaveArrived() const;
    void armHedge();
    void hedge();
    void timedOut();
    void settle(Attempt&);
    void recover(RefusalReason lastReason);
    void recoverLater(RefusalReason lastReason);
    void held();
    bool hasOpenAttempt() const;
    Attempt& attemptOf(const EndpointCall&);
    void answer(HttpResponse, std::string_view outcome, std::string_view endpointId);
    void noteCallTime(Milliseconds now);
    void refuse(RefusalReason);
    void finish();

    RelayContext& m_context;
    const RelayRequest m_request;
    RequestRollout m_rollout;
    CrashTracker m_crashWatch;
    std::vector<std::unique_ptr<Attempt>> m_attempts;
    // Set while a permit is asked for.
    std::shared_ptr<PermitWait> m_permit;
    // Endpoints tried since the call waited last.
    std::vector<std::shared_ptr<RelayEndpoint>> m_tried;
    // Sendings that an endpoint may have run.
    unsigned m_possibleRuns { 0 };
    // A whole error answer of an endpoint, to be passed on if nothing better comes.
    std::unique_ptr<Attempt> m_errorAnswer;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_hedgeTimer;
    boost::asio::steady_timer m_waitTimer;
    // How often it has waited for a place.
    unsigned m_waits { 0 };
    bool m_isWaiting { false };
    bool m_isFinished { false };
};

} // namespace lupinknot::internal
