// The log of all our programs: short sentences, each with the fixed prefix of the part that says it.
//
//     logInfo(LogPart::Route, "generation g1 attempt 2 goes to e3: fewest in flight (1).");
//
// A line reads `2026-01-02T03:04:05.678 info route: ...` and goes to standard error.
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

// Sets up the sink; call it once, before any thread is started. Lines below the level are dropped.
void initializeLog(LogLevel);

// Thread-safe.
void writeLog(LogLevel, LogPart, const std::string& sentence);

inline void logDebug(LogPart part, const std::string& sentence) { writeLog(LogLevel::Debug, part, sentence); }

inline void logInfo(LogPart part, const std::string& sentence) { writeLog(LogLevel::Info, part, sentence); }

inline void logWarning(LogPart part, const std::string& sentence) { writeLog(LogLevel::Warning, part, sentence); }

inline void logError(LogPart part, const std::string& sentence) { writeLog(LogLevel::Error, part, sentence); }

} // namespace lupinknot::internal
