// Records the timing of one stream for its service's statistics, and checks whether the stream can finish in time.
//
//     StreamTiming timing(context, request);
//     if (timing.lacksTimeToFinish(lastEventId, isPromptKept)) ... // Refuse the stream; it cannot meet its deadline.
//     timing.recordPromptTime(run, now);                           // The first event has arrived.
//     timing.recordCompleteAnswer(lastEventId, events, time);      // The stream is complete.
//
// Used on the relay's thread only. The context and the request outlive it.
#pragma once

#include "lupinknot/Clock.h"
#include "quarantine/CrashWeight.h"
#include <cstdint>
#include <optional>

namespace lupinknot::internal {

struct RelayContext;
struct RelayRequest;
struct StreamRun;

class StreamTiming {
public:
    StreamTiming(RelayContext&, const RelayRequest&);

    // Tokens of an event; 0 when unknown.
    std::uint32_t tokensPerEvent() const;
    // Maximum number of events of the whole answer; 0 when unknown.
    std::int64_t maxEvents() const;
    // The time that the fastest engines need to finish the stream. The prefill takes no time where an engine still has
    // the prompt cached.
    Milliseconds timeToFinish(std::uint64_t lastEventId, bool isPromptKept) const;
    // True when too little time is left for any engine to finish the stream before its deadline.
    bool lacksTimeToFinish(std::uint64_t lastEventId, bool isPromptKept) const;

    // Records that events have arrived.
    void noteEvents(Milliseconds now);
    // False when the stream has missed its objective or its longest pause, or will do so before the next event, which
    // arrives after the given time at the earliest.
    bool canBeInTime(Milliseconds timeToNextEvent, Milliseconds now) const;
    // The prefill time of the prompt, by the fastest of the measured times.
    Milliseconds shortestPrefillTime() const;

    // Records the time between a run's response header and its first event, which shows whether engines send headers
    // early.
    void recordFirstEvent(const StreamRun&, Milliseconds now);
    // Describes a run that its engine did not finish.
    UnfinishedRun describeUnfinishedRun(const StreamRun&, FailureKind, Milliseconds now);
    void recordPromptTime(const StreamRun&, Milliseconds now);
    // Records the pace of the run's engine when the run has ended, however it ended.
    void recordEnginePace(const StreamRun&, Milliseconds now);
    // The time is measured from the first of the events to the last one.
    void recordCompleteAnswer(std::uint64_t lastEventId, std::size_t events, Milliseconds time);

private:
    // The time up to which the next event is in time.
    Milliseconds nextEventDue() const;

    RelayContext& m_context;
    const RelayRequest& m_request;
    std::optional<Milliseconds> m_lastEventAt;
    // An event has come after the objective or the longest pause.
    bool m_isLate { false };
};

} // namespace lupinknot::internal
