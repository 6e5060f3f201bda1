#include "common/EventLog.h"

#include <array>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <chrono>
#include <condition_variable>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>

namespace lupinknot::internal {

namespace {

namespace sinks = boost::log::sinks;
using Backend = sinks::text_ostream_backend;
// Lines that may wait for the writer thread; about one megabyte at the usual line length.
constexpr std::size_t queueLength = 4096;
using Sink = sinks::asynchronous_sink<Backend, sinks::bounded_fifo_queue<queueLength, sinks::drop_on_overflow>>;

// For routine and notable lines. A VM receives about 5 requests per second and writes about two routine lines for each.
constexpr std::array<std::int64_t, 2> linesPerSecond { 200, 400 };
constexpr std::chrono::milliseconds maxFlushTime { 200 };
constexpr std::int64_t millisecondsInSecond = 1000;

// The log of this process.
struct EventLogState {
    std::mutex mutex;
    std::string vmName;
    std::int64_t second { 0 };
    std::array<std::int64_t, 2> written {};
    std::array<std::int64_t, 2> dropped {};
    boost::shared_ptr<Sink> sink;
    std::unique_ptr<boost::log::sources::logger> logger;
};

std::atomic<bool> isStarted { false };

EventLogState& state()
{
    // Never destroyed, because threads that outlive static objects may still log.
    static auto* const only = new EventLogState;
    return *only;
}

std::int64_t wallMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::int64_t steadySecond()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

void appendEscaped(std::string& line, std::string_view value)
{
    for (const auto character : value) {
        const auto code = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\')
            line.append(1, '\\').append(1, character);
        else if (code < 0x20 || code >= 0x7f)
            line.append("?");
        else
            line.append(1, character);
    }
}

void writeRecord(EventLogState& log, const std::string& line) { BOOST_LOG(*log.logger) << line; }

// At the start of a new second, resets the counts and logs how many lines were dropped before. Requires the lock.
void startNewSecond(EventLogState& log)
{
    const auto second = steadySecond();
    if (second == log.second)
        return;
    log.second = second;
    log.written = {};
    const auto [routine, notable] = log.dropped;
    if (routine + notable == 0)
        return;
    log.dropped = {};
    writeRecord(log,
        "{\"time_ms\":" + std::to_string(wallMilliseconds()) + ",\"vm\":\"" + log.vmName
            + "\",\"event\":\"log.dropped\",\"routine\":" + std::to_string(routine)
            + ",\"notable\":" + std::to_string(notable) + "}");
}

} // namespace

void startEventLog(const std::string& vmName)
{
    auto& log = state();
    const std::lock_guard lock(log.mutex);
    appendEscaped(log.vmName, vmName);
    const auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    log.sink = boost::make_shared<Sink>(backend);
    log.sink->set_formatter([](const boost::log::record_view& record, boost::log::formatting_ostream& stream) {
        if (const auto message = record.attribute_values()["Message"].extract<std::string>())
            stream << message.get();
    });
    boost::log::core::get()->remove_all_sinks();
    boost::log::core::get()->add_sink(log.sink);
    log.logger = std::make_unique<boost::log::sources::logger>();
    isStarted = true;
}

void stopEventLog()
{
    if (!isStarted.exchange(false))
        return;
    // The flush may block on a reader that does not read, so the wait is bounded and the flushing thread detached.
    struct Done {
        std::mutex mutex;
        std::condition_variable condition;
        bool isDone { false };
    };
    const auto done = std::make_shared<Done>();
    std::thread([done, sink = state().sink] {
        sink->flush();
        const std::lock_guard lock(done->mutex);
        done->isDone = true;
        done->condition.notify_all();
    }).detach();
    std::unique_lock lock(done->mutex);
    done->condition.wait_for(lock, maxFlushTime, [&done] { return done->isDone; });
}

LogEvent::LogEvent(std::string_view name, LogImportance importance)
    : m_importance(importance)
    , m_isEnabled(isStarted.load(std::memory_order_relaxed))
{
    if (!m_isEnabled)
        return;
    m_line.reserve(256);
    m_line.append("{\"time_ms\":").append(std::to_string(wallMilliseconds()));
    text("vm", state().vmName);
    text("event", name);
}

LogEvent& LogEvent::text(std::string_view field, std::string_view value)
{
    if (!m_isEnabled)
        return *this;
    beginField(field);
    m_line.append("\"");
    appendEscaped(m_line, value);
    m_line.append("\"");
    return *this;
}

LogEvent& LogEvent::number(std::string_view field, std::int64_t value)
{
    if (!m_isEnabled)
        return *this;
    beginField(field);
    m_line.append(std::to_string(value));
    return *this;
}

LogEvent& LogEvent::flag(std::string_view field, bool value)
{
    if (!m_isEnabled)
        return *this;
    beginField(field);
    m_line.append(value ? "true" : "false");
    return *this;
}

void LogEvent::beginField(std::string_view field) { m_line.append(",\"").append(field).append("\":"); }

void LogEvent::write()
{
    if (!m_isEnabled)
        return;
    m_line.append("}");
    auto& log = state();
    const std::lock_guard lock(log.mutex);
    startNewSecond(log);
    const auto kind = static_cast<std::size_t>(m_importance);
    if (log.written[kind] >= linesPerSecond[kind]) {
        ++log.dropped[kind];
        return;
    }
    ++log.written[kind];
    writeRecord(log, m_line);
}

} // namespace lupinknot::internal
