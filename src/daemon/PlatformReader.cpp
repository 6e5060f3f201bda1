#include "daemon/PlatformReader.h"

#include "common/JsonText.h"
#include "common/Log.h"
#include "daemon/EndpointTable.h"
#include "http/HttpCallGroup.h"
#include "settings/DaemonSettings.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace lupinknot::internal {

namespace {

using nlohmann::json;

constexpr unsigned statusOk = 200;

// Parses `{"endpoints": [{"name": "e1", "state": "live"}, ...]}`. Returns nothing for any other input.
std::optional<std::vector<EndpointListingEntry>> parseListing(const std::string& text)
{
    const auto body = tryParseJson(text);
    if (!body.is_object() || !body.contains("endpoints") || !body["endpoints"].is_array())
        return std::nullopt;
    std::vector<EndpointListingEntry> entries;
    for (const auto& element : body["endpoints"]) {
        if (!element.is_object())
            return std::nullopt;
        const auto name = element.value("name", std::string {});
        const auto state = valueIn(endpointListingNames, element.value("state", std::string {}));
        if (name.empty() || !state)
            return std::nullopt;
        entries.push_back({ name, *state });
    }
    return entries;
}

} // namespace

PlatformReader::PlatformReader(const GenerationContext& context, EndpointTable& endpoints)
    : m_context(context)
    , m_endpoints(endpoints)
    , m_timer(context.ioContext)
{
}

void PlatformReader::start()
{
    const std::lock_guard lock(m_mutex);
    if (!m_context.settings.platform.address.empty())
        readList();
}

void PlatformReader::stop()
{
    const std::lock_guard lock(m_mutex);
    m_isStopped = true;
    m_timer.cancel();
    if (m_call)
        boost::asio::post(m_context.ioContext, [call = m_call] { call->cancel(); });
}

std::optional<Milliseconds> PlatformReader::age() const
{
    const std::lock_guard lock(m_mutex);
    if (!m_lastReadAt)
        return std::nullopt;
    return m_context.clock.now() - *m_lastReadAt;
}

void PlatformReader::headerArrived(unsigned status, const HttpHeaders&)
{
    const std::lock_guard lock(m_mutex);
    m_status = status;
    m_body.clear();
}

void PlatformReader::bodyArrived(std::string_view piece)
{
    const std::lock_guard lock(m_mutex);
    if (m_body.size() < maxListBytes)
        m_body.append(piece);
}

void PlatformReader::ended()
{
    const std::lock_guard lock(m_mutex);
    if (m_status == statusOk)
        applyList();
    else
        noteFailure("expected status 200; found " + std::to_string(m_status));
    scheduleNextRead();
}

void PlatformReader::failed(HttpCallFailure failure, const std::string&)
{
    const std::lock_guard lock(m_mutex);
    noteFailure(std::string(nameIn(httpCallFailureNames, failure)));
    scheduleNextRead();
}

void PlatformReader::readList()
{
    const auto& platform = m_context.settings.platform;
    const HttpRequest request { "GET", "/v1/endpoints", {}, {} };
    m_call = m_context.calls.start({ platform.address, platform.port }, request, platform.timeout, shared_from_this());
}

void PlatformReader::scheduleNextRead()
{
    if (m_isStopped)
        return;
    m_timer.expires_after(m_context.settings.platform.pollInterval);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!self || error)
            return;
        const std::lock_guard lock(self->m_mutex);
        if (!self->m_isStopped)
            self->readList();
    });
}

void PlatformReader::applyList()
{
    const auto entries = parseListing(m_body);
    if (!entries) {
        noteFailure("expected a JSON object with the list endpoints, each entry with name and state");
        return;
    }
    m_endpoints.applyListing(*entries);
    m_lastReadAt = m_context.clock.now();
    if (m_isFailing)
        logInfo(LogComponent::Platform, "the platform's list can be read again.");
    m_isFailing = false;
}

void PlatformReader::noteFailure(const std::string& reason)
{
    if (!m_isFailing && !m_isStopped)
        logWarning(LogComponent::Platform,
            "the platform's list cannot be read (" + reason + "); the last list remains in use.");
    m_isFailing = true;
}

} // namespace lupinknot::internal
