#include "proxy/event_log.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <charconv>
#include <memory>

#include "daemon/clock.h"
#include "jasminelead/store_revision.h"

namespace jasminelead::proxy {
namespace {

// The log4cxx macros refer to this name.
namespace helpers = log4cxx::helpers;

// poll() reports a pipe as writable when it accepts this many bytes (PIPE_BUF) without blocking.
constexpr std::size_t write_bytes = 4096;
constexpr std::size_t max_buffered_bytes = std::size_t{256} * 1024;
// Lines above these rates are dropped and counted.
constexpr double success_lines_per_s = 100;
constexpr double refusal_lines_per_s = 100;
constexpr double line_burst_s = 2;

/// Buffers lines for standard output and never blocks on it.
class buffering_appender : public log4cxx::AppenderSkeleton {
public:
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY_CHAIN(log4cxx::AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool&) override {
        const auto& text = event->getMessage();
        if (m_buffer.size() + text.size() > max_buffered_bytes) {
            ++m_dropped;
            return;
        }
        m_buffer.append(text).push_back('\n');
        if (m_buffer.size() >= write_bytes) {
            flush();
        }
    }
    void close() override { flush(); }
    [[nodiscard]] bool requiresLayout() const override { return false; }

    void flush() {
        while (!m_buffer.empty() && output_is_ready()) {
            const std::size_t size = std::min(m_buffer.size(), write_bytes);
            const ssize_t written = ::write(STDOUT_FILENO, m_buffer.data(), size);
            if (written <= 0) {
                return;
            }
            m_buffer.erase(0, static_cast<std::size_t>(written));
        }
    }
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

private:
    static bool output_is_ready() {
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        return ::poll(&output, 1, 0) > 0 && (output.revents & POLLOUT) != 0;
    }

    std::string m_buffer;
    std::uint64_t m_dropped = 0;
};

/// Token bucket that limits the lines of one class.
class line_rate_limiter {
public:
    explicit line_rate_limiter(double lines_per_s)
        : m_rate{lines_per_s}, m_burst{lines_per_s * line_burst_s}, m_available{m_burst} {}

    bool try_take(instant now) {
        const double refill = (now - m_at).ms() / 1000 * m_rate;
        m_available = std::min(m_available + refill, m_burst);
        m_at = now;
        if (m_available < 1) {
            ++m_dropped;
            return false;
        }
        m_available -= 1;
        return true;
    }
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

private:
    double m_rate;
    double m_burst;
    double m_available;
    instant m_at;
    std::uint64_t m_dropped = 0;
};

std::shared_ptr<buffering_appender>& appender() {
    static auto only = std::make_shared<buffering_appender>();
    return only;
}

line_rate_limiter& success_rate_limiter() {
    static line_rate_limiter limiter{success_lines_per_s};
    return limiter;
}

line_rate_limiter& refusal_rate_limiter() {
    static line_rate_limiter limiter{refusal_lines_per_s};
    return limiter;
}

bool is_within_rate_limit(log_class kind) {
    if (kind == log_class::change) {
        return true;
    }
    line_rate_limiter& limiter =
        kind == log_class::success ? success_rate_limiter() : refusal_rate_limiter();
    return limiter.try_take(daemon::boot_now());
}

log4cxx::LoggerPtr logger() {
    static const auto only = log4cxx::Logger::getLogger("jasminelead");
    return only;
}

template <class Number>
void append_number(std::string& text, Number value) {
    std::array<char, 32> digits{};
    const auto [end, status] = std::to_chars(digits.data(), digits.data() + digits.size(), value);
    text.append(digits.data(), end);
}

}  // namespace

log_line::log_line(log_class kind, std::string_view event) : m_class{kind} {
    m_text.reserve(256);
    m_text.append("{\"at_ms\":");
    append_number(m_text, daemon::boot_now().since_start().us() / 1000);
    m_text.append(",\"event\":\"").append(event).append("\"");
}

log_line& log_line::with(std::string_view name, std::string_view value) {
    m_text.append(",\"").append(name).append("\":");
    m_text.append(boost::json::serialize(boost::json::string_view{value.data(), value.size()}));
    return *this;
}

log_line& log_line::with(std::string_view name, std::int64_t value) {
    m_text.append(",\"").append(name).append("\":");
    append_number(m_text, value);
    return *this;
}

log_line& log_line::with(std::string_view name, std::uint64_t value) {
    m_text.append(",\"").append(name).append("\":");
    append_number(m_text, value);
    return *this;
}

log_line& log_line::with_revision(std::string_view name, revision_number value) {
    if (era_of(value) != 0) {
        with("era", era_of(value));
    }
    return with(name, revision_within_era(value));
}

log_line& log_line::with(std::string_view name, duration value) {
    m_text.append(",\"").append(name).append("\":");
    append_number(m_text, value.us() / 1000);
    return *this;
}

void log_line::write() {
    if (!is_within_rate_limit(m_class)) {
        return;
    }
    m_text.push_back('}');
    logger()->info(m_text);
}

void start_log(std::string_view level) {
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender());
    set_log_level(level);
}

void set_log_level(std::string_view level) {
    logger()->setLevel(log4cxx::Level::toLevel(std::string{level}));
}

void flush_log() {
    appender()->flush();
}

std::uint64_t dropped_lines() {
    return appender()->dropped() + success_rate_limiter().dropped() +
           refusal_rate_limiter().dropped();
}

}  // namespace jasminelead::proxy
