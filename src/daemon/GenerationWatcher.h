// Hears that a generation has something new.
#pragma once

namespace lupinknot::internal {

// Called under the generation's lock, from any thread: an implementation only takes note and returns.
class GenerationWatcher {
public:
    virtual ~GenerationWatcher() = default;
    virtual void progressed() = 0;
};

} // namespace lupinknot::internal
