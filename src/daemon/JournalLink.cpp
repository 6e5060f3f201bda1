#include "daemon/JournalLink.h"

#include "peer/generated/Messages.pb.h"

#include <algorithm>

namespace lupinknot::internal {

JournalLink::JournalLink(boost::asio::io_context& ioContext, std::uint64_t epoch, Milliseconds flushInterval, Send send)
    : m_epoch(epoch)
    , m_flushInterval(flushInterval)
    , m_send(std::move(send))
    , m_timer(ioContext)
{
}

void JournalLink::add(const std::shared_ptr<JournalSource>& source)
{
    const std::lock_guard lock(m_mutex);
    if (m_isClosed)
        return;
    m_streams[source.get()] = { source, ++m_lastHandle, {}, true };
    m_changed.push_back(source.get());
    scheduleFlush();
}

void JournalLink::changed(const JournalSource* source)
{
    const std::lock_guard lock(m_mutex);
    const auto stream = m_streams.find(source);
    if (stream == m_streams.end() || stream->second.isChanged)
        return;
    stream->second.isChanged = true;
    m_changed.push_back(source);
    scheduleFlush();
}

void JournalLink::remove(const JournalSource* source)
{
    const std::lock_guard lock(m_mutex);
    const auto stream = m_streams.find(source);
    if (stream == m_streams.end())
        return;
    m_dropped.push_back(stream->second.handle);
    m_streams.erase(stream);
    scheduleFlush();
}

void JournalLink::acknowledged(const wire::JournalAck& ack)
{
    std::vector<Pending> covered;
    {
        const std::lock_guard lock(m_mutex);
        if (ack.number() != m_lastBatch || !m_isBatchInFlight)
            return;
        m_isBatchInFlight = false;
        covered = std::move(m_batchInFlight);
        m_batchInFlight.clear();
        if (!m_changed.empty() || !m_dropped.empty())
            scheduleFlush();
    }
    for (const auto& pending : covered) {
        const bool isRefused
            = std::find(ack.refused().begin(), ack.refused().end(), pending.handle) != ack.refused().end();
        if (isRefused)
            pending.source->journalRefused();
        else
            pending.source->journalAcknowledged(pending.cursor);
    }
}

std::vector<std::shared_ptr<JournalSource>> JournalLink::close()
{
    const std::lock_guard lock(m_mutex);
    m_isClosed = true;
    m_timer.cancel();
    std::vector<std::shared_ptr<JournalSource>> sources;
    for (auto& entry : m_streams)
        sources.push_back(std::move(entry.second.source));
    m_streams.clear();
    m_batchInFlight.clear();
    return sources;
}

void JournalLink::scheduleFlush()
{
    if (m_isFlushScheduled || m_isBatchInFlight || m_isClosed)
        return;
    m_isFlushScheduled = true;
    m_timer.expires_after(m_flushInterval);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (self && !error)
            self->flush();
    });
}

void JournalLink::flush()
{
    wire::Envelope envelope;
    auto& batch = *envelope.mutable_journal();
    batch.set_epoch(m_epoch);
    auto pending = collectChanges(batch);
    // Sources are called without the journal's lock, because generations call the journal under their own lock.
    for (auto& stream : pending) {
        auto& item = *batch.add_items();
        item.set_handle(stream.handle);
        std::vector<Token> tokens;
        if (!stream.source->fillJournal(stream.cursor, item, tokens))
            batch.mutable_items()->RemoveLast();
        if (!tokens.empty())
            addTokens(batch, m_texts, stream.handle, tokens.data(), tokens.size());
    }
    const std::lock_guard lock(m_mutex);
    m_isFlushScheduled = false;
    const bool hasChanges = batch.items_size() || batch.token_handles_size();
    if (m_isClosed || !hasChanges)
        return;
    for (const auto& stream : pending) {
        if (const auto entry = m_streams.find(stream.key); entry != m_streams.end())
            entry->second.sent = stream.cursor;
    }
    batch.set_number(++m_lastBatch);
    m_batchInFlight = std::move(pending);
    m_isBatchInFlight = true;
    m_send(envelope);
}

std::vector<JournalLink::Pending> JournalLink::collectChanges(wire::JournalBatch& batch)
{
    const std::lock_guard lock(m_mutex);
    // A dropped key may be opened again in the same batch, so the drops are applied first.
    for (const auto handle : m_dropped) {
        auto& item = *batch.add_items();
        item.set_handle(handle);
        item.set_drop(true);
    }
    m_dropped.clear();
    std::vector<Pending> pending;
    for (const auto* key : m_changed) {
        const auto entry = m_streams.find(key);
        if (entry == m_streams.end())
            continue;
        entry->second.isChanged = false;
        pending.push_back({ key, entry->second.source, entry->second.handle, entry->second.sent });
    }
    m_changed.clear();
    return pending;
}

} // namespace lupinknot::internal
