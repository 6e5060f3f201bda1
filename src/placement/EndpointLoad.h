// The load of an endpoint at one moment, as its answer states it.
#pragma once

#include <cstdint>
#include <optional>

namespace lupinknot::internal {

struct EndpointLoad {
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t slots { 1 };
    // How long work takes at this moment as a multiple of the usual time; nothing when the endpoint does not state it.
    std::optional<double> pace;

    // Calls that have to end before a new one starts, as a multiple of the slots: the delay of a new call in usual call
    // times.
    double queueAhead() const
    {
        const auto ahead = running + waiting + 1 > slots ? running + waiting + 1 - slots : 0;
        return static_cast<double>(ahead) / static_cast<double>(slots);
    }
};

} // namespace lupinknot::internal
