// The plain-text log of all programs: short sentences, each prefixed with the level and the component that writes it.
//
//     logInfo(LogComponent::Route, "generation g1 attempt 2 is sent to e3: fewest in flight (1).");
//
// This writes `2026-01-02T03:04:05.678 info route: ...` to standard error.
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

// Sets up the log sink. Must be called once, before any thread is started. Lines below the level are dropped.
void initializeLog(LogLevel);

// Thread-safe.
void writeLog(LogLevel, LogComponent, const std::string& message);

inline void logDebug(LogComponent component, const std::string& message)
{
    writeLog(LogLevel::Debug, component, message);
}

inline void logInfo(LogComponent component, const std::string& message)
{
    writeLog(LogLevel::Info, component, message);
}

inline void logWarning(LogComponent component, const std::string& message)
{
    writeLog(LogLevel::Warning, component, message);
}

inline void logError(LogComponent component, const std::string& message)
{
    writeLog(LogLevel::Error, component, message);
}

} // namespace lupinknot::internal
