#include "daemon/Cluster.h"

#include "common/Log.h"
#include "daemon/PeerWatcher.h"
#include "lupinknot/Clock.h"
#include "peer/generated/Messages.pb.h"

#include <algorithm>

namespace lupinknot::internal {

namespace {

constexpr Milliseconds queryTimeout { 200 };
constexpr Milliseconds joinPollInterval { 5 };
// All VMs in the settings form one fixed view. When the VM that runs a generation is lost, the replica keeps its
// record.
constexpr std::uint64_t staticEpoch = 1;

PeerNetworkSettings networkSettings(
    const DaemonSettings& settings, std::uint64_t incarnation, unsigned short callerPort)
{
    return { settings.cluster, settings.peers,
        { settings.vm.name, settings.vm.zone, incarnation, settings.listener.address, callerPort } };
}

View staticView(const DaemonSettings& settings)
{
    View view { staticEpoch, { { settings.vm.name, 0 } } };
    for (const auto& peer : settings.peers)
        view.members.push_back({ peer.name, 0 });
    return view;
}

ReplicaRecord recordOf(const PeerIdentity& runner, const wire::JournalOpen& open)
{
    ReplicaRecord record;
    record.runner = { runner.vm, runner.incarnation };
    record.request.generation = open.generation();
    record.request.organisation = open.organisation();
    record.request.idempotencyKey = open.key();
    record.request.key = JournaledRequest::scopedKey(open.organisation(), open.key());
    record.request.body = open.body();
    record.request.repeatable = open.repeatable();
    record.request.timeLeft = Milliseconds { open.time_left_ms() };
    return record;
}

} // namespace

Cluster::Cluster(
    boost::asio::io_context& ioContext, const Clock& clock, const DaemonSettings& settings, std::uint64_t incarnation)
    : m_ioContext(ioContext)
    , m_clock(clock)
    , m_settings(settings)
    , m_self { settings.vm.name, incarnation }
    , m_startedAt(clock.now())
    , m_view(staticView(settings))
    , m_lastMembershipChange(clock.now())
{
}

std::optional<std::string> Cluster::start(unsigned short callerPort, RunsKeyFunction runsKey)
{
    m_runsKey = std::move(runsKey);
    if (!isEnabled())
        return std::nullopt;
    m_network = std::make_shared<PeerNetwork>(
        m_ioContext, m_clock, networkSettings(m_settings, m_self.incarnation, callerPort));
    return m_network->start(*this);
}

void Cluster::stop()
{
    if (m_network)
        m_network->stop();
    const std::lock_guard lock(m_mutex);
    for (const auto& link : m_links)
        link.second.journal->close();
    m_links.clear();
    m_replicaVms.clear();
}

void Cluster::place(const std::string& key, bool isForwarded, PlacementCallback decide)
{
    if (!isEnabled()) {
        decide({});
        return;
    }
    if (!hasJoined()) {
        schedulePlacement(key, isForwarded, std::move(decide));
        return;
    }
    if (const auto placement = placeByOwnRecord(key)) {
        // The runner may have moved its journal and left an older record here, so the other VMs are queried first.
        if (placement->kind == KeyPlacement::Kind::TakeOver)
            queryPeers(key, std::move(decide));
        else
            decide(*placement);
        return;
    }
    const auto owner = actingOwner(key);
    if (owner && !isForwarded) {
        decide({ KeyPlacement::Kind::Forward, *owner, std::nullopt });
        return;
    }
    if (isMembershipStable())
        decide({});
    else
        queryPeers(key, std::move(decide));
}

std::optional<ReplicaRecord> Cluster::takeOver(const std::string& key) { return m_store.seal(key, m_clock.now()); }

void Cluster::attach(const std::shared_ptr<JournalSource>& source)
{
    std::string vm;
    const auto link = linkFor(source->journalKey(), vm);
    if (!link) {
        source->journalUnprotected();
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_replicaVms[source.get()] = vm;
    }
    logDebug(LogComponent::Journal, "a generation is replicated to VM " + vm + ".");
    link->add(source);
}

void Cluster::changed(const JournalSource& source)
{
    std::shared_ptr<JournalLink> link;
    {
        const std::lock_guard lock(m_mutex);
        const auto replicaEntry = m_replicaVms.find(&source);
        if (replicaEntry == m_replicaVms.end())
            return;
        const auto entry = m_links.find(replicaEntry->second);
        if (entry == m_links.end())
            return;
        link = entry->second.journal;
    }
    link->changed(&source);
}

void Cluster::detach(const JournalSource& source)
{
    std::shared_ptr<JournalLink> link;
    {
        const std::lock_guard lock(m_mutex);
        const auto replicaEntry = m_replicaVms.find(&source);
        if (replicaEntry == m_replicaVms.end())
            return;
        const auto entry = m_links.find(replicaEntry->second);
        if (entry != m_links.end())
            link = entry->second.journal;
        m_replicaVms.erase(replicaEntry);
    }
    if (link)
        link->remove(&source);
}

void Cluster::watch(const std::string& vm, const std::shared_ptr<PeerWatcher>& watcher)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_links.count(vm)) {
            auto& watchers = m_watchers[vm];
            const auto isExpired = [](const std::weak_ptr<PeerWatcher>& other) { return other.expired(); };
            // Expired watchers are removed each time the list has doubled, so that each watcher is checked only a few
            // times.
            if (watchers.size() == watchers.capacity())
                watchers.erase(std::remove_if(watchers.begin(), watchers.end(), isExpired), watchers.end());
            watchers.push_back(watcher);
            return;
        }
    }
    watcher->peerLost();
}

