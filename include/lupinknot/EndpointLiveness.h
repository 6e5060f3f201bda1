// Tells whether an endpoint is silent, from the tokens of all streams on it.
//
// A token of any stream proves the endpoint alive. When all are silent together for longer than the detector's
// silenceTimeout, the endpoint is suspected; one stream that is silent while others go on is given more time.
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
    // How long one stream may be silent while others on the endpoint go on.
    Milliseconds loneStreamPatience { 5000 };
    // How long the endpoint may be silent while a stream waits for its first token, which takes a prefill.
    Milliseconds prefillPatience { 1200 };
    // How long a stream may wait for its first token on an endpoint that is alive.
    Milliseconds firstTokenTimeout { 10000 };
};

// What one stream knows of itself when it asks.
struct StreamActivity {
    // When the stream was opened, or its last token came.
    Milliseconds lastActivity;
    bool hasToken { false };
};

enum class LivenessVerdict {
    Alive,
    EndpointSilent,
    StreamSilent,
};

// Thread-safe, under one lock of its own. Shared by the streams on one endpoint.
class EndpointLiveness {
public:
    explicit EndpointLiveness(const LivenessSettings&);

    // Tells of a token; the gap is the time since the same stream's token before, if there was one.
    void tokenSeen(Milliseconds now, std::optional<Milliseconds> gap);
    LivenessVerdict verdict(Milliseconds now, const StreamActivity&) const;
    // The earliest instant at which the verdict can differ from Alive if nothing more comes.
    Milliseconds nextCheck(const StreamActivity&) const;
    Milliseconds silenceTimeout() const;

private:
    // The instants at which the two kinds of silence become too long.
    struct Limits {
        Milliseconds endpoint;
        Milliseconds stream;
    };
    Limits limits(const StreamActivity&) const;

    const LivenessSettings m_settings;
    mutable std::mutex m_mutex;
    std::unique_ptr<SilenceDetector> m_detector;
    Milliseconds m_lastToken { 0 };
};

} // namespace lupinknot
