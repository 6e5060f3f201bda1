// The lines of the log on a stream's runs; docs/LOGS.md lists their fields.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/FailureKind.h"
#include <optional>
#include <string_view>

namespace lupinknot::internal {

class StreamResponse;
struct RelayRequest;
struct RunMove;
struct StreamRun;

void logRunSent(const RelayRequest&, const StreamRun&, const StreamResponse&, bool isFirst, Milliseconds now);
void logFirstEvent(const RelayRequest&, const StreamRun&, Milliseconds now);
void logRunTurnedAway(const RelayRequest&, const StreamRun&);
void logRunLost(const RelayRequest&, const StreamRun&, const StreamResponse&, FailureKind, Milliseconds now);
// The last event before the loss came at the first instant, if there was one; the loss was noticed at the second.
void logRunResumed(const RelayRequest&, const StreamRun&, std::optional<Milliseconds> lastEventAt, Milliseconds lossAt,
    Milliseconds now);
void logRunMoved(const RelayRequest&, const RunMove&, const StreamResponse&);
// A status of 0 stands for a stream that was broken off.
void logStreamDone(const RelayRequest&, const StreamResponse&, std::string_view outcome, unsigned status,
    unsigned sendings, Milliseconds took);

} // namespace lupinknot::internal