void Cluster::sweep() { m_store.sweep(m_clock.now(), m_settings.generation.retention); }

std::vector<PeerIdentity> Cluster::peersUp() const
{
    return m_network ? m_network->up() : std::vector<PeerIdentity> {};
}

std::uint64_t Cluster::sentBytes() const { return m_network ? m_network->sentBytes() : 0; }

unsigned short Cluster::port() const { return m_network ? m_network->port() : 0; }

void Cluster::peerUp(const PeerIdentity& peer)
{
    const auto send = [network = std::weak_ptr<PeerNetwork>(m_network), vm = peer.vm](const wire::Envelope& envelope) {
        if (const auto alive = network.lock())
            alive->send(vm, envelope);
    };
    m_store.runnerBack({ peer.vm, peer.incarnation });
    std::shared_ptr<JournalLink> older;
    {
        const std::lock_guard lock(m_mutex);
        auto& link = m_links[peer.vm];
        if (peer.link < link.number)
            return;
        m_lastMembershipChange = m_clock.now();
        m_incomingJournals.erase(peer.vm);
        older = std::move(link.journal);
        link = { peer.link,
            std::make_shared<JournalLink>(m_ioContext, m_view.epoch, m_settings.journal.flushInterval, send) };
    }
    moveJournals(older);
}

void Cluster::peerDown(const PeerIdentity& peer)
{
    std::shared_ptr<JournalLink> journal;
    std::vector<std::uint64_t> queries;
    std::vector<std::weak_ptr<PeerWatcher>> watchers;
    {
        const std::lock_guard lock(m_mutex);
        const auto entry = m_links.find(peer.vm);
        // A newer link to this VM may already be up.
        if (entry == m_links.end() || entry->second.number != peer.link)
            return;
        m_lastMembershipChange = m_clock.now();
        m_incomingJournals.erase(peer.vm);
        journal = std::move(entry->second.journal);
        m_links.erase(entry);
        watchers = std::move(m_watchers[peer.vm]);
        m_watchers.erase(peer.vm);
        for (const auto& query : m_queries)
            queries.push_back(query.first);
    }
    m_store.runnerLost(peer.vm, m_clock.now());
    moveJournals(journal);
    for (const auto query : queries)
        queryTimedOut(query);
    for (const auto& weak : watchers) {
        if (const auto watcher = weak.lock())
            watcher->peerLost();
    }
}

