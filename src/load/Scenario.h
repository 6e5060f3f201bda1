// The scenarios of the load tool.
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
