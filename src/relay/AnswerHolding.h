// Counts an answer against the memory for answers, until its caller has received it.
#pragma once

#include "admission/AnswerMemory.h"
#include <functional>
#include <memory>

namespace lupinknot::internal {

struct RelayContext;
struct RelayRequest;

// The callback is called when the answers together need too much memory and this one is the largest, which is logged.
// It returns false when the call has ended; then the caller's connection is closed, which is what still needs the
// memory.
std::unique_ptr<AnswerMemory::Holding> holdAnswer(RelayContext&, const RelayRequest&, std::function<bool()> giveUp);

} // namespace lupinknot::internal
