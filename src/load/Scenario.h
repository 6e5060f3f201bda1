// The scenarios that the load tool can run.
#pragma once

#include <string>
#include <vector>

namespace lupinknot::internal {

class LoadRun;

struct Scenario {
    const char* name;
    const char* description;
    void (*run)(LoadRun&);
};

const std::vector<Scenario>& scenarios();

} // namespace lupinknot::internal
