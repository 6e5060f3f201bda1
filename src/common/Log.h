// The plain-text log of all programs: short sentences, each prefixed with the level and the component that writes it.
//
//     logInfo(LogPart::Route, "generation g1 attempt 2 is sent to e3: fewest in flight (1).");
//
// This writes `2026-01-02T03:04:05.678 info route: ...` to standard error.
#pragma once

#include "lupinknot/EnumNames.h"
#include <string>

namespace lupinknot::internal {

enum class LogPart {
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

inline constexpr std::array<EnumName<LogPart>, 13> logPartNames { {
    { LogPart::Daemon, "daemon" },
    { LogPart::Settings, "settings" },
    { LogPart::Listener, "listener" },
    { LogPart::Caller, "caller" },
    { LogPart::Route, "route" },
    { LogPart::Attempt, "attempt" },
    { LogPart::Service, "service" },
    { LogPart::Membership, "membership" },
    { LogPart::Platform, "platform" },
    { LogPart::Journal, "journal" },
    { LogPart::Authority, "authority" },
    { LogPart::StandIn, "stand-in" },
    { LogPart::Load, "load" },
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

// Sets up the log sink. Must be called once, before any thread is started. Lines below the level are dropped.
void initializeLog(LogLevel);

// Thread-safe.
void writeLog(LogLevel, LogPart, const std::string& message);

inline void logDebug(LogPart component, const std::string& message) { writeLog(LogLevel::Debug, component, message); }

inline void logInfo(LogPart component, const std::string& message) { writeLog(LogLevel::Info, component, message); }

inline void logWarning(LogPart component, const std::string& message)
{
    writeLog(LogLevel::Warning, component, message);
}

inline void logError(LogPart component, const std::string& message) { writeLog(LogLevel::Error, component, message); }

} // namespace lupinknot::internal
