#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "jasminelead/types.h"

/// Structured log lines on standard output: one JSON object a line.
namespace jasminelead::proxy {

/// `success` lines give way first when too much is logged, then `refusal` lines; `change` lines
/// only when the output is blocked.
enum class log_class { success, refusal, change };

/// One line under construction.
class log_line {
public:
    log_line(log_class kind, std::string_view event);

    log_line& with(std::string_view name, std::string_view value);
    log_line& with(std::string_view name, const char* value) {
        return with(name, std::string_view{value});
    }
    log_line& with(std::string_view name, std::int64_t value);
    log_line& with(std::string_view name, std::uint64_t value);
    log_line& with(std::string_view name, std::uint32_t value) {
        return with(name, std::uint64_t{value});
    }
    log_line& with(std::string_view name, duration value);
    template <class Tag>
    log_line& with(std::string_view name, const basic_id<Tag>& value) {
        return with(name, std::string_view{value.str()});
    }
    /// Hands the line over without waiting for the output.
    void write();

private:
    log_class m_class;
    std::string m_text;
};

/// Lines are kept in memory until `flush_log`. `level` is a name of log4cxx.
void start_log(std::string_view level);
void set_log_level(std::string_view level);
/// Writes as much as the output takes without waiting.
void flush_log();
/// Lines that were given up because of the rate or a blocked output.
std::uint64_t dropped_lines();

}  // namespace jasminelead::proxy
