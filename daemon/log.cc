#include "log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>

#include <memory>
#include <string>

namespace jasminelead::daemon {
namespace {

log4cxx::LoggerPtr logger() {
    return log4cxx::Logger::getLogger("jasminelead");
}

}  // namespace

void start_log(std::string_view level) {
    const auto layout = std::make_shared<log4cxx::JSONLayout>();
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(log4cxx::Level::toLevel(std::string{level}));
}

void log_info(std::string_view text) {
    LOG4CXX_INFO(logger(), std::string{text});
}

void log_warning(std::string_view text) {
    LOG4CXX_WARN(logger(), std::string{text});
}

}  // namespace jasminelead::daemon
