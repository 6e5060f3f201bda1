#include "relay/EarlierRunSearch.h"

#include "relay/EndpointDirectory.h"
#include "relay/Policy.h"
#include "relay/RelayContext.h"
#include "relay/RelayRequest.h"
#include "relay/RelaySettings.h"

#include <utility>

namespace lupinknot::internal {

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
        decide({});
        return;
    }
    m_context.runLocations->find(runKeyOf(m_request), [weak = weak_from_this()](RunLocationResult result) {
        const auto self = weak.lock();
        if (!self)
            return;
        if (result.location && !self->isOfThisStream(*result.location))
            result.location.reset();
        self->decide(result);
    });
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
    auto& directory = m_context.directory;
    const auto decision = decideVersion({ .noted = result.location ? result.location->version : std::nullopt,
        .only = directory.versions().onlyVersion(m_request.service, now),
        .isSearchComplete = result.isComplete,
        .isHistoryKnown = directory.versions().isHistoryKnown(now),
        .searchedFor = now - m_startedAt,
        .searchTime = m_context.settings.versionSearchTime });
    if (decision.source == VersionSource::SearchAgain) {
        searchLater();
        return;
    }
    if (const auto callback = std::exchange(m_callback, nullptr))
        callback({ result.location, decision });
}

void EarlierRunSearch::searchLater()
{
    m_timer.expires_after(m_context.settings.versionSearchInterval);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->search();
    });
}

} // namespace lupinknot::internal
