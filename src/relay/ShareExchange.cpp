#include "relay/ShareExchange.h"

#include "admission/RequestRank.h"
#include "common/EventLog.h"
#include "common/JsonText.h"
#include "health/ZoneExchange.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace lupinknot::internal {

namespace {

using nlohmann::json;

constexpr std::string_view topic = "shares";
constexpr double minChange = 0.1;
constexpr unsigned roundsBetweenFullMessages = 5;
// A VM to which others report is a collector; it stays one for as many reports.
constexpr int collectorReports = 3;
constexpr std::int64_t millisecondsInSecond = 1000;
constexpr std::size_t maxNameLength = 200;
constexpr double maxTokens = 1e12;
constexpr std::size_t maxInvalidSenders = 64;

// The counts of a message; nothing when any of it is invalid.
std::optional<std::vector<ShareCount>> decodeCounts(const json& body)
{
    const auto rows = body.find("work");
    if (rows == body.end() || !rows->is_array() || rows->size() > OrganisationShares::maxOrganisations)
        return std::nullopt;
    std::vector<ShareCount> counts;
    counts.reserve(rows->size());
    for (const auto& row : *rows) {
        if (!row.is_array() || row.size() < 4 || !row[0].is_string() || !row[1].is_number_unsigned()
            || !row[2].is_string() || !row[3].is_number())
            return std::nullopt;
        ShareCount count { { row[0], row[1], row[2] }, row[3] };
        const bool isValid = row[1].get<std::uint64_t>() <= leastUrgentRank && count.tokens >= 0
            && count.tokens <= maxTokens && count.key.service.size() <= maxNameLength
            && count.key.organisation.size() <= maxNameLength;
        if (!isValid)
            return std::nullopt;
        counts.push_back(std::move(count));
    }
    return counts;
}

std::string textIn(const json& body, const char* name)
{
    const auto found = body.is_object() ? body.find(name) : body.end();
    return found != body.end() && found->is_string() ? found->get<std::string>().substr(0, maxNameLength) : "";
}

} // namespace

ShareExchange::ShareExchange(OrganisationShares& shares, const Clock& clock, std::string vmName, std::string zone)
    : m_shares(shares)
    , m_clock(clock)
    , m_vmName(std::move(vmName))
    , m_zone(std::move(zone))
{
}

void ShareExchange::connect(ZoneExchange* exchange)
{
    m_exchange = exchange;
    if (!exchange)
        return;
    exchange->onReport(topic, [this](const std::string& body) { applyReport(body); });
    exchange->onNews(topic, [this](const std::string& body) { applyNews(body); });
}

void ShareExchange::setZoneVmCount(std::size_t count) { m_zoneVmCount = std::max<std::size_t>(count, 1); }

Milliseconds ShareExchange::messageInterval() const
{
    const auto bytes = static_cast<std::int64_t>(m_zoneVmCount * minCountBytes);
    const Milliseconds needed { bytes * millisecondsInSecond / static_cast<std::int64_t>(bytesPerSecond) };
    return std::max(needed, interval);
}

std::size_t ShareExchange::messageBytes() const
{
    return std::clamp(bytesPerSecond / m_zoneVmCount, minCountBytes, maxCountBytes);
}

void ShareExchange::tick(Milliseconds now)
{
    if (!m_exchange || (m_sentAt && now - *m_sentAt < messageInterval()))
        return;
    m_sentAt = now;
    if (++m_rounds % roundsBetweenFullMessages == 0) {
        m_reported.clear();
        m_published.clear();
    }
    if (auto body = encodeChanges(m_shares.ownCounts(now), m_reported, now); !body.empty())
        m_exchange->report(topic, std::move(body));
    if (m_lastReportAt && now - *m_lastReportAt < collectorReports * messageInterval())
        publishSums(now);
    else
        m_collected.clear(), m_collectedCount = 0;
}

