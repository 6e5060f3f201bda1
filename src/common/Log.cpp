#include "common/Log.h"

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <iostream>

namespace lupinknot::internal {

namespace {

std::atomic<LogLevel> lowestLoggedLevel { LogLevel::Warning };

} // namespace

void initializeLog(LogLevel lowestLevel)
{
    namespace expr = boost::log::expressions;
    using Backend = boost::log::sinks::text_ostream_backend;

    lowestLoggedLevel = lowestLevel;
    const auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    backend->auto_flush(true);
    const auto sink = boost::make_shared<boost::log::sinks::synchronous_sink<Backend>>(backend);
    const auto time = expr::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f");
    sink->set_formatter(expr::stream << time << " " << expr::smessage);
    boost::log::core::get()->remove_all_sinks();
    boost::log::core::get()->add_sink(sink);
    boost::log::add_common_attributes();
}

void writeLog(LogLevel level, LogComponent part, const std::string& sentence)
{
    if (level < lowestLoggedLevel.load(std::memory_order_relaxed))
        return;
    thread_local boost::log::sources::logger logger;
    BOOST_LOG(logger) << nameIn(logLevelNames, level) << " " << nameIn(logComponentNames, part) << ": " << sentence;
}

} // namespace lupinknot::internal
