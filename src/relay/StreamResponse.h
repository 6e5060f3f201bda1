// The part of a stream's answer that has been received so far, and its transfer to the caller.
//
// Successive runs contribute events; an event that does not follow the last one is rejected. The caller's connection
// reads the events as fast as it can send them.
//
//     const auto answer = StreamResponse::make(request);
//     run->number = answer->beginRun();
//     if (!answer->append(*run, std::move(events))) ...       // The run sent a wrong event; cancel the run.
//     answer->forwardToCaller(run->head, now);
//
// Used on the relay's thread only. Owned by the stream's call and by the caller's connection.
#pragma once

#include "admission/AnswerMemory.h"
#include "lupinknot/Clock.h"
#include "lupinknot/Generation.h"
#include "relay/EventSplitter.h"
#include <memory>
#include <optional>
#include <vector>

namespace lupinknot::internal {

struct HttpResponse;
struct RelayRequest;
struct StreamRun;

class StreamResponse : public std::enable_shared_from_this<StreamResponse> {
public:
    // The request must outlive the answer.
    static std::shared_ptr<StreamResponse> make(const RelayRequest&);

    // Starts a run; events of earlier runs are rejected from now on.
    AttemptNumber beginRun() { return m_events.beginAttempt(); }
    // Returns false when an event of the run does not follow the last one.
    bool append(const StreamRun&, std::vector<CompleteEvent>&&);
    // Passes the received events to the caller; the first call also sends the response header.
    void forwardToCaller(const HttpResponse& head, Milliseconds now);
    // Counts what the runs send in this holding, until the caller's connection has sent it.
    void countIn(std::unique_ptr<AnswerMemory::Holding> memory) { m_memory = std::move(memory); }
    void count(std::size_t bytes) { m_memory->add(bytes); }
    // Marks the answer as complete.
    void complete() { m_isComplete = true; }

    // True once the response to the caller has started.
    bool hasBegun() const { return m_hasBegun; }
    bool isComplete() const { return m_isComplete; }
    // Number of events received in this call.
    std::size_t length() const { return m_events.length(); }
    // Id of the last event that the caller has received or will receive.
    std::uint64_t lastEventId() const { return m_previousEventId + m_events.length(); }
    // Time of the last event; nothing before the first one.
    std::optional<Milliseconds> lastEventAt() const { return m_lastEventAt; }
    // Time from the first event to the last one.
    Milliseconds duration() const { return m_lastEventAt.value_or(m_firstEventAt) - m_firstEventAt; }
    // Estimated time until the last event, from the average rate so far and the maximum number of events (0: unknown).
    Milliseconds expectedTimeLeft(std::int64_t maxEvents, Milliseconds now) const;

private:
    class Source;

    explicit StreamResponse(const RelayRequest&);

    const RelayRequest& m_request;
    // Number of events that the caller had received before this call.
    const std::uint64_t m_previousEventId;
    Generation m_events;
    std::unique_ptr<AnswerMemory::Holding> m_memory;
    Milliseconds m_firstEventAt { 0 };
    std::optional<Milliseconds> m_lastEventAt;
    bool m_hasBegun { false };
    bool m_isComplete { false };
};

} // namespace lupinknot::internal
