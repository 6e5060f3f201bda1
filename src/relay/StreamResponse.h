// The answer of one stream as far as it has come, and its way to the caller.
//
// Its events come from one run after the other; an event that does not follow the last one is not taken. The caller's
// connection takes events when it can.
//
//     const auto answer = StreamResponse::make(request);
//     run->number = answer->beginRun();
//     if (!answer->append(*run, std::move(events))) ...       // The run is of no use any more.
//     answer->handOn(run->head, now);
//
// Used on the relay's thread only. Owned by the stream's call and by the caller's connection.
#pragma once

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
    // The request outlives the call that owns the answer.
    static std::shared_ptr<StreamResponse> make(const RelayRequest&);

    // Events of earlier runs are not taken from here on.
    AttemptNumber beginRun() { return m_events.beginAttempt(); }
    // False when an event of the run does not follow the last one.
    bool append(const StreamRun&, std::vector<WholeEvent>&&);
    // Lets the caller have what has come; the first time with the head.
    void handOn(const HttpResponse& head, Milliseconds now);
    // The last event has come.
    void complete() { m_isComplete = true; }

    // True once the caller's answer has begun.
    bool hasBegun() const { return m_hasBegun; }
    bool isComplete() const { return m_isComplete; }
    // Events that came in this call.
    std::size_t length() const { return m_events.length(); }
    // That the caller has, or will have.
    std::uint64_t lastEventId() const { return m_firstPosition + m_events.length(); }
    // Nothing before the first event.
    std::optional<Milliseconds> lastEventAt() const { return m_lastEventAt; }
    // From the first event to the last one.
    Milliseconds duration() const { return m_lastEventAt.value_or(m_firstEventAt) - m_firstEventAt; }
    // How long it will probably go on, from its pace so far and the most events that it may hold (0: unknown).
    Milliseconds expectedTimeLeft(std::int64_t mostEvents, Milliseconds now) const;

private:
    class Source;

    explicit StreamResponse(const RelayRequest&);

    const RelayRequest& m_request;
    // Events that the caller had before.
    const std::uint64_t m_firstPosition;
    Generation m_events;
    Milliseconds m_firstEventAt { 0 };
    std::optional<Milliseconds> m_lastEventAt;
    bool m_hasBegun { false };
    bool m_isComplete { false };
};

} // namespace lupinknot::internal
