#include "daemon/KeyPlacement.h"

namespace lupinknot::internal {

KeyPlacement placeByRecord(ReplicaRecord record, const std::optional<PeerIdentity>& runner)
{
    const bool isRunnerUp = runner && runner->incarnation == record.runner.incarnation;
    if (isRunnerUp)
        return { KeyPlacement::Kind::Forward, *runner, std::nullopt };
    // A restarted VM has lost its state, so the work of its previous process cannot still run there.
    const bool isRunnerGone = runner.has_value();
    const bool mayTakeOver = record.request.repeatable || isRunnerGone || record.finishReason;
    if (!mayTakeOver)
        return { KeyPlacement::Kind::Refuse, {}, std::nullopt };
    return { KeyPlacement::Kind::TakeOver, {}, std::move(record) };
}

} // namespace lupinknot::internal
