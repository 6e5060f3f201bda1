// The feeds of one table on all VMs of a zone, which share a store: real feeds, connections and timers in one process.
#pragma once

#include "PeerFeeds.h"
#include "RunUntil.h"
#include "StoreFeed.h"
#include "ZoneReaders.h"
#include "lupinknot/MonotonicClock.h"
#include "standin/StoreStandIn.h"
#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lupinknot::platform {

class FeedFleet {
public:
    static constexpr const char* table = "servers";

    // The first VMs by rank are listed but have ended.
    FeedFleet(std::size_t vmCount, unsigned seed, std::size_t endedCount = 0)
        : m_random(seed)
        , m_store(m_ioContext)
    {
        m_store.start();
        m_store.put(table, "key", "0");
        for (std::size_t i = 0; i < vmCount; ++i)
            m_vms.emplace_back(m_ioContext, m_store.port(), "vm" + std::to_string(1000 + i));
        std::vector<VmEntry> entries;
        for (std::size_t i = 0; i < endedCount; ++i)
            entries.push_back({ "ended" + std::to_string(i), "a", { "127.0.0.1", refusedPort } });
        for (const auto& vm : m_vms)
            entries.push_back({ vm.name, "a", { "127.0.0.1", vm.peers.port() } });
        for (auto& vm : m_vms) {
            vm.readers = std::make_unique<ZoneReaders>(m_clock, VmEntry { vm.name, "a", {} });
            std::vector<VmEntry> others;
            std::copy_if(entries.begin(), entries.end(), std::back_inserter(others),
                [&vm](const VmEntry& entry) { return entry.name != vm.name; });
            vm.readers->setOthers(others);
            startFeed(vm);
        }
    }

    StoreStandIn& store() { return m_store; }
    std::size_t size() const { return m_vms.size(); }
    // Each VM skips some of the others, so that the VMs disagree on who reads the store.
    void shuffleRanks()
    {
        for (auto& vm : m_vms) {
            for (std::size_t i = 0; i < std::min<std::size_t>(m_vms.size(), 6); ++i) {
                if (m_random() % 2)
                    vm.readers->skipReader(m_vms[i].name);
            }
        }
    }

    void runFor(Milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            m_ioContext.run_one_for(std::chrono::milliseconds { 5 });
            m_ioContext.restart();
        }
    }

    // The time until all VMs know the value, or nothing if it takes far too long.
    std::optional<Milliseconds> timeUntilKnown(const std::string& value)
    {
        const auto begin = std::chrono::steady_clock::now();
        const bool isKnown = internal::runUntil(m_ioContext, [&] {
            return std::all_of(m_vms.begin(), m_vms.end(), [&value](const Vm& vm) {
                const auto row = vm.rows.find("key");
                return row != vm.rows.end() && row->second == value;
            });
        });
        const auto time = std::chrono::steady_clock::now() - begin;
        return isKnown ? std::optional(std::chrono::duration_cast<Milliseconds>(time)) : std::nullopt;
    }

    // How long the store holds the calls of a reader, how old a reader's data may be, and the pauses, as in the product
    // for changes that have to apply within two seconds.
    static constexpr StoreFeed::Sharing sharing { { Milliseconds { 500 }, Milliseconds { 40 } }, Milliseconds { 300 },
        Milliseconds { 160 }, Milliseconds { 720 }, Milliseconds { 1000 } };

private:
    // Nothing listens at it.
    static constexpr std::int64_t refusedPort = 1;

    struct Vm {
        Vm(boost::asio::io_context& ioContext, std::int64_t storePort, std::string ownName)
            : name(std::move(ownName))
            , registry(ioContext, { "127.0.0.1", storePort }, { name, "a", { "127.0.0.1", 9 } }, {}, [](const auto&) {})
            , peers(ioContext, { "127.0.0.1", 0 }, registry)
        {
            peers.start();
        }

        const std::string name;
        std::map<std::string, std::string> rows;
        VmRegistry registry;
        PeerFeeds peers;
        std::unique_ptr<ZoneReaders> readers;
        std::shared_ptr<StoreFeed> feed;
    };

    void startFeed(Vm& vm)
    {
        StoreFeed::PollTiming timing { Milliseconds { 2500 }, Milliseconds { 40 } };
        timing.mayReadTableFromVm = true;
        vm.feed = StoreFeed::start(m_ioContext, m_clock, { "127.0.0.1", m_store.port() }, table, timing,
            { [&vm](const std::vector<StoreRow>& whole) {
                 vm.rows.clear();
                 for (const auto& row : whole)
                     vm.rows[row.key] = row.value;
             },
                [&vm](const std::vector<StoreRow>& changes) {
                    for (const auto& row : changes)
                        vm.rows[row.key] = row.value;
                } });
        vm.feed->follow(*vm.readers, sharing);
        vm.peers.add(vm.feed);
    }

    boost::asio::io_context m_ioContext;
    const MonotonicClock m_clock;
    std::mt19937 m_random;
    StoreStandIn m_store;
    std::deque<Vm> m_vms;
};

} // namespace lupinknot::platform
