// Counts an endpoint's answer against the memory for answers.
#pragma once

#include "admission/AnswerMemory.h"
#include <memory>
#include <string>

namespace lupinknot::internal {

class EndpointCall;
struct RelayContext;

// The call is given up, which is logged, when the answers together need too much memory and this one is the largest.
std::unique_ptr<AnswerMemory::Holding> holdAnswer(
    RelayContext&, const std::shared_ptr<EndpointCall>&, const std::string& requestId);

} // namespace lupinknot::internal
