#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "jasminelead/types.h"

/// Structured log on standard output: one JSON object per line.
namespace jasminelead::proxy {

/// Classes of log lines. `success` and `refusal` lines are rate limited, each class by itself;
/// `change` lines are dropped only when the output is blocked.
enum class log_class { success, refusal, change };

/// Builds one log line.
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
    /// Writes the revision as the store itself counts it, and its era as `era` unless it is 0.
    log_line& with_revision(std::string_view name, revision_number value);
    template <class Tag>
    log_line& with(std::string_view name, const basic_id<Tag>& value) {
        return with(name, std::string_view{value.str()});
    }
    /// Queues the line; does not wait for the output.
    void write();

private:
    log_class m_class;
    std::string m_text;
};

/// Starts to collect lines in memory until `flush_log`. `level` is the name of a log4cxx level.
void start_log(std::string_view level);
void set_log_level(std::string_view level);
/// Writes as many buffered bytes as the output accepts without blocking.
void flush_log();
/// Number of lines that were dropped because of the rate limits or a blocked output.
std::uint64_t dropped_lines();

}  // namespace jasminelead::proxy