// Moves the journals of a lost link to another VM, which gets them from their start.
void Cluster::moveJournals(const std::shared_ptr<JournalLink>& journal)
{
    if (!journal)
        return;
    for (const auto& source : journal->close())
        attach(source);
}

void Cluster::peerMessage(const PeerIdentity& peer, const wire::Envelope& envelope)
{
    // The handles in a message of a replaced link may have another meaning on the new link.
    if (!isNewestLink(peer))
        return;
    if (envelope.has_journal()) {
        journalArrived(peer, envelope);
    } else if (envelope.has_ack()) {
        std::shared_ptr<JournalLink> link;
        {
            const std::lock_guard lock(m_mutex);
            const auto entry = m_links.find(peer.vm);
            if (entry != m_links.end())
                link = entry->second.journal;
        }
        if (link)
            link->acknowledged(envelope.ack());
    } else if (envelope.has_query()) {
        queryArrived(peer, envelope);
    } else if (envelope.has_answer()) {
        answerArrived(peer, envelope);
    }
}

// A VM that has just started holds no records and treats no key as new until it has linked to the other VMs. Once a
// live peer would have linked, it continues with the VMs that it has reached.
bool Cluster::hasJoined()
{
    if (m_hasJoined)
        return true;
    const bool hasAll = m_network->up().size() >= m_settings.peers.size();
    m_hasJoined = hasAll || m_clock.now() - m_startedAt >= m_settings.cluster.silenceTimeout;
    return m_hasJoined;
}

void Cluster::schedulePlacement(const std::string& key, bool isForwarded, PlacementCallback decide)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_ioContext, joinPollInterval);
    timer->async_wait([weak = weak_from_this(), timer, key, isForwarded, decide = std::move(decide)](
                          boost::system::error_code error) {
        const auto self = weak.lock();
        if (self && !error)
            self->place(key, isForwarded, decide);
    });
}

bool Cluster::isNewestLink(const PeerIdentity& peer) const
{
    const std::lock_guard lock(m_mutex);
    const auto link = m_links.find(peer.vm);
    return link != m_links.end() && link->second.number == peer.link;
}

// When the reachable VMs have not changed for as long as answers are kept, a key that its owner does not know is new.
bool Cluster::isMembershipStable() const
{
    const std::lock_guard lock(m_mutex);
    return m_clock.now() - m_lastMembershipChange >= m_settings.generation.retention;
}

std::optional<KeyPlacement> Cluster::placeByOwnRecord(const std::string& key) const
{
    auto record = m_store.find(key);
    if (!record)
        return std::nullopt;
    const auto runner = m_network->find(record->runner.vm);
    return placeByRecord(std::move(*record), runner);
}

// The first VM in the key's order of responsibility that can be reached; nothing when it is this one.
std::optional<PeerIdentity> Cluster::actingOwner(const std::string& key) const
{
    for (const auto& member : rankMembers(m_view, key)) {
        if (member.vm == m_self.vm)
            return std::nullopt;
        if (auto peer = m_network->find(member.vm))
            return peer;
    }
    return std::nullopt;
}

void Cluster::queryPeers(const std::string& key, PlacementCallback decide)
{
    const auto peers = m_network->up();
    if (peers.empty()) {
        decide(placeByOwnRecord(key).value_or(KeyPlacement {}));
        return;
    }
    wire::Envelope envelope;
    std::uint64_t id = 0;
    {
        const std::lock_guard lock(m_mutex);
        id = ++m_lastQuery;
        m_queries[id] = { key, std::move(decide), peers.size(), std::nullopt, false, 0 };
    }
    envelope.mutable_query()->set_id(id);
    envelope.mutable_query()->set_epoch(m_view.epoch);
    envelope.mutable_query()->set_key(key);
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_ioContext, queryTimeout);
    timer->async_wait([weak = weak_from_this(), timer, id](boost::system::error_code error) {
        const auto self = weak.lock();
        if (self && !error)
            self->queryTimedOut(id);
    });
    for (const auto& peer : peers)
        m_network->send(peer.vm, envelope);
}

