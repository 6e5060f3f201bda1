// The objects that all generations of a process share.
#pragma once

#include <boost/asio/io_context.hpp>

namespace lupinknot {
class Clock;
}

namespace lupinknot::internal {

class Cluster;
class EndpointTable;
class HttpCallGroup;
class Metrics;
class SharedAnswerMemory;
struct DaemonSettings;

// All referenced objects outlive the generations.
struct GenerationContext {
    boost::asio::io_context& ioContext;
    const Clock& clock;
    const DaemonSettings& settings;
    const EndpointTable& endpoints;
    Metrics& metrics;
    HttpCallGroup& calls;
    Cluster& cluster;
    SharedAnswerMemory& answerMemory;
};

} // namespace lupinknot::internal
