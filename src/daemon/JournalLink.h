// Sends the journal of this VM's generations to one other VM.
//
// Changes are collected while a batch is in flight and are sent together when it is acknowledged; with no batch in
// flight they are sent after the flush interval. The cost therefore depends on the number of flushes and not on the
// number of streams.
#pragma once

#include "daemon/JournalSource.h"
#include "daemon/JournalTokens.h"
#include "lupinknot/Clock.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace lupinknot::wire {
class Envelope;
class JournalAck;
class JournalBatch;
} // namespace lupinknot::wire

namespace lupinknot::internal {

// Thread-safe, with one lock; sources are called without it.
class JournalLink : public std::enable_shared_from_this<JournalLink> {
public:
    using Send = std::function<void(const wire::Envelope&)>;

    JournalLink(boost::asio::io_context&, std::uint64_t epoch, Milliseconds flushInterval, Send);

    void add(const std::shared_ptr<JournalSource>&);
    void changed(const JournalSource*);
    // Notifies the replica that it may remove the generation.
    void remove(const JournalSource*);
    void acknowledged(const wire::JournalAck&);
    // Ends the link. Returns the sources that need another link.
    std::vector<std::shared_ptr<JournalSource>> close();

private:
    struct Stream {
        std::shared_ptr<JournalSource> source;
        std::uint32_t handle { 0 };
        JournalCursor sent;
        bool isChanged { false };
    };

    struct Pending {
        const JournalSource* key;
        std::shared_ptr<JournalSource> source;
        std::uint32_t handle;
        JournalCursor cursor;
    };

    void scheduleFlush();
    void flush();
    // Adds the dropped streams to the batch, and returns the streams that have changed.
    std::vector<Pending> collectChanges(wire::JournalBatch&);

    const std::uint64_t m_epoch;
    const Milliseconds m_flushInterval;
    const Send m_send;
    // Used only by flush(), which never runs twice at the same time.
    TokenTexts m_texts;
    std::mutex m_mutex;
    // The members below are guarded by the lock.
    boost::asio::steady_timer m_timer;
    std::unordered_map<const JournalSource*, Stream> m_streams;
    std::vector<const JournalSource*> m_changed;
    std::vector<std::uint32_t> m_dropped;
    // The contents of the batch in flight; empty when there is none.
    std::vector<Pending> m_batchInFlight;
    std::uint64_t m_lastBatch { 0 };
    std::uint32_t m_lastHandle { 0 };
    bool m_isBatchInFlight { false };
    bool m_isFlushScheduled { false };
    bool m_isClosed { false };
};

} // namespace lupinknot::internal
