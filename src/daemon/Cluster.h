// This VM as a member of the cluster: decides which VM is responsible for a key, replicates the journal of its own
// generations to other VMs, and holds the records that other VMs replicate to it.
#pragma once

#include "daemon/JournalLink.h"
#include "daemon/KeyPlacement.h"
#include "lupinknot/ReplicaStore.h"
#include "peer/PeerHandler.h"
#include "peer/PeerNetwork.h"
#include "settings/DaemonSettings.h"
#include <atomic>
#include <functional>
#include <map>
#include <set>

namespace lupinknot::wire {
class JournalItem;
class JournalBatch;
} // namespace lupinknot::wire

namespace lupinknot::internal {

class PeerWatcher;

// Thread-safe. The journal links and the store have their own locks. One further lock guards all other members; it is
// never held while a source or a callback is called.
class Cluster final : public PeerHandler, public std::enable_shared_from_this<Cluster> {
public:
    using PlacementCallback = std::function<void(const KeyPlacement&)>;
    using RunsKeyFunction = std::function<bool(const std::string& key)>;

    Cluster(boost::asio::io_context&, const Clock&, const DaemonSettings&, std::uint64_t incarnation);

    // Connects to the peers. The function returns whether this VM itself runs a key. Returns an error message, or
    // nothing on success.
    std::optional<std::string> start(unsigned short callerPort, RunsKeyFunction);
    void stop();
    // False when there are no peers: this VM then serves every key, and nothing is journaled.
    bool isEnabled() const { return !m_settings.peers.empty(); }

    // Decides which VM serves a key that this VM does not run. A forwarded request is not forwarded again to the
    // responsible VM, only to the VM that runs the key. The callback may be called before this returns or later.
    void place(const std::string& key, bool isForwarded, PlacementCallback);
    // Takes a record over. Returns nothing when another request has already taken it over.
    std::optional<ReplicaRecord> takeOver(const std::string& key);

    // Start, update and end the journal of a generation that this VM runs.
    void attach(const std::shared_ptr<JournalSource>&);
    void changed(const JournalSource&);
    void detach(const JournalSource&);

    // Notifies the watcher when the link to a VM is lost, or at once when there is no link.
    void watch(const std::string& vm, const std::shared_ptr<PeerWatcher>&);

    void sweep();
    std::size_t recordCount() const { return m_store.size(); }
    std::vector<PeerIdentity> peersUp() const;
    std::uint64_t sentBytes() const;
    unsigned short port() const;

    void peerUp(const PeerIdentity&) override;
    void peerDown(const PeerIdentity&) override;
    void peerMessage(const PeerIdentity&, const wire::Envelope&) override;

private:
    // A query to all other VMs whether they know a key.
    struct Query {
        std::string key;
        PlacementCallback decide;
        std::size_t pendingAnswers { 0 };
        std::optional<PeerIdentity> holder;
        bool isHolderRunner { false };
        std::uint64_t holderLength { 0 };
    };

    bool isNewestLink(const PeerIdentity&) const;
    bool hasJoined();
    void schedulePlacement(const std::string& key, bool isForwarded, PlacementCallback);
    bool isMembershipStable() const;
    std::optional<KeyPlacement> placeByOwnRecord(const std::string& key) const;
    std::optional<PeerIdentity> actingOwner(const std::string& key) const;
    void queryPeers(const std::string& key, PlacementCallback);
    void queryTimedOut(std::uint64_t id);
    void completeQuery(std::uint64_t id);
    KeyPlacement placementFromAnswers(const Query&) const;
    void moveJournals(const std::shared_ptr<JournalLink>&);
    std::shared_ptr<JournalLink> linkFor(const std::string& key, std::string& vm) const;
    void journalArrived(const PeerIdentity&, const wire::Envelope&);
    JournalResult applyItem(const PeerIdentity&, std::uint64_t epoch, const wire::JournalItem&);
    JournalResult applyEnd(const PeerIdentity&, std::uint64_t epoch, const wire::JournalItem&);
    bool applyTokens(const PeerIdentity&, const wire::JournalBatch&, std::set<std::uint32_t>& refused);
    std::string keyOfHandle(const PeerIdentity&, std::uint32_t handle) const;
    void queryArrived(const PeerIdentity&, const wire::Envelope&);
    void answerArrived(const PeerIdentity&, const wire::Envelope&);

    boost::asio::io_context& m_ioContext;
    const Clock& m_clock;
    const DaemonSettings& m_settings;
    const ViewMember m_self;
    const Milliseconds m_startedAt;
    View m_view;
    ReplicaStore m_store;
    std::shared_ptr<PeerNetwork> m_network;
    RunsKeyFunction m_runsKey;
    // Stays true even when links are lost later.
    std::atomic<bool> m_hasJoined { false };

    mutable std::mutex m_mutex;
    // The members below are guarded by the lock.
    struct Link {
        std::uint64_t number { 0 };
        std::shared_ptr<JournalLink> journal;
    };
    std::map<std::string, Link> m_links;
    std::map<std::string, std::vector<std::weak_ptr<PeerWatcher>>> m_watchers;
    std::unordered_map<const JournalSource*, std::string> m_replicaVms;
    // The streams behind a peer's handles, and the token texts received over its link.
    struct IncomingJournal {
        struct Stream {
            std::string key;
            std::size_t length { 0 };
        };
        std::unordered_map<std::uint32_t, Stream> streams;
        TokenTexts texts;
    };
    std::map<std::string, IncomingJournal> m_incomingJournals;
    std::map<std::uint64_t, Query> m_queries;
    std::uint64_t m_lastQuery { 0 };
    Milliseconds m_lastMembershipChange { 0 };
};

} // namespace lupinknot::internal
