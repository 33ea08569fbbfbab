#pragma once

#include <string_view>

/// Log lines are for changes of state; everything that repeats is a counter.
namespace jasminelead::daemon {

/// Sends log lines as JSON to standard error. `level` is debug, info, warn or error.
void start_log(std::string_view level);
void log_info(std::string_view text);
void log_warning(std::string_view text);

}  // namespace jasminelead::daemon
