// Shares of the process's limit of descriptors for the connections of one server.
#pragma once

namespace lupinknot::internal {

struct DescriptorShares {
    // Stays free for the process's own connections when a connection is admitted.
    double reserved { 0.25 };
    // Most that the connections of the server may take.
    double most { 1.0 };
};

} // namespace lupinknot::internal
