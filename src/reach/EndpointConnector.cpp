#include "reach/EndpointConnector.h"

#include "common/EventLog.h"
#include "relay/RelayMetrics.h"

#include <algorithm>
#include <random>
#include <set>

namespace lupinknot::internal {

namespace {

// A check connects to this many endpoints, in different zones if possible.
constexpr std::size_t checkedEndpoints = 3;
// An attempt that is abandoned after this share of its timeout has failed: its owner had a shorter timeout.
constexpr double abandonedFailureShare = 0.5;

std::vector<SocketAddress> chooseForCheck(std::vector<CheckedEndpoint> sample)
{
    std::mt19937 random(std::random_device {}());
    std::shuffle(sample.begin(), sample.end(), random);
    std::set<std::string> zones;
    std::stable_partition(sample.begin(), sample.end(),
        [&zones](const CheckedEndpoint& endpoint) { return zones.insert(endpoint.availabilityZone).second; });
    std::vector<SocketAddress> chosen;
    for (std::size_t i = 0; i < std::min(sample.size(), checkedEndpoints); ++i)
        chosen.push_back(sample[i].address);
    return chosen;
}

} // namespace

// Shared with the paths, which may outlive the connector.
struct EndpointConnector::State : std::enable_shared_from_this<State> {
    State(
        boost::asio::io_context& context, const Clock& monotonicClock, Milliseconds timeout, RelayMetrics& relayMetrics)
        : ioContext(context)
        , clock(monotonicClock)
        , connectTimeout(timeout)
        , metrics(relayMetrics)
        , timer(context)
    {
    }

    void noteDirect(const std::string& endpointId, bool hasConnected);
    void noteCheck(bool hasConnected);
    void stateChanged();
    void checkIfDue();
    void scheduleCheck();

    boost::asio::io_context& ioContext;
    const Clock& clock;
    const Milliseconds connectTimeout;
    RelayMetrics& metrics;
    EndpointReachability reachability;
    std::optional<KnownEndpoints> endpoints;
    std::shared_ptr<ConnectCheck> check;
    boost::asio::steady_timer timer;
};

// The attempts of one connection.
class EndpointConnector::Path final : public ConnectionPath {
public:
    Path(std::shared_ptr<State> state, std::string endpointId)
        : m_state(std::move(state))
        , m_endpointId(std::move(endpointId))
    {
    }

    std::optional<ConnectionHop> next() override
    {
        if (std::exchange(m_hasTriedDirect, true))
            return std::nullopt;
        return ConnectionHop { m_state->connectTimeout };
    }

    void noteResult(HopResult result, Milliseconds took) override
    {
        const auto leastFailure = abandonedFailureShare * static_cast<double>(m_state->connectTimeout.count());
        if (result == HopResult::Abandoned && static_cast<double>(took.count()) < leastFailure)
            return;
        m_state->metrics.countEndpointConnection(result);
        if (result != HopResult::Connected)
            log(result, took);
        m_state->noteDirect(m_endpointId, result == HopResult::Connected);
    }

private:
    void log(HopResult result, Milliseconds took) const
    {
        LogEvent("endpoint.not-connected")
            .text("endpoint", m_endpointId)
            .text("result", nameIn(hopResultNames, result))
            .number("after_ms", took.count())
            .text("reachability", nameIn(reachabilityNames, m_state->reachability.state()))
            .write();
    }

    const std::shared_ptr<State> m_state;
    const std::string m_endpointId;
    bool m_hasTriedDirect { false };
};

void EndpointConnector::State::noteDirect(const std::string& endpointId, bool hasConnected)
{
    const auto count = endpoints ? endpoints->count() : 1;
    if (reachability.noteConnection({ endpointId, hasConnected }, count, clock.now()))
        stateChanged();
    checkIfDue();
}

void EndpointConnector::State::noteCheck(bool hasConnected)
{
    check.reset();
    if (reachability.noteCheck(hasConnected, clock.now()))
        stateChanged();
    scheduleCheck();
}

void EndpointConnector::State::stateChanged()
{
    const auto state = reachability.state();
    LogEvent("endpoints.reachability")
        .text("state", nameIn(reachabilityNames, state))
        .number("failed_endpoints", static_cast<std::int64_t>(reachability.failedCount()))
        .write();
    metrics.isPartitioned.Set(state == Reachability::Partitioned ? 1 : 0);
}

void EndpointConnector::State::checkIfDue()
{
    const auto now = clock.now();
    if (!endpoints || !reachability.isCheckDue(now))
        return;
    reachability.noteCheckStarted(now);
    check = ConnectCheck::start(
        ioContext, chooseForCheck(endpoints->sample()), connectTimeout, [weak = weak_from_this()](bool hasConnected) {
            if (const auto self = weak.lock())
                self->noteCheck(hasConnected);
        });
}

void EndpointConnector::State::scheduleCheck()
{
    if (reachability.state() == Reachability::Reachable)
        return;
    timer.expires_after(EndpointReachability::checkInterval);
    timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->checkIfDue();
    });
}

EndpointConnector::EndpointConnector(
    boost::asio::io_context& ioContext, const Clock& clock, Milliseconds connectTimeout, RelayMetrics& metrics)
    : m_state(std::make_shared<State>(ioContext, clock, connectTimeout, metrics))
{
}

EndpointConnector::~EndpointConnector()
{
    m_state->endpoints.reset();
    m_state->timer.cancel();
}

void EndpointConnector::setEndpoints(KnownEndpoints endpoints) { m_state->endpoints = std::move(endpoints); }

std::unique_ptr<ConnectionPath> EndpointConnector::pathTo(const std::string& endpointId)
{
    return std::make_unique<Path>(m_state, endpointId);
}

Reachability EndpointConnector::reachability() const { return m_state->reachability.state(); }

} // namespace lupinknot::internal
