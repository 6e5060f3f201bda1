#include "common/PlannedSignals.h"

#include <initializer_list>

namespace lupinknot::internal {

sigset_t plannedSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const auto number : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&signals, number);
    return signals;
}

void blockPlannedSignals()
{
    const auto signals = plannedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

PlannedSignalDelivery::PlannedSignalDelivery()
{
    const auto signals = plannedSignals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

PlannedSignalDelivery::~PlannedSignalDelivery() { blockPlannedSignals(); }

} // namespace lupinknot::internal
