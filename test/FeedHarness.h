// Test harness for StoreFeed: a feed that collects its rows, and a VM that reads the store's changes through a zone
// reader.
#pragma once

#include "PeerFeeds.h"
#include "StoreFeed.h"
#include "ZoneReaders.h"
#include "lupinknot/ManualClock.h"
#include "standin/StoreStandIn.h"
#include <map>
#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

namespace lupinknot::platform {

// A feed, and the rows that it has reported.
struct RecordingFeed {
    // Advances only when the test advances it.
    ManualClock clock;
    std::map<std::string, std::string> rows;
    int snapshots { 0 };
    std::shared_ptr<StoreFeed> feed;

    RecordingFeed() { clock.advance(Milliseconds { 1 }); }

    void follow(boost::asio::io_context& ioContext, std::int64_t port, const std::string& table,
        Milliseconds maxWait = Milliseconds { 40 }, std::shared_ptr<StoreEra> era = nullptr)
    {
        const StoreFeed::PollTiming timing { maxWait, Milliseconds { 1 } };
        feed = StoreFeed::start(ioContext, clock, { "127.0.0.1", port }, table, timing,
            { [this](const std::vector<StoreRow>& whole) {
                 ++snapshots;
                 rows.clear();
                 for (const auto& row : whole)
                     rows[row.key] = row.value;
             },
                [this](const std::vector<StoreRow>& changes) {
                    for (const auto& row : changes) {
                        if (row.isRemoved)
                            rows.erase(row.key);
                        else
                            rows[row.key] = row.value;
                    }
                } },
            std::move(era));
    }
};

inline constexpr Milliseconds readerWait { 50 };

// A zone reader and one follower, each with a store of its own, so that the follower can see changes in the reader's
// store only through the reader. Both stores start with the same row.
struct ReaderAndFollower {
    explicit ReaderAndFollower(boost::asio::io_context& ioContext, Milliseconds maxReaderWait = readerWait,
        Milliseconds maxFollowerWait = Milliseconds { 40 })
        : readerStore(startedStore(ioContext))
        , followerStore(startedStore(ioContext))
        , vms(ioContext, { "127.0.0.1", readerStore->port() }, { "vm1", "a", { "127.0.0.1", 9 } }, {},
              [](const auto&) {})
        , feeds(ioContext, { "127.0.0.1", 0 }, vms)
        , noReaders(reader.clock, { "vm1", "a", {} })
        , readers(follower.clock, { "vm6", "a", {} })
    {
        reader.follow(ioContext, readerStore->port(), "servers", maxReaderWait);
        reader.feed->follow(noReaders, sharing);
        feeds.add(reader.feed);
        CHECK_FALSE(feeds.start().has_value());
        follower.follow(ioContext, followerStore->port(), "servers", maxFollowerWait);
        setReader({ "127.0.0.1", feeds.port() });
        follower.feed->follow(readers, sharing);
    }

    static std::unique_ptr<StoreStandIn> startedStore(boost::asio::io_context& ioContext)
    {
        auto store = std::make_unique<StoreStandIn>(ioContext);
        store->start();
        store->put("servers", "a", "1");
        return store;
    }

    // Sets the address of the zone's first VM by rank, and that of the second one if it is to be reachable.
    void setReader(const internal::SocketAddress& address, const internal::SocketAddress& second = {})
    {
        readers.setOthers({ { "vm1", "a", address }, { "vm2", "a", second }, { "vm3", "a", {} }, { "vm4", "a", {} },
            { "vm5", "a", {} } });
    }

    bool haveBothRead() { return follower.rows["a"] == "1" && reader.rows["a"] == "1"; }

    // The two stores stand for one store: rows of the follower's store must be newer than those that the reader has
    // seen.
    void putNewerIntoFollowerStore(const std::string& key, const std::string& value)
    {
        while (followerStore->version() < readerStore->version())
            followerStore->put("op", "config", "1");
        followerStore->put("servers", key, value);
    }

    static constexpr StoreFeed::Sharing sharing { { readerWait, Milliseconds { 1 } }, readerWait, Milliseconds { 2000 },
        Milliseconds { 1000 }, Milliseconds { 1200 } };
    RecordingFeed reader;
    RecordingFeed follower;
    std::unique_ptr<StoreStandIn> readerStore;
    std::unique_ptr<StoreStandIn> followerStore;
    VmRegistry vms;
    PeerFeeds feeds;
    ZoneReaders noReaders;
    ZoneReaders readers;
};

} // namespace lupinknot::platform
