#pragma once

#include <string_view>

/// The log is for state changes only; recurring events are counted in metrics instead.
namespace jasminelead::daemon {

/// Configures logging as JSON lines on standard error. `level` is debug, info, warn or error.
void start_log(std::string_view level);
void log_info(std::string_view text);
void log_warning(std::string_view text);

}  // namespace jasminelead::daemon
