// Log events about a stream's runs; docs/LOGS.md lists their fields.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/FailureKind.h"
#include <optional>
#include <string>
#include <string_view>

namespace lupinknot::internal {

// Reasons why a lost run is not continued; lupinknotctl losses counts them.
namespace continuation {
inline constexpr std::string_view noRetryLeft = "no-retry-left";
inline constexpr std::string_view runsUsedUp = "runs-used-up";
inline constexpr std::string_view noEngine = "no-engine";
inline constexpr std::string_view held = "held";
inline constexpr std::string_view versionGone = "version-gone";
inline constexpr std::string_view copyGone = "copy-gone";
inline constexpr std::string_view copyRejected = "copy-rejected";
inline constexpr std::string_view copyNotTried = "copy-not-tried";
} // namespace continuation

class StreamResponse;
struct EarlierRun;
struct RetryAccount;
struct RelayRequest;
struct RunMove;
struct RunSilence;
struct StreamRun;
enum class RetryPurpose;

// What a stream had when it lacked a retry.
struct LackOfRetry {
    RetryPurpose purpose;
    const RetryAccount& account;
    // Whether a silent run is kept, and the number of requests to stop earlier runs that may still be answered.
    bool keepsSilentRun { false };
    std::size_t openStops { 0 };
};

void logRunSent(const RelayRequest&, const StreamRun&, const StreamResponse&, bool isFirst, Milliseconds now);
void logFirstEvent(const RelayRequest&, const StreamRun&, Milliseconds now);
void logReturned(const RelayRequest&, const EarlierRun&);
void logRunRejected(const RelayRequest&, const StreamRun&);
// Logs that nothing has arrived from a run's engine for too long. The reason is `no-answer` for a probe without an
// answer, or `pause` for a stream that pauses although its engine answers probes.
void logRunSilent(const RelayRequest&, const StreamRun&, const StreamResponse&, const RunSilence&, Milliseconds now);
// A silent run has produced an event, or its engine has answered a probe. substituted: another run had been sent.
void logSilenceEnded(const RelayRequest&, const StreamRun&, bool isSubstituted, Milliseconds now);
void logRunFailed(const RelayRequest&, const StreamRun&, const StreamResponse&, FailureKind, Milliseconds now);
// A run that was to take the place of a silent one was cancelled.
void logSubstituteEnded(const RelayRequest&, const StreamRun&, Milliseconds now);
// lastEventAt is the time of the last event before the failure, if there was one; failedAt is when the failure was
// detected.
// Logs why a lost run is not continued, or not from its copy. `reason` is one of the names below; `ends` is true when
// the stream ends with it, and `hasCopy` when an engine held a usable copy.
void logNotContinued(const RelayRequest&, std::string_view reason, bool ends, bool hasCopy);
void logLackOfRetry(const RelayRequest&, const StreamResponse&, const LackOfRetry&, Milliseconds now);
// A stream that has begun waits for a retry, which returns to the budget after the given time at the earliest.
void logWaitsForRetry(
    const RelayRequest&, const StreamResponse&, Milliseconds forAtLeast, Milliseconds timeToFinish, Milliseconds now);
// Logs that the answer is late or certain to be late. The forecast is the expected time until the first event.
void logLate(const RelayRequest&, std::string_view reason, std::optional<Milliseconds> forecast, Milliseconds now);
// beganVersion is the version that generated the stream's first event, if it is known.
void logRunResumed(const RelayRequest&, const StreamRun&, const std::optional<std::string>& beganVersion,
    std::optional<Milliseconds> lastEventAt, Milliseconds failedAt, Milliseconds now);
void logRunMoved(const RelayRequest&, const RunMove&, const StreamResponse&);
// A status of 0 stands for a stream that was aborted after it had started.
void logStreamDone(const RelayRequest&, const StreamResponse&, std::string_view outcome, unsigned status,
    unsigned attempts, Milliseconds took);

} // namespace lupinknot::internal
