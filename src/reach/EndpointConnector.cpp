#include "reach/EndpointConnector.h"

#include "common/EventLog.h"
#include "http/ClientConnection.h"
#include "relay/RelayMetrics.h"

#include <algorithm>
#include <random>
#include <set>

namespace lupinknot::internal {

namespace {

// A check connects to this many endpoints, in different zones if possible.
constexpr std::size_t checkedEndpoints = 3;
// A direct connection shows for this long that this VM reaches endpoints.
constexpr Milliseconds confirmedFor { 100 };
// An attempt that is abandoned after this share of its timeout has failed: its owner had a shorter timeout.
constexpr double abandonedFailureShare = 0.5;
// With this many VMs that do not reach an endpoint either, the endpoint is at fault.
constexpr int enoughConfirmations = 2;

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
    State(boost::asio::io_context& context, const Clock& monotonicClock, Settings connectorSettings,
        RelayMetrics& relayMetrics)
        : ioContext(context)
        , clock(monotonicClock)
        , settings(std::move(connectorSettings))
        , metrics(relayMetrics)
        , vms(settings.ownZone, std::random_device()())
        , timer(context)
    {
    }

    void noteDirect(const std::string& endpointId, bool hasConnected);
    void noteCheck(bool hasConnected);
    void noteConfirmation(bool hasConnected);
    void releaseWaiting(bool isReachable);
    void stateChanged();
    void checkIfDue();
    void scheduleCheck();

    boost::asio::io_context& ioContext;
    const Clock& clock;
    const Settings settings;
    RelayMetrics& metrics;
    EndpointReachability reachability;
    VmChoice vms;
    std::function<void()> partitionChanged;
    bool wasPartitioned { false };
    std::optional<KnownEndpoints> endpoints;
    std::shared_ptr<ConnectCheck> check;
    // When a direct connection was last established.
    std::optional<Milliseconds> connectedAt;
    std::vector<std::function<void()>> waitingForConfirmation;
    std::shared_ptr<ConnectCheck> confirmation;
    // Checks of single endpoints, by id.
    std::map<std::string, std::shared_ptr<ConnectCheck>> endpointChecks;
    boost::asio::steady_timer timer;
};

// The attempts of one connection.
class EndpointConnector::Path final : public ConnectionPath {
public:
    Path(std::shared_ptr<State> state, std::string endpointId, bool mayUseVms)
        : m_state(std::move(state))
        , m_endpointId(std::move(endpointId))
        , m_mayUseVms(mayUseVms)
    {
    }

    std::optional<ConnectionHop> next() override
    {
        const auto reachability = m_state->reachability.state();
        const bool usesVm = m_mayUseVms && m_confirmations < enoughConfirmations
            && (reachability == Reachability::Partitioned
                || (reachability == Reachability::Suspected && m_hasTriedDirect));
        m_vm = usesVm ? m_state->vms.next(m_search, m_state->clock.now()) : std::nullopt;
        if (m_vm)
            return ConnectionHop { m_vm->address, m_state->settings.vmTimeout };
        // Also the last resort when no VM helps.
        if (m_confirmations > 0 || std::exchange(m_hasTriedDirect, true))
            return std::nullopt;
        return ConnectionHop { std::nullopt, m_state->settings.directTimeout };
    }

    void noteResult(HopResult result, Milliseconds took) override
    {
        const auto timeout = m_vm ? m_state->settings.vmTimeout : m_state->settings.directTimeout;
        const auto leastFailure = abandonedFailureShare * static_cast<double>(timeout.count());
        if (result == HopResult::Abandoned && static_cast<double>(took.count()) < leastFailure)
            return;
        m_state->metrics.countEndpointConnection(m_vm.has_value(), result);
        if (result != HopResult::Connected)
            log(result, took);
        if (!m_vm) {
            m_state->noteDirect(m_endpointId, result == HopResult::Connected);
            return;
        }
        const bool isUnreachableThere = result == HopResult::EndpointUnreachable;
        m_confirmations += isUnreachableThere ? 1 : 0;
        // A VM that does not reach this endpoint may reach others.
        m_state->vms.noteResult(*m_vm, result == HopResult::Connected || isUnreachableThere, m_state->clock.now());
    }

private:
    void log(HopResult result, Milliseconds took) const
    {
        LogEvent("endpoint.not-connected")
            .text("endpoint", m_endpointId)
            .text("through_vm", m_vm ? m_vm->address.text() : "")
            .text("result", nameIn(hopResultNames, result))
            .number("after_ms", took.count())
            .text("reachability", nameIn(reachabilityNames, m_state->reachability.state()))
            .write();
    }

