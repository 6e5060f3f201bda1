#include "placement/EnginePaces.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <utility>
#include <xxhash.h>

namespace lupinknot::internal {

namespace {

// A run whose engine was busy with prompts all the time shows an interval of up to 4.6 times the usual one; no engine
// differs as much by itself.
constexpr double lowestPace = 0.25;
constexpr double highestPace = 4;
// An interval above this is not a pace: a stream with such pauses has missed its longest pause many times.
constexpr double highestInterval = 60'000;
// A published interval is based on several samples, so that one run of this VM does not outweigh it.
constexpr int samplesOfPublished = 3;
constexpr double median = 0.5;

bool isInterval(double interval) { return std::isfinite(interval) && interval > 0 && interval <= highestInterval; }

bool differs(double pace, double known) { return std::abs(pace - known) > EnginePaces::minChange * known; }

} // namespace

void EnginePaces::Engine::add(double interval, Milliseconds at)
{
    samples[next] = static_cast<float>(interval);
    next = static_cast<std::uint8_t>((next + 1) % maxSamples);
    count = static_cast<std::uint8_t>(std::min<std::size_t>(count + 1U, maxSamples));
    newestAt = std::max(newestAt, at);
}

double EnginePaces::Engine::median() const
{
    auto sorted = samples;
    const auto end = sorted.begin() + count;
    const auto middle = sorted.begin() + (count - 1) / 2;
    std::nth_element(sorted.begin(), middle, end);
    return *middle;
}

std::uint64_t EnginePaces::keyOf(std::string_view service, std::string_view host, std::int64_t port)
{
    const auto seed = XXH64(service.data(), service.size(), static_cast<std::uint64_t>(port));
    return XXH64(host.data(), host.size(), seed);
}

EnginePaces::ServiceEntry* EnginePaces::serviceFor(const std::string& name)
{
    const auto known = m_services.find(name);
    if (known != m_services.end())
        return &*known;
    return m_services.size() < maxServices ? &*m_services.try_emplace(name).first : nullptr;
}

EnginePaces::Engine* EnginePaces::engineFor(const EnginePaceSample& sample)
{
    const auto colon = sample.address.rfind(':');
    std::int64_t port = 0;
    if (colon == std::string::npos)
        return nullptr;
    const auto* const end = sample.address.data() + sample.address.size();
    const auto parsed = std::from_chars(sample.address.data() + colon + 1, end, port);
    auto* const service = serviceFor(sample.service);
    if (parsed.ec != std::errc() || parsed.ptr != end || !service)
        return nullptr;
    const auto key = keyOf(sample.service, std::string_view(sample.address).substr(0, colon), port);
    if (const auto known = m_engines.find(key); known != m_engines.end())
        return &known->second;
    if (m_engines.size() >= maxEngines)
        dropOldest();
    auto& engine = m_engines[key];
    engine.service = service;
    engine.address = sample.address;
    return &engine;
}

// Drops a sixteenth, so that the search for the oldest is rare.
void EnginePaces::dropOldest()
{
    constexpr std::size_t droppedShare = 16;
    std::vector<Milliseconds> times;
    times.reserve(m_engines.size());
    for (const auto& [key, engine] : m_engines)
        times.push_back(engine.newestAt);
    const auto position = times.begin() + static_cast<std::ptrdiff_t>(times.size() / droppedShare);
    std::nth_element(times.begin(), position, times.end());
    auto left = times.size() / droppedShare + 1;
    std::erase_if(m_engines, [limit = *position, &left](const auto& entry) {
        const bool isDropped = left > 0 && entry.second.newestAt <= limit;
        left -= isDropped ? 1 : 0;
        return isDropped;
    });
}

double EnginePaces::decayed(double interval, double usual, Milliseconds age)
{
    const auto weight = std::exp(
        -static_cast<double>(std::max(age, Milliseconds { 0 }).count()) / static_cast<double>(decayTime.count()));
    return 1 + (std::clamp(interval / usual, lowestPace, highestPace) - 1) * weight;
}

double EnginePaces::usualIntervalOf(const Service& service, Milliseconds now)
{
    // A collector uses what it gathers itself: two collectors that followed each other would never change the value.
    if (service.reportedIntervals.isKnown() && now - service.reportedIntervals.newestAt() <= decayTime)
        return service.reportedIntervals.quantile(median);
    // A collector that no longer publishes is followed for a limited time only.
    if (service.publishedInterval > 0 && now - service.publishedAt <= decayTime)
        return service.publishedInterval;
    return service.ownIntervals.isKnown() ? service.ownIntervals.quantile(median) : 0;
}

std::optional<double> EnginePaces::usualInterval(const std::string& service, Milliseconds now) const
{
    const auto known = m_services.find(service);
    const auto usual = known == m_services.end() ? 0 : usualIntervalOf(known->second, now);
    return usual > 0 ? std::optional(usual) : std::nullopt;
}

std::optional<double> EnginePaces::ownUsualInterval(const std::string& service) const
{
    const auto known = m_services.find(service);
    if (known == m_services.end() || !known->second.ownIntervals.isKnown())
        return std::nullopt;
    return known->second.ownIntervals.quantile(median);
}

double EnginePaces::paceOf(const std::string& service, const SocketAddress& address, Milliseconds now) const
{
    const auto engine = m_engines.find(keyOf(service, address.host, address.port));
    if (engine == m_engines.end() || engine->second.count == 0)
        return 1;
    const auto usual = usualIntervalOf(engine->second.service->second, now);
    return usual > 0 ? decayed(engine->second.median(), usual, now - engine->second.newestAt) : 1;
}

bool EnginePaces::knows(const std::string& service, const SocketAddress& address) const
{
    return m_engines.count(keyOf(service, address.host, address.port)) > 0;
}

void EnginePaces::noteRun(const std::string& service, const SocketAddress& address, double interval, Milliseconds now)
{
    if (!isInterval(interval))
        return;
    EnginePaceSample sample { service, address.text(), interval, now };
    auto* const engine = engineFor(sample);
    if (!engine)
        return;
    const auto known = paceOf(service, address, now);
    engine->add(interval, now);
    m_services.find(service)->second.ownIntervals.add(interval, now);
    const auto usual = usualInterval(service, now);
    // Until the service's interval is known, all samples are reported, from which the collector derives it.
    if ((!usual || differs(std::clamp(interval / *usual, lowestPace, highestPace), known))
        && m_unreported.size() < maxUnreported)
        m_unreported.push_back(std::move(sample));
}

std::vector<EnginePaceSample> EnginePaces::takeUnreported() { return std::exchange(m_unreported, {}); }

void EnginePaces::noteStatedPace(const std::string& service, double pace, Milliseconds now)
{
    if (auto* const entry = serviceFor(service))
        entry->second.statedPaces.add(pace, now);
}

double EnginePaces::relativeToService(const std::string& service, double statedPace) const
{
    const auto known = m_services.find(service);
    const auto usual = known == m_services.end() ? 1.0 : known->second.statedPaces.quantile(median);
    return std::clamp(statedPace / usual, lowestPace, highestPace);
}

void EnginePaces::addReported(const EnginePaceSample& sample, Milliseconds now)
{
    auto* const engine = isInterval(sample.interval) ? engineFor(sample) : nullptr;
    if (!engine)
        return;
    engine->add(sample.interval, std::min(sample.at, now));
    auto& reported = m_services.find(sample.service)->second.reportedIntervals;
    if (!reported.isKnown())
        reported.add(sample.interval, now);
    if (m_changed.size() < maxEngines && !std::exchange(engine->isChanged, true)) {
        const auto colon = sample.address.rfind(':');
        m_changed.push_back(keyOf(sample.service, std::string_view(sample.address).substr(0, colon),
            std::strtoll(sample.address.c_str() + colon + 1, nullptr, 10)));
    }
}

void EnginePaces::addReportedUsual(const std::string& service, double interval, Milliseconds now)
{
    auto* const entry = isInterval(interval) ? serviceFor(service) : nullptr;
    if (entry)
        entry->second.reportedIntervals.add(interval, now);
}

std::vector<EnginePaceSample> EnginePaces::takeChanges(std::size_t maxCount, Milliseconds now)
{
    std::vector<EnginePaceSample> changes;
    std::size_t examined = 0;
    for (; examined < m_changed.size() && changes.size() < maxCount; ++examined) {
        const auto found = m_engines.find(m_changed[examined]);
        if (found == m_engines.end())
            continue;
        auto& engine = found->second;
        engine.isChanged = false;
        const auto usual = usualIntervalOf(engine.service->second, now);
        if (usual <= 0)
            continue;
        const auto published
            = engine.publishedInterval > 0 ? decayed(engine.publishedInterval, usual, now - engine.publishedAt) : 1;
        const auto interval = engine.median();
        if (!differs(decayed(interval, usual, now - engine.newestAt), published))
            continue;
        engine.publishedInterval = static_cast<float>(interval);
        engine.publishedAt = engine.newestAt;
        changes.push_back({ engine.service->first, engine.address, interval, engine.newestAt });
    }
    m_changed.erase(m_changed.begin(), m_changed.begin() + static_cast<std::ptrdiff_t>(examined));
    return changes;
}

void EnginePaces::applyPublished(const EnginePaceSample& sample, Milliseconds now)
{
    auto* const engine = isInterval(sample.interval) ? engineFor(sample) : nullptr;
    const auto at = std::min(sample.at, now);
    if (!engine || (engine->count > 0 && at <= engine->newestAt))
        return;
    engine->count = 0;
    engine->next = 0;
    for (int i = 0; i < samplesOfPublished; ++i)
        engine->add(sample.interval, at);
}

void EnginePaces::applyPublishedUsual(const std::string& service, double interval, Milliseconds now)
{
    auto* const entry = isInterval(interval) ? serviceFor(service) : nullptr;
    if (!entry)
        return;
    entry->second.publishedInterval = interval;
    entry->second.publishedAt = now;
}

} // namespace lupinknot::internal
