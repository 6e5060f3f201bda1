// Decides at which software version a stream continues that its caller resumes.
//
// Load pattern: callers resume their streams at VMs that did not serve them, some tens of milliseconds after a VM was
// lost or all of them were. What is known of a stream may be on VMs that are lost too, or in a store that is slow or
// unreachable. Continuing at the wrong version corrupts the answer; a refusal costs the caller another attempt.
//
//     const auto decision = decideVersion(knowledge);
//
// A pure function; thread-safe.
#pragma once

#include "lupinknot/Clock.h"
#include "lupinknot/EnumNames.h"
#include <array>
#include <optional>
#include <string>

namespace lupinknot::internal {

// What a VM knows of the version that began a stream.
struct VersionKnowledge {
    // The version in the note of the stream's run.
    std::optional<std::string> noted;
    // The only version of the service that can have begun a stream that still runs.
    std::optional<std::string> only;
    // The only version is known as of the caller's return: no other one can have begun the stream since.
    bool isOnlyCurrent { true };
    // False when a VM or a store that may know the stream has not answered.
    bool isSearchComplete { true };
    // False until this VM knows which versions were listed before it started, or while it was cut off.
    bool isHistoryKnown { true };
    // How long the search has taken, and may take.
    Milliseconds searchedFor { 0 };
    Milliseconds searchTime { 0 };
};

enum class VersionSource {
    Note, // A VM noted the version when the stream began.
    OnlyVersion, // The service had no other version while the stream can have begun.
    SearchAgain, // Not known yet: a VM or the store has not answered, or the list of endpoints may be old.
    Unknown,
};

inline constexpr std::array<EnumName<VersionSource>, 4> versionSourceNames { {
    { VersionSource::Note, "note" },
    { VersionSource::OnlyVersion, "only-version" },
    { VersionSource::SearchAgain, "search-again" },
    { VersionSource::Unknown, "unknown" },
} };

struct VersionDecision {
    VersionSource source { VersionSource::Unknown };
    // Set when the source is Note or OnlyVersion.
    std::optional<std::string> version;
};

VersionDecision decideVersion(const VersionKnowledge&);

} // namespace lupinknot::internal