void Cluster::queryTimedOut(std::uint64_t id)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto query = m_queries.find(id);
        if (query == m_queries.end())
            return;
        query->second.pendingAnswers = 0;
    }
    completeQuery(id);
}

void Cluster::completeQuery(std::uint64_t id)
{
    Query query;
    {
        const std::lock_guard lock(m_mutex);
        const auto entry = m_queries.find(id);
        if (entry == m_queries.end() || entry->second.pendingAnswers)
            return;
        query = std::move(entry->second);
        m_queries.erase(entry);
    }
    query.decide(placementFromAnswers(query));
}

// Prefers the VM that runs the key, then the one that holds the longest record; of two equally long records, the one on
// the VM with the smaller name.
KeyPlacement Cluster::placementFromAnswers(const Query& query) const
{
    auto local = placeByOwnRecord(query.key);
    if (!query.holder)
        return local.value_or(KeyPlacement {});
    const bool isLocalTakeover = local && local->kind == KeyPlacement::Kind::TakeOver;
    if (isLocalTakeover && !query.isHolderRunner) {
        const auto length = local->record->tokens.size();
        const bool isLocalBetter
            = length > query.holderLength || (length == query.holderLength && m_self.vm < query.holder->vm);
        if (isLocalBetter)
            return std::move(*local);
    }
    return { KeyPlacement::Kind::Forward, *query.holder, std::nullopt };
}

// The first VM other than this one in the key's order of responsibility that can be reached.
std::shared_ptr<JournalLink> Cluster::linkFor(const std::string& key, std::string& vm) const
{
    const std::lock_guard lock(m_mutex);
    for (const auto& member : rankMembers(m_view, key)) {
        const auto entry = m_links.find(member.vm);
        if (entry == m_links.end())
            continue;
        vm = member.vm;
        return entry->second.journal;
    }
    return nullptr;
}

void Cluster::journalArrived(const PeerIdentity& peer, const wire::Envelope& envelope)
{
    const auto& batch = envelope.journal();
    std::set<std::uint32_t> refused;
    for (const auto& item : batch.items()) {
        if (applyItem(peer, batch.epoch(), item) == JournalResult::Refused)
            refused.insert(item.handle());
    }
    if (!applyTokens(peer, batch, refused)) {
        logError(
            LogComponent::Journal, "the journal batch of VM " + peer.vm + " is malformed; it is not acknowledged.");
        return;
    }
    for (const auto& item : batch.items()) {
        if (applyEnd(peer, batch.epoch(), item) == JournalResult::Refused)
            refused.insert(item.handle());
    }
    wire::Envelope reply;
    auto& ack = *reply.mutable_ack();
    ack.set_number(batch.number());
    ack.mutable_refused()->Add(refused.begin(), refused.end());
    m_network->send(peer.vm, reply);
}

// Applies the parts of an item that precede the stream's tokens.
JournalResult Cluster::applyItem(const PeerIdentity& peer, std::uint64_t epoch, const wire::JournalItem& item)
{
    const ViewMember runner { peer.vm, peer.incarnation };
    auto result = JournalResult::Applied;
    if (item.drop()) {
        m_store.drop(runner, keyOfHandle(peer, item.handle()));
        const std::lock_guard lock(m_mutex);
        m_incomingJournals[peer.vm].streams.erase(item.handle());
        return result;
    }
    if (item.has_open()) {
        auto record = recordOf(peer, item.open());
        const auto key = record.request.key;
        // This VM may run the key itself, for a caller who connected while the two VMs could not reach each other.
        result = m_runsKey(key) ? JournalResult::Refused : m_store.open(epoch, std::move(record));
        const std::lock_guard lock(m_mutex);
        m_incomingJournals[peer.vm].streams[item.handle()] = { key, 0 };
    }
    const auto key = keyOfHandle(peer, item.handle());
    if (result == JournalResult::Applied && item.has_attempt())
        result = m_store.setAttempt(epoch, runner, key,
            { item.attempt().number(), item.attempt().endpoint(), item.attempt().stream(), item.attempt().position() });
    if (result == JournalResult::Applied && item.prompt_ids_size())
        result = m_store.setPromptIds(epoch, runner, key, { item.prompt_ids().begin(), item.prompt_ids().end() });
    return result;
}

