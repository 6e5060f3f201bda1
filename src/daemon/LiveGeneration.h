// A generation in progress or kept after its end: its driver, its attempts on engines, and the callers who wait for it.
#pragma once

#include "daemon/AttemptRecord.h"
#include "daemon/CompletionRequest.h"
#include "daemon/EndpointState.h"
#include "daemon/EngineProtocol.h"
#include "daemon/GenerationContext.h"
#include "daemon/GenerationSlice.h"
#include "daemon/JournalSource.h"
#include "lupinknot/GenerationDriver.h"
#include "lupinknot/ReplicaRecord.h"
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>

namespace lupinknot::internal {

class EngineAttempt;
class GenerationWatcher;

// Thread-safe, with one lock of its own. Owned by the registry, by its callers and by its pending operations.
class LiveGeneration final : public AttemptHost,
                             public JournalSource,
                             public std::enable_shared_from_this<LiveGeneration> {
public:
    LiveGeneration(const GenerationContext&, CompletionRequest, std::string id);

    // Continues a generation that another VM ran. Its new id includes the number of takeovers, so that parts of two
    // runs cannot be joined into one answer.
    LiveGeneration(const GenerationContext&, CompletionRequest, ReplicaRecord);

    void start();

    // True when callers were sent the tokens up to a position under an id, by this VM or by the VM that ran the
    // generation before.
    bool holds(const std::string& id, std::size_t position) const;
    const std::string& id() const { return m_id; }
    const CompletionRequest& request() const { return m_request; }

    // A watcher is notified of progress until it is detached; the first call comes at once if there is progress
    // already. A generation that was cancelled because its callers had disconnected is resumed.
    void attach(const std::shared_ptr<GenerationWatcher>&);
    // When the last watcher is detached the work is cancelled, at once or after the time in the settings.
    void detach(const GenerationWatcher&);

    // Notifies the replica that it may remove the generation.
    void detachJournal();
    // True when another VM runs the generation now, or when it was refused as not run: its key may be used again here.
    bool isKeyReusable() const;
    // Removes all watchers without notifying them. Only for the end of the process.
    void shutDown();

    // Reads at most maxTokens tokens from a position on.
    GenerationSlice read(std::size_t position, std::size_t maxTokens) const;
    std::size_t releasedLength() const;
    std::size_t promptLength() const;
    bool isOver() const;
    // The time at which the generation ended; nothing while it runs.
    std::optional<Milliseconds> endedAt() const;
    std::vector<AttemptRecord> attempts() const;

    // Reports from an attempt. They are refused when the attempt is no longer the current one.
    void attemptAccepted(AttemptNumber);
    void promptIdsKnown(AttemptNumber, std::vector<TokenId>);
    void tokensArrived(AttemptNumber, std::size_t position, std::vector<Token>);
    void attemptFinished(AttemptNumber, std::size_t position, FinishReason);
    void attemptFailed(AttemptNumber, FailureKind);

    // JournalSource. The journal calls these functions without any lock.
    const std::string& journalKey() const override { return m_key; }
    bool fillJournal(JournalCursor&, wire::JournalItem&, std::vector<Token>&) const override;
    void journalAcknowledged(const JournalCursor&) override;
    void journalUnprotected() override;
    void journalRefused() override;

    // AttemptHost. The driver calls these functions under the lock.
    std::optional<EndpointChoice> chooseEndpoint(const std::vector<EndpointName>& avoid) override;
    void startAttempt(const AttemptOrder&) override;
    void cancelAttempt(AttemptNumber) override;
    void attemptEnded(const AttemptEnd&) override;
    void resumed(const ResumeReport&) override;

private:
    bool isJournaled() const;
    void startDriver();
    std::size_t visibleLength() const;
    bool isEndVisible() const;
    std::string streamId(AttemptNumber) const;
    void stopStream(const EndpointSettings&, const std::string& stream);
    std::string attemptDescription(AttemptNumber) const;
    std::optional<EnginePrefix> prefix() const;
    void afterEvent();
    void notifyWatchers();
    void armTimer();
    void armTimerFor(Milliseconds);
    void timerFired();
    void lastWatcherDetached();
    void abandonIfUnwatched();

    const GenerationContext m_context;
    const CompletionRequest m_request;
    const std::string m_id;
    const std::string m_key;
    // The record of another VM's run, if this VM took the generation over.
    const std::optional<ReplicaRecord> m_adopted;

    mutable std::mutex m_mutex;
    // The members below are guarded by the lock.
    GenerationDriver m_driver;
    std::vector<TokenId> m_promptIds;
    std::shared_ptr<EndpointState> m_endpoint;
    std::shared_ptr<EngineAttempt> m_attempt;
    std::vector<AttemptRecord> m_records;
    std::vector<std::shared_ptr<GenerationWatcher>> m_watchers;
    std::size_t m_notifiedLength { 0 };
    std::optional<Milliseconds> m_endedAt;
    // The part that a replica holds. Callers get no tokens beyond it, unless no replica can be reached.
    JournalCursor m_acknowledged;
    bool m_isUnprotected { false };
    // The engine stream of an attempt of this VM, for the journal.
    std::optional<JournaledAttempt> m_journaledAttempt;
    boost::asio::steady_timer m_timer;
    Milliseconds m_timerExpiry { Milliseconds::max() };
    bool m_isWaitingAfterPause { false };
    boost::asio::steady_timer m_graceTimer;
};

} // namespace lupinknot::internal
