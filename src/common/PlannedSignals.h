// The signals by which an operator stops a process or has it read its settings again: SIGTERM, SIGINT and SIGHUP.
//
//     int main()
//     {
//         blockPlannedSignals();                       // Before another thread starts.
//         ...
//         const PlannedSignalDelivery delivery;        // The handlers exist from here on.
//         ioContext.run();
//     }
//
// A signal without a handler ends the process. One that comes before its handler exists waits until it does, and one
// that comes after the handler has been removed has no effect.
#pragma once

#include <csignal>

namespace lupinknot::internal {

sigset_t plannedSignals();

// Blocks the signals in the calling thread and in the threads that it starts later.
void blockPlannedSignals();

// Lets the thread that creates it receive the signals until it is destroyed.
class PlannedSignalDelivery {
public:
    PlannedSignalDelivery();
    ~PlannedSignalDelivery();
    PlannedSignalDelivery(const PlannedSignalDelivery&) = delete;
    PlannedSignalDelivery& operator=(const PlannedSignalDelivery&) = delete;
};

} // namespace lupinknot::internal
