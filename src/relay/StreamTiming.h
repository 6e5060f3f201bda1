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
    // True when too little time is left for any engine to finish the stream before its deadline. The prefill takes no
    // time where an engine still has the prompt cached.
    bool lacksTimeToFinish(std::uint64_t lastEventId, bool isPromptKept) const;

    // Records the time between a run's response header and its first event, which shows whether engines send headers
    // early.
    void recordFirstEvent(const StreamRun&, Milliseconds now);
    // Describes a run that its engine did not finish.
    UnfinishedRun describeUnfinishedRun(const StreamRun&, FailureKind, Milliseconds now);
    void recordPromptTime(const StreamRun&, Milliseconds now);
    // The time is measured from the first of the events to the last one.
    void recordCompleteAnswer(std::uint64_t lastEventId, std::size_t events, Milliseconds time);

private:
    RelayContext& m_context;
    const RelayRequest& m_request;
};

} // namespace lupinknot::internal
