// Log events about a stream's runs; docs/LOGS.md lists their fields.
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
void logRunRejected(const RelayRequest&, const StreamRun&);
void logRunFailed(const RelayRequest&, const StreamRun&, const StreamResponse&, FailureKind, Milliseconds now);
// lastEventAt is the time of the last event before the failure, if there was one; failedAt is when the failure was
// detected.
void logRunResumed(const RelayRequest&, const StreamRun&, std::optional<Milliseconds> lastEventAt,
    Milliseconds failedAt, Milliseconds now);
void logRunMoved(const RelayRequest&, const RunMove&, const StreamResponse&);
// A status of 0 stands for a stream that was aborted after it had started.
void logStreamDone(const RelayRequest&, const StreamResponse&, std::string_view outcome, unsigned status,
    unsigned attempts, Milliseconds took);

} // namespace lupinknot::internal
