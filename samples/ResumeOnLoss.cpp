// Sample: a generation continues on another engine after its engine is lost.
//
// There is no network. The program simulates the engines: it reports their tokens and failures to the driver and prints
// what the driver requests.

#include "lupinknot/GenerationDriver.h"
#include "lupinknot/ManualClock.h"

#include <iostream>

using namespace lupinknot;

namespace {

class PrintingHost final : public AttemptHost {
public:
    std::optional<EndpointChoice> chooseEndpoint(const std::vector<EndpointName>& avoid) override
    {
        const EndpointName name = avoid.empty() ? "engine-1" : "engine-2";
        return EndpointChoice { name, std::make_shared<EndpointLiveness>(LivenessSettings {}) };
    }

    void startAttempt(const AttemptOrder& order) override
    {
        std::cout << "start attempt " << order.number << " on " << order.endpoint << " from position " << order.position
                  << "\n";
    }

    void cancelAttempt(AttemptNumber attempt) override { std::cout << "stop attempt " << attempt << "\n"; }
    void attemptEnded(const AttemptEnd&) override { }
    void resumed(const ResumeReport& report) override
    {
        std::cout << "resumed after " << report.gap.count() << " ms\n";
    }
};

} // namespace

int main()
{
    ManualClock clock;
    PrintingHost host;
    GenerationDriver driver({ { 4, {} }, true, Milliseconds { 60000 } }, {}, host);

    driver.start(clock.now());
    driver.tokenArrived(1, 0, { 10, "two" }, clock.now());
    driver.tokenArrived(1, 1, { 11, " stories" }, clock.now());

    clock.advance(Milliseconds { 30 });
    driver.attemptFailed(1, FailureKind::ConnectionLost, clock.now());

    // A late token of the lost engine arrives; the driver rejects it.
    driver.tokenArrived(1, 2, { 99, " ERROR" }, clock.now());

    driver.tokenArrived(2, 2, { 12, " become" }, clock.now());
    driver.tokenArrived(2, 3, { 13, " one" }, clock.now());

    for (const auto& token : driver.generation().tokens())
        std::cout << token.text;
    std::cout << "\n";
    return 0;
}
