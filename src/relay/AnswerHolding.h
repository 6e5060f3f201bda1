// Counts an answer that endpoints are sending against the memory for answers.
#pragma once

#include "admission/AnswerMemory.h"
#include <functional>
#include <memory>

namespace lupinknot::internal {

struct RelayContext;
struct RelayRequest;

// The callback is called when the answers together need too much memory and this one is the largest, which is logged.
std::unique_ptr<AnswerMemory::Holding> holdAnswer(RelayContext&, const RelayRequest&, std::function<void()> giveUp);

} // namespace lupinknot::internal
