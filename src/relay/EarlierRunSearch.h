// Finds the earlier run of a stream that its caller resumes, and the software version that began it.
//
//     m_search = EarlierRunSearch::start(context, request, [this](const EarlierRun& run) { ... });
//
// Searches again for a while if the version is not known and a VM or the store has not answered, or the list of
// endpoints is older than the caller's return (VersionSearch). Used on the relay's thread only. Owned by the stream's
// call; the callback is called once, possibly before start() returns, and not after the destruction of the search.
#pragma once

#include "lupinknot/Clock.h"
#include "relay/RunLocations.h"
#include "versions/VersionSearch.h"
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace lupinknot::internal {

struct RelayContext;
struct RelayRequest;

struct EarlierRun {
    std::optional<RunLocation> location;
    // The source is not SearchAgain.
    VersionDecision version;
};

class EarlierRunSearch : public std::enable_shared_from_this<EarlierRunSearch> {
public:
    using Callback = std::function<void(const EarlierRun&)>;

    // The context and the request must outlive the search.
    static std::shared_ptr<EarlierRunSearch> start(RelayContext&, const RelayRequest&, Callback);

private:
    EarlierRunSearch(RelayContext&, const RelayRequest&, Callback);
    void search();
    bool isOfThisStream(const RunLocation&) const;
    void handleResult(const RunLocationResult&);
    void decide(const RunLocationResult&);
    // Decides again with what is known by then, or searches again.
    void tryLater(const RunLocationResult&);

    RelayContext& m_context;
    const RelayRequest& m_request;
    // Empty after the call.
    Callback m_callback;
    const Milliseconds m_startedAt;
    // When the last search ended.
    Milliseconds m_answeredAt { 0 };
    boost::asio::steady_timer m_timer;
};

} // namespace lupinknot::internal
