// Sends short messages between VMs through the collectors: a few VMs of each availability zone that gather what the VMs
// of their zone report and notify them of the result.
//
//     exchange.onReport("paces", [](const std::string& body) { ... });     // On a collector.
//     exchange.report("paces", body);
//
// Bodies are JSON objects of at most 16 KB. A message may be lost, and may arrive more than once.
// Used on the relay's thread only.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace lupinknot::internal {

class ZoneExchange {
public:
    // Throws an exception if the body is invalid; the exchange logs it once for each sender.
    using Handler = std::function<void(const std::string& body)>;

    virtual ~ZoneExchange() = default;
    // Sends to the collectors of this VM's zone. The message is lost when none of them answers.
    virtual void report(std::string_view topic, std::string body) = 0;
    // Sends to all VMs of this zone and to the collectors of the other zones. For collectors only.
    virtual void publish(std::string_view topic, std::string body) = 0;
    // Sets the handler of reports that arrive at this VM as a collector.
    virtual void onReport(std::string_view topic, Handler) = 0;
    // Sets the handler of what collectors publish.
    virtual void onNews(std::string_view topic, Handler) = 0;
};

} // namespace lupinknot::internal