// Applies the parts of an item that follow the stream's tokens.
JournalResult Cluster::applyEnd(const PeerIdentity& peer, std::uint64_t epoch, const wire::JournalItem& item)
{
    const ViewMember runner { peer.vm, peer.incarnation };
    const auto key = keyOfHandle(peer, item.handle());
    if (!item.has_end())
        return JournalResult::Applied;
    return m_store.finish(epoch, runner, key, static_cast<FinishReason>(item.end().finish_reason()));
}

bool Cluster::applyTokens(const PeerIdentity& peer, const wire::JournalBatch& batch, std::set<std::uint32_t>& refused)
{
    const ViewMember runner { peer.vm, peer.incarnation };
    const std::lock_guard lock(m_mutex);
    auto& incoming = m_incomingJournals[peer.vm];
    return readTokens(batch, incoming.texts, [&](std::uint32_t handle, std::vector<Token> tokens) {
        auto& stream = incoming.streams[handle];
        const auto position = stream.length;
        stream.length += tokens.size();
        if (m_store.append(batch.epoch(), runner, stream.key, position, std::move(tokens)) == JournalResult::Refused)
            refused.insert(handle);
    });
}

std::string Cluster::keyOfHandle(const PeerIdentity& peer, std::uint32_t handle) const
{
    const std::lock_guard lock(m_mutex);
    const auto incoming = m_incomingJournals.find(peer.vm);
    if (incoming == m_incomingJournals.end())
        return {};
    const auto stream = incoming->second.streams.find(handle);
    return stream == incoming->second.streams.end() ? std::string {} : stream->second.key;
}

void Cluster::queryArrived(const PeerIdentity& peer, const wire::Envelope& envelope)
{
    const auto& key = envelope.query().key();
    wire::Envelope reply;
    auto& answer = *reply.mutable_answer();
    answer.set_id(envelope.query().id());
    answer.set_is_runner(m_runsKey(key));
    const auto record = m_store.find(key);
    // A record that the querying VM journaled since its last start is ignored: that VM itself knows whether it has
    // released the key. A record from before its restart is reported.
    const bool isOwnRecordOfPeer = record && record->runner == ViewMember { peer.vm, peer.incarnation };
    answer.set_is_known(answer.is_runner() || (record && !isOwnRecordOfPeer));
    answer.set_length(record ? record->tokens.size() : 0);
    m_network->send(peer.vm, reply);
}

void Cluster::answerArrived(const PeerIdentity& peer, const wire::Envelope& envelope)
{
    const auto& answer = envelope.answer();
    {
        const std::lock_guard lock(m_mutex);
        const auto entry = m_queries.find(answer.id());
        if (entry == m_queries.end())
            return;
        auto& query = entry->second;
        query.pendingAnswers -= query.pendingAnswers ? 1 : 0;
        const bool isMore = !query.holder || answer.length() > query.holderLength
            || (answer.length() == query.holderLength && peer.vm < query.holder->vm);
        if (answer.is_known() && !query.isHolderRunner && (answer.is_runner() || isMore)) {
            query.holder = peer;
            query.isHolderRunner = answer.is_runner();
            query.holderLength = answer.length();
        }
        if (answer.is_runner())
            query.pendingAnswers = 0;
    }
    completeQuery(answer.id());
}

} // namespace lupinknot::internal
