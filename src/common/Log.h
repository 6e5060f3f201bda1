// The log of all our programs: short sentences, each with the fixed prefix of the part that says it.
//
//     logInfo(LogComponent::Route, "generation g1 attempt 2 goes to e3: fewest in flight (1).");
//
// A line reads `2026-01-02T03:04:05.678 info route: ...` and goes to standard error.
#pragma once

#include "lupinknot/EnumNames.h"
#include <string>

namespace lupinknot::internal {

enum class LogComponent {
    Daemon,
    Settings,
    Listener,
    Caller,
    Route,
    Attempt,
    Service,
    Membership,
    Platform,
    Journal,
    Authority,
    StandIn,
    Load,
};

inline constexpr std::array<EnumName<LogComponent>, 13> logComponentNames { {
    { LogComponent::Daemon, "daemon" },
    { LogComponent::Settings, "settings" },
    { LogComponent::Listener, "listener" },
    { LogComponent::Caller, "caller" },
    { LogComponent::Route, "route" },
    { LogComponent::Attempt, "attempt" },
    { LogComponent::Service, "service" },
    { LogComponent::Membership, "membership" },
    { LogComponent::Platform, "platform" },
    { LogComponent::Journal, "journal" },
    { LogComponent::Authority, "authority" },
    { LogComponent::StandIn, "stand-in" },
    { LogComponent::Load, "load" },
} };

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

inline constexpr std::array<EnumName<LogLevel>, 4> logLevelNames { {
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
} };

// Sets up the sink; call it once, before any thread is started. Lines below the level are dropped.
void initializeLog(LogLevel);

// Thread-safe.
void writeLog(LogLevel, LogComponent, const std::string& sentence);

inline void logDebug(LogComponent part, const std::string& sentence) { writeLog(LogLevel::Debug, part, sentence); }

inline void logInfo(LogComponent part, const std::string& sentence) { writeLog(LogLevel::Info, part, sentence); }

inline void logWarning(LogComponent part, const std::string& sentence) { writeLog(LogLevel::Warning, part, sentence); }

inline void logError(LogComponent part, const std::string& sentence) { writeLog(LogLevel::Error, part, sentence); }

} // namespace lupinknot::internal
