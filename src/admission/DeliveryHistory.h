// The deliveries of one request to endpoints, each with its own outcome.
//
// An outcome is recorded for a delivery, never for the request, so that evidence about one delivery cannot take back
// what is known of another.
//
//     const auto delivery = history.add();
//     history.noteConnection(delivery, connection.number());
//     ...
//     history.settle(delivery, DeliveryOutcome::NotRun);
//     if (history.possibleRuns() == 0) ...        // The request has run nowhere.
//
// Not thread-safe. Owned by the request's call.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lupinknot::internal {

enum class DeliveryOutcome {
    Open, // There is no outcome yet; the endpoint may run it.
    Unsent, // Nothing of it was sent.
    NotRun, // The endpoint has stated that it did not run it.
    MayHaveRun, // It has ended without such a statement.
};

class DeliveryHistory {
public:
    using Number = std::size_t;

    // Adds an open delivery.
    Number add();
    // The delivery is sent on the connection with this number.
    void noteConnection(Number, std::uint64_t connection);
    // Records the outcome of an open delivery. The first outcome stays.
    void settle(Number, DeliveryOutcome);
    // Number of deliveries that an endpoint may have run or may still run.
    unsigned possibleRuns() const;
    // Number of deliveries that may have reached an endpoint.
    unsigned possibleArrivals() const;
    // Numbers of the connections on which the request may have been sent.
    std::vector<std::uint64_t> connections() const;

private:
    struct Delivery {
        std::uint64_t connection { 0 };
        DeliveryOutcome outcome { DeliveryOutcome::Open };
    };

    std::vector<Delivery> m_deliveries;
};

} // namespace lupinknot::internal