    const std::shared_ptr<State> m_state;
    const std::string m_endpointId;
    const bool m_mayUseVms;
    VmChoice::Search m_search;
    // The VM of the present attempt; empty for a direct one.
    std::optional<PeerVm> m_vm;
    bool m_hasTriedDirect { false };
    // The number of VMs that do not reach the endpoint either.
    int m_confirmations { 0 };
};

void EndpointConnector::State::noteDirect(const std::string& endpointId, bool hasConnected)
{
    if (hasConnected)
        connectedAt = clock.now();
    const auto count = endpoints ? endpoints->count() : 1;
    if (reachability.noteConnection({ endpointId, hasConnected }, count, clock.now()))
        stateChanged();
    checkIfDue();
}

void EndpointConnector::State::noteCheck(bool hasConnected)
{
    check.reset();
    if (hasConnected)
        connectedAt = clock.now();
    if (reachability.noteCheck(hasConnected, clock.now()))
        stateChanged();
    releaseWaiting(hasConnected);
    scheduleCheck();
}

void EndpointConnector::State::noteConfirmation(bool hasConnected)
{
    confirmation.reset();
    if (hasConnected)
        connectedAt = clock.now();
    releaseWaiting(hasConnected);
}

void EndpointConnector::State::releaseWaiting(bool isReachable)
{
    for (const auto& callback : std::exchange(waitingForConfirmation, {})) {
        if (isReachable)
            callback();
    }
}

void EndpointConnector::State::stateChanged()
{
    const auto state = reachability.state();
    LogEvent("endpoints.reachability")
        .text("state", nameIn(reachabilityNames, state))
        .number("failed_endpoints", static_cast<std::int64_t>(reachability.failedCount()))
        .write();
    metrics.isPartitioned.Set(state == Reachability::Partitioned ? 1 : 0);
    const bool isPartitioned = state == Reachability::Partitioned;
    const bool isChange = std::exchange(wasPartitioned, isPartitioned) != isPartitioned;
    if (isChange && partitionChanged)
        partitionChanged();
}

void EndpointConnector::State::checkIfDue()
{
    const auto now = clock.now();
    if (!endpoints || !reachability.isCheckDue(now))
        return;
    reachability.noteCheckStarted(now);
    check = ConnectCheck::start(ioContext, chooseForCheck(endpoints->sample()), settings.directTimeout,
        [weak = weak_from_this()](bool hasConnected) {
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
    boost::asio::io_context& ioContext, const Clock& clock, Settings settings, RelayMetrics& metrics)
    : m_state(std::make_shared<State>(ioContext, clock, std::move(settings), metrics))
{
}

EndpointConnector::~EndpointConnector()
{
    m_state->endpoints.reset();
    m_state->partitionChanged = nullptr;
}

void EndpointConnector::setEndpoints(KnownEndpoints endpoints) { m_state->endpoints = std::move(endpoints); }

std::unique_ptr<ConnectionPath> EndpointConnector::pathTo(const std::string& endpointId)
{
    return std::make_unique<Path>(m_state, endpointId, true);
}

std::unique_ptr<ConnectionPath> EndpointConnector::directPathTo(const std::string& endpointId)
{
    return std::make_unique<Path>(m_state, endpointId, false);
}

void EndpointConnector::setVms(const std::vector<PeerVm>& vms) { m_state->vms.setVms(vms); }

void EndpointConnector::onPartitionChange(std::function<void()> callback)
{
    m_state->partitionChanged = std::move(callback);
}

void EndpointConnector::ifReachable(std::function<void()> callback)
{
    auto& state = *m_state;
    const auto reachability = state.reachability.state();
    if (reachability == Reachability::Partitioned || !state.endpoints)
        return;
    const bool isReachable = reachability == Reachability::Reachable;
    if (isReachable && state.connectedAt && state.clock.now() - *state.connectedAt <= confirmedFor) {
        callback();
        return;
    }
    state.waitingForConfirmation.push_back(std::move(callback));
    // A suspicion is being checked already.
    if (state.confirmation || !isReachable)
        return;
    state.confirmation = ConnectCheck::start(state.ioContext, chooseForCheck(state.endpoints->sample()),
        state.settings.directTimeout, [weak = m_state->weak_from_this()](bool hasConnected) {
            if (const auto self = weak.lock())
                self->noteConfirmation(hasConnected);
        });
}

bool EndpointConnector::mayReuse(const ClientConnection& connection) const
{
    switch (reachability()) {
    case Reachability::Reachable:
        return !connection.isThroughVm();
    case Reachability::Suspected:
        return true;
    case Reachability::Partitioned:
        return connection.isThroughVm();
    }
    return true;
}

void EndpointConnector::checkEndpoint(const CheckedEndpoint& endpoint)
{
    if (isPartitioned() || m_state->endpointChecks.count(endpoint.id))
        return;
    m_state->endpointChecks[endpoint.id] = ConnectCheck::start(m_state->ioContext, { endpoint.address },
        m_state->settings.directTimeout, [weak = m_state->weak_from_this(), id = endpoint.id](bool hasConnected) {
            const auto state = weak.lock();
            if (!state)
                return;
            state->endpointChecks.erase(id);
            state->noteDirect(id, hasConnected);
        });
}

Reachability EndpointConnector::reachability() const { return m_state->reachability.state(); }

} // namespace lupinknot::internal
