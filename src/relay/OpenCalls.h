// The requests that this VM is serving, which it answers before its process ends.
//
//     m_openCalls->add(*this);
//     m_openCalls->remove(*this);
//     ...
//     context.openCalls->noteStopRequested();
//     context.openCalls->end();                 // Each call that has no answer yet gets one.
//
// Used on the relay's thread only. Shared with the calls, which may be destroyed after the context.
#pragma once

#include <memory>
#include <unordered_set>
#include <vector>

namespace lupinknot::internal {

// A request in progress.
class OpenCall {
public:
    virtual ~OpenCall() = default;
    // A stop has been requested: refuses the request if it has run nowhere and waits beyond the end of the process.
    virtual void stopRequested() = 0;
    // The process ends: answers the caller unless its answer has begun.
    virtual void processEnds() = 0;
    // Keeps the call alive.
    virtual std::shared_ptr<OpenCall> hold() = 0;
};

class OpenCalls {
public:
    void add(OpenCall& call) { m_calls.insert(&call); }
    void remove(OpenCall& call) { m_calls.erase(&call); }

    void noteStopRequested() const
    {
        for (const auto& call : held())
            call->stopRequested();
    }

    void end() const
    {
        for (const auto& call : held())
            call->processEnds();
    }

private:
    // Calls remove themselves as they are answered.
    std::vector<std::shared_ptr<OpenCall>> held() const
    {
        std::vector<std::shared_ptr<OpenCall>> calls;
        calls.reserve(m_calls.size());
        for (auto* const call : m_calls)
            calls.push_back(call->hold());
        return calls;
    }

    std::unordered_set<OpenCall*> m_calls;
};

} // namespace lupinknot::internal
