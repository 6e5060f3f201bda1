#include "relay/EarlierRunSearch.h"

#include "relay/EndpointDirectory.h"
#include "relay/Policy.h"
#include "relay/RelayContext.h"
#include "relay/RelayRequest.h"
#include "relay/RelaySettings.h"

#include <utility>

namespace lupinknot::internal {

namespace {

// The store sends the present list of endpoints within some milliseconds.
constexpr Milliseconds listInterval { 15 };

} // namespace

std::shared_ptr<EarlierRunSearch> EarlierRunSearch::start(
    RelayContext& context, const RelayRequest& request, Callback callback)
{
    std::shared_ptr<EarlierRunSearch> search(new EarlierRunSearch(context, request, std::move(callback)));
    search->search();
    return search;
}

EarlierRunSearch::EarlierRunSearch(RelayContext& context, const RelayRequest& request, Callback callback)
    : m_context(context)
    , m_request(request)
    , m_callback(std::move(callback))
    , m_startedAt(context.now())
    , m_timer(context.ioContext)
{
}

void EarlierRunSearch::search()
{
    if (!m_context.runLocations || !m_context.has(Policy::LocationHints)) {
        handleResult({});
        return;
    }
    m_context.runLocations->find(runKeyOf(m_request), [weak = weak_from_this()](RunLocationResult result) {
        const auto self = weak.lock();
        if (!self)
            return;
        if (result.location && !self->isOfThisStream(*result.location))
            result.location.reset();
        self->handleResult(result);
    });
}

void EarlierRunSearch::handleResult(const RunLocationResult& result)
{
    m_answeredAt = m_context.now();
    decide(result);
}

// Streams of one session may have the same prompt.
bool EarlierRunSearch::isOfThisStream(const RunLocation& location) const
{
    const auto& noted = location.streamId;
    return m_request.fields.resumedRequestId.empty()
        || (noted.empty() ? streamIdOf(m_request, location.requestId) : noted) == streamIdOf(m_request);
}

void EarlierRunSearch::decide(const RunLocationResult& result)
{
    const auto now = m_context.now();
    auto& versions = m_context.directory.versions();
    const auto noted = result.location ? result.location->version : std::nullopt;
    if (noted)
        versions.noteHeardOf(m_request.service, *noted, now);
    const auto only = versions.onlyVersion(m_request.service, now);
    const auto decision = decideVersion({ .noted = noted,
        .only = only,
        .isOnlyCurrent = versions.isKnownAsOf(m_startedAt),
        .isSearchComplete = result.isComplete,
        .isHistoryKnown = versions.isHistoryKnown(now),
        .searchedFor = now - m_startedAt,
        .searchTime = m_context.settings.versionSearchTime });
    if (decision.source == VersionSource::SearchAgain) {
        // With several versions, the present list would not tell which of them began the stream.
        if (only || !versions.isHistoryKnown(now))
            versions.requestUpdate();
        tryLater(result);
        return;
    }
    if (const auto callback = std::exchange(m_callback, nullptr))
        callback({ result.location, decision });
}

void EarlierRunSearch::tryLater(const RunLocationResult& result)
{
    const auto now = m_context.now();
    // The list of endpoints may be all that is missing, so it is looked at between two searches.
    const bool awaitsList = now - m_answeredAt < m_context.settings.versionSearchInterval;
    m_timer.expires_after(awaitsList ? listInterval : Milliseconds { 0 });
    m_timer.async_wait([weak = weak_from_this(), result, awaitsList](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        if (awaitsList)
            self->decide(result);
        else
            self->search();
    });
}

} // namespace lupinknot::internal
