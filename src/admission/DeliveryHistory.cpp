#include "admission/DeliveryHistory.h"

#include <algorithm>

namespace lupinknot::internal {

DeliveryHistory::Number DeliveryHistory::add()
{
    m_deliveries.emplace_back();
    return m_deliveries.size() - 1;
}

void DeliveryHistory::noteConnection(Number number, std::uint64_t connection)
{
    m_deliveries[number].connection = connection;
}

void DeliveryHistory::settle(Number number, DeliveryOutcome outcome)
{
    auto& delivery = m_deliveries[number];
    if (delivery.outcome == DeliveryOutcome::Open)
        delivery.outcome = outcome;
}

unsigned DeliveryHistory::possibleRuns() const
{
    return static_cast<unsigned>(std::count_if(m_deliveries.begin(), m_deliveries.end(), [](const Delivery& delivery) {
        return delivery.outcome == DeliveryOutcome::Open || delivery.outcome == DeliveryOutcome::MayHaveRun;
    }));
}

unsigned DeliveryHistory::possibleArrivals() const
{
    return static_cast<unsigned>(std::count_if(m_deliveries.begin(), m_deliveries.end(),
        [](const Delivery& delivery) { return delivery.outcome != DeliveryOutcome::Unsent; }));
}

std::vector<std::uint64_t> DeliveryHistory::connections() const
{
    std::vector<std::uint64_t> numbers;
    numbers.reserve(m_deliveries.size());
    for (const auto& delivery : m_deliveries) {
        if (delivery.outcome != DeliveryOutcome::Unsent)
            numbers.push_back(delivery.connection);
    }
    return numbers;
}

} // namespace lupinknot::internal
