// Streams that callers begin at one VM of a fleet and resume at another.
//
//     FleetStreams streams(fleet);
//     streams.begin(0, { "first1", "a1" });
//     CHECK(streams.haveEvents());
//     streams.resume(1);
//     CHECK(streams.areDecided());
//     LONGS_EQUAL(0, streams.count(StreamFate::OtherVersion));
#pragma once

#include "PartitionedFleet.h"

#include <algorithm>
#include <set>

namespace lupinknot::platform {

// How a caller names a stream.
struct StreamNames {
    std::string attemptId;
    std::string promptId;
    // The caller names the first attempt when it resumes the stream.
    bool namesFirstAttempt { true };
};

// What became of a stream that was resumed.
enum class StreamFate {
    Continued, // At the version that began it.
    OtherVersion, // It has events of two versions.
    Refused, // With a promise that the caller may try again.
    RefusedForGood, // As the stream of a version that is gone.
    BrokenOff,
};

class FleetStreams {
public:
    explicit FleetStreams(PartitionedFleet& fleet)
        : m_fleet(fleet)
    {
    }

    void begin(std::size_t vm, const StreamNames& names)
    {
        m_streams.push_back({ names, m_fleet.openStream(vm, names.attemptId, names.promptId), nullptr });
    }

    // Waits until each stream has events. Returns false on a timeout.
    bool haveEvents()
    {
        return m_fleet.runUntil([this] {
            return std::all_of(m_streams.begin(), m_streams.end(),
                [](const Stream& stream) { return lastEventOf(*stream.first) > 2; });
        });
    }

    // Resumes each stream at the VM, as its caller does after the loss of a connection.
    void resume(std::size_t vm)
    {
        ++m_attempts;
        for (auto& stream : m_streams) {
            internal::HttpHeaders headers { { "Last-Event-Id", std::to_string(lastEventOf(*stream.first)) } };
            if (stream.names.namesFirstAttempt)
                headers.add("Resumes", stream.names.attemptId);
            const auto attempt = stream.names.attemptId + "-" + std::to_string(m_attempts);
            stream.resumed = m_fleet.openStream(vm, attempt, stream.names.promptId, headers);
        }
    }

    // Waits until each resumed stream has events or has ended. Returns false on a timeout.
    bool areDecided()
    {
        return m_fleet.runUntil([this] {
            return std::all_of(m_streams.begin(), m_streams.end(), [](const Stream& stream) {
                const auto& caller = *stream.resumed;
                return caller.isWhole || caller.isBroken || lastEventOf(caller) > 0;
            });
        });
    }

    // Number of streams that this version began.
    std::size_t countBegunAt(const std::string& version) const
    {
        return static_cast<std::size_t>(std::count_if(m_streams.begin(), m_streams.end(),
            [&](const Stream& stream) { return versionsOf(*stream.first).count(version) > 0; }));
    }

    std::size_t count(StreamFate fate) const
    {
        return static_cast<std::size_t>(std::count_if(
            m_streams.begin(), m_streams.end(), [&](const Stream& stream) { return fateOf(stream) == fate; }));
    }

    // What became of the streams, for the message of a failed test.
    std::string text() const
    {
        std::string text;
        for (const auto& stream : m_streams) {
            text += stream.names.attemptId + ":";
            for (const auto& version : versionsOf(*stream.first))
                text += " " + version;
            const auto& last = stream.resumed ? stream.resumed : stream.first;
            text += " status " + std::to_string(last->head.status);
            if (stream.resumed)
                text += " fate " + std::to_string(static_cast<int>(fateOf(stream)));
            text += "\n";
        }
        return text;
    }

private:
    struct Stream {
        StreamNames names;
        std::shared_ptr<internal::TestCaller> first;
        std::shared_ptr<internal::TestCaller> resumed;
    };

    static std::uint64_t lastEventOf(const internal::TestCaller& caller)
    {
        const auto end = caller.body.rfind("\n\n");
        const auto begin = caller.body.rfind("id: ", end);
        return end == std::string::npos || begin == std::string::npos ? 0 : std::stoull(caller.body.substr(begin + 4));
    }

    std::set<std::string> versionsOf(const internal::TestCaller& caller) const
    {
        std::set<std::string> versions;
        const std::string mark = " by ";
        for (auto at = caller.body.find(mark); at != std::string::npos; at = caller.body.find(mark, at + 1)) {
            const auto end = caller.body.find('\n', at);
            if (end != std::string::npos)
                versions.insert(m_fleet.versionOf(caller.body.substr(at + mark.size(), end - at - mark.size())));
        }
        return versions;
    }

    StreamFate fateOf(const Stream& stream) const
    {
        const auto& resumed = *stream.resumed;
        auto versions = versionsOf(*stream.first);
        versions.merge(versionsOf(resumed));
        if (versions.size() > 1)
            return StreamFate::OtherVersion;
        if (lastEventOf(resumed) > 0)
            return StreamFate::Continued;
        if (resumed.head.status != 503)
            return StreamFate::BrokenOff;
        const bool isForGood = resumed.body.find("version-gone") != std::string::npos;
        return isForGood ? StreamFate::RefusedForGood : StreamFate::Refused;
    }

    PartitionedFleet& m_fleet;
    std::vector<Stream> m_streams;
    unsigned m_attempts { 0 };
};

} // namespace lupinknot::platform
