// Detects whether an endpoint is silent, from the tokens of all streams on it.
//
// A token of any stream proves that the endpoint is alive. When all streams together are silent for longer than the
// detector's timeout, the endpoint is suspected. A single stream that is silent while others continue gets more time.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/SilenceDetector.h"
#include <memory>
#include <mutex>
#include <optional>

namespace lupinknot {

struct LivenessSettings {
    DetectorKind detector { DetectorKind::Maximum };
    SilenceBounds bounds;
    // How long one stream may be silent while other streams on the endpoint continue.
    Milliseconds loneStreamTimeout { 5000 };
    // How long the endpoint may be silent while a stream waits for its first token, which requires a prefill.
    Milliseconds prefillTimeout { 1200 };
    // How long a stream may wait for its first token on an endpoint that is alive.
    Milliseconds firstTokenTimeout { 10000 };
};

// The state of the stream for which a verdict is requested.
struct StreamActivity {
    // When the stream was opened, or when its last token arrived.
    Milliseconds lastActivity;
    bool hasToken { false };
};

enum class LivenessVerdict {
    Alive,
    EndpointSilent,
    StreamSilent,
};

// Thread-safe, protected by its own lock. Shared by the streams on one endpoint.
class EndpointLiveness {
public:
    explicit EndpointLiveness(const LivenessSettings&);

    // Records a token. The gap is the time since the previous token of the same stream, if there was one.
    void tokenSeen(Milliseconds now, std::optional<Milliseconds> gap);
    LivenessVerdict verdict(Milliseconds now, const StreamActivity&) const;
    // The earliest instant at which the verdict can differ from Alive if no further token arrives.
    Milliseconds nextCheck(const StreamActivity&) const;
    Milliseconds silenceTimeout() const;

private:
    // The instants at which the silence of the endpoint and that of the stream become too long.
    struct Deadlines {
        Milliseconds endpoint;
        Milliseconds stream;
    };
    Deadlines deadlinesOf(const StreamActivity&) const;

    const LivenessSettings m_settings;
    mutable std::mutex m_mutex;
    std::unique_ptr<SilenceDetector> m_detector;
    Milliseconds m_lastToken { 0 };
};

} // namespace lupinknot
