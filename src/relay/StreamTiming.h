// What one stream shows of its service's pace, and whether that pace leaves it enough time.
//
//     StreamTiming pace(context, request);
//     if (pace.lacksTime(lastEventId, isPromptKept)) ...      // Refuse it before it runs into its deadline.
//     pace.notePromptRead(run, now);                          // Its first event has come.
//     pace.noteWholeAnswer(lastEventId, events, time);        // It is complete.
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

    // The most events that the whole answer may have; 0 when unknown.
    std::int64_t mostEvents() const;
    // True when no engine can finish the stream in the time that is left, because most of it is gone already. Nothing
    // has to be read where an engine has kept the prompt.
    bool lacksTime(std::uint64_t lastEventId, bool isPromptKept) const;

    // The first event of a run has come: how long after its head shows whether engines send heads early.
    void noteFirstEvent(const StreamRun&, Milliseconds now);
    // What a run shows that its engine did not finish.
    UnfinishedRun unfinishedRun(const StreamRun&, FailureKind, Milliseconds now);
    void notePromptRead(const StreamRun&, Milliseconds now);
    // The time is that from the first of the events to the last one.
    void noteWholeAnswer(std::uint64_t lastEventId, std::size_t events, Milliseconds time);

private:
    RelayContext& m_context;
    const RelayRequest& m_request;
};

} // namespace lupinknot::internal