std::string ShareExchange::encodeChanges(std::vector<ShareCount> counts, Counts& sent, Milliseconds now) const
{
    const auto change = [&](const ShareCount& count) {
        const auto last = sent.find(count.key);
        return std::abs(count.tokens - (last == sent.end() ? 0 : last->second.at(now)));
    };
    counts.erase(std::remove_if(counts.begin(), counts.end(),
                     [&](const ShareCount& count) {
                         return count.tokens < OrganisationShares::minActiveTokens
                             || change(count) <= minChange * count.tokens;
                     }),
        counts.end());
    std::sort(
        counts.begin(), counts.end(), [&](const ShareCount& a, const ShareCount& b) { return change(a) > change(b); });
    auto rows = json::array();
    std::size_t bytes = 0;
    for (const auto& count : counts) {
        json row { count.key.service, count.key.rank, count.key.organisation, std::llround(count.tokens) };
        bytes += row.dump(-1, ' ', false, json::error_handler_t::replace).size() + 1;
        if (bytes > messageBytes())
            break;
        rows.push_back(std::move(row));
        sent[count.key].set(count.tokens, now);
    }
    if (rows.empty())
        return {};
    return json { { "vm", m_vmName }, { "zone", m_zone }, { "work", std::move(rows) } }.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

void ShareExchange::applyReport(const std::string& body)
{
    const auto now = m_clock.now();
    const auto object = tryParseJson(body);
    const auto sender = textIn(object, "vm");
    const auto counts = object.is_object() ? decodeCounts(object) : std::nullopt;
    if (!counts || sender.empty()) {
        logInvalid(sender);
        return;
    }
    m_lastReportAt = now;
    // Its own counts are added from OrganisationShares, whether or not it receives its own reports.
    if (sender == m_vmName)
        return;
    auto& collected = m_collected[sender];
    for (const auto& count : *counts) {
        if (m_collectedCount >= maxCollected && !collected.contains(count.key))
            continue;
        const auto before = collected.size();
        collected[count.key].set(count.tokens, now);
        m_collectedCount += collected.size() - before;
    }
}

void ShareExchange::publishSums(Milliseconds now)
{
    std::map<ShareKey, double> sums;
    for (const auto& count : m_shares.ownCounts(now))
        sums[count.key] += count.tokens;
    m_collectedCount = 0;
    for (auto vm = m_collected.begin(); vm != m_collected.end();) {
        std::erase_if(vm->second, [now](const auto& count) { return count.second.at(now) < 1; });
        for (const auto& [key, count] : vm->second)
            sums[key] += count.at(now);
        m_collectedCount += vm->second.size();
        vm = vm->second.empty() ? m_collected.erase(vm) : std::next(vm);
    }
    std::vector<ShareCount> counts;
    counts.reserve(sums.size());
    for (auto& [key, tokens] : sums)
        counts.push_back({ key, tokens });
    // More would evict each other.
    if (counts.size() > OrganisationShares::maxOrganisations) {
        const auto end = counts.begin() + OrganisationShares::maxOrganisations;
        std::nth_element(counts.begin(), end, counts.end(),
            [](const ShareCount& a, const ShareCount& b) { return a.tokens > b.tokens; });
        counts.erase(end, counts.end());
    }
    for (const auto& count : counts)
        m_shares.setZoneCount(count.key, count.tokens, now);
    if (auto body = encodeChanges(std::move(counts), m_published, now); !body.empty())
        m_exchange->publish(topic, std::move(body));
}

void ShareExchange::applyNews(const std::string& body)
{
    const auto object = tryParseJson(body);
    const auto counts = object.is_object() ? decodeCounts(object) : std::nullopt;
    if (!counts) {
        logInvalid(textIn(object, "vm"));
        return;
    }
    if (textIn(object, "zone") != m_zone)
        return;
    for (const auto& count : *counts)
        m_shares.setZoneCount(count.key, count.tokens, m_clock.now());
}

void ShareExchange::logInvalid(const std::string& sender)
{
    if (m_invalidSenders.size() < maxInvalidSenders && m_invalidSenders.insert(sender).second)
        LogEvent("shares.invalid").text("vm", sender).write();
}

} // namespace lupinknot::internal
