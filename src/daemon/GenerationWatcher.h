// Notified when a generation has new tokens or has ended.
#pragma once

namespace lupinknot::internal {

// Called under the generation's lock, from any thread. An implementation must only record the notification and return.
class GenerationWatcher {
public:
    virtual ~GenerationWatcher() = default;
    virtual void progressed() = 0;
};

} // namespace lupinknot::internal
