#pragma once

#include <algorithm>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

/// Time, identifiers and the states of endpoints and hosts.
namespace jasminelead {

/// A span of time in milliseconds, kept with microsecond resolution.
class duration {
public:
    constexpr duration() = default;
    static constexpr duration from_us(std::int64_t us) { return duration{us}; }
    static constexpr duration from_ms(double ms) {
        return duration{static_cast<std::int64_t>(ms * us_per_ms)};
    }
    static constexpr duration max() { return duration{INT64_MAX / 4}; }

    [[nodiscard]] constexpr std::int64_t us() const { return m_us; }
    [[nodiscard]] constexpr double ms() const { return static_cast<double>(m_us) / us_per_ms; }

    constexpr auto operator<=>(const duration&) const = default;
    constexpr duration operator+(duration other) const { return duration{m_us + other.m_us}; }
    constexpr duration operator-(duration other) const { return duration{m_us - other.m_us}; }
    constexpr duration operator*(double factor) const {
        return duration{static_cast<std::int64_t>(static_cast<double>(m_us) * factor)};
    }
    constexpr duration operator/(std::int64_t divisor) const { return duration{m_us / divisor}; }

private:
    static constexpr std::int64_t us_per_ms = 1000;
    constexpr explicit duration(std::int64_t us) : m_us{us} {}
    std::int64_t m_us = 0;
};

/// A point on one host's monotonic clock, which counts suspended time.
class instant {
public:
    constexpr instant() = default;
    static constexpr instant from_us(std::int64_t us) { return instant{duration::from_us(us)}; }
    static constexpr instant from_ms(double ms) { return instant{duration::from_ms(ms)}; }
    static constexpr instant max() { return instant{duration::max()}; }

    [[nodiscard]] constexpr duration since_start() const { return m_since_start; }
    [[nodiscard]] constexpr double ms() const { return m_since_start.ms(); }

    constexpr auto operator<=>(const instant&) const = default;
    constexpr instant operator+(duration d) const { return instant{m_since_start + d}; }
    constexpr instant operator-(duration d) const { return instant{m_since_start - d}; }
    constexpr duration operator-(instant other) const {
        return m_since_start - other.m_since_start;
    }

private:
    constexpr explicit instant(duration since_start) : m_since_start{since_start} {}
    duration m_since_start;
};

namespace literals {
constexpr duration operator""_ms(unsigned long long ms) {
    return duration::from_ms(static_cast<double>(ms));
}
constexpr duration operator""_ms(long double ms) {
    return duration::from_ms(static_cast<double>(ms));
}
constexpr duration operator""_s(unsigned long long s) {
    return duration::from_ms(static_cast<double>(s) * 1000);
}
}  // namespace literals

/// Strongly typed string identifier; identifiers of different kinds do not convert to each other.
template <class Tag>
class basic_id {
public:
    basic_id() = default;
    explicit basic_id(std::string value) : m_value{std::move(value)} {}
    explicit basic_id(std::string_view value) : m_value{value} {}
    explicit basic_id(const char* value) : m_value{value} {}

    [[nodiscard]] const std::string& str() const { return m_value; }
    [[nodiscard]] bool empty() const { return m_value.empty(); }
    auto operator<=>(const basic_id&) const = default;

private:
    std::string m_value;
};

using host_id = basic_id<struct host_tag>;
using data_centre_id = basic_id<struct data_centre_tag>;
using endpoint_id = basic_id<struct endpoint_tag>;
using group_id = basic_id<struct group_tag>;
using service_id = basic_id<struct service_tag>;
using account_id = basic_id<struct account_tag>;

using term_number = std::uint64_t;
using log_position = std::uint64_t;
using epoch_number = std::uint64_t;
using revision_number = std::uint64_t;
using incarnation_number = std::uint64_t;
using connection_id = std::uint64_t;
using request_id = std::uint64_t;

enum class endpoint_role { replica, primary };

constexpr std::string_view to_string(endpoint_role role) {
    return role == endpoint_role::primary ? "primary" : "replica";
}

/// Where an answer was read: the endpoint's term, the term of its last log record, and the
/// applied position of the snapshot.
struct position_stamp {
    term_number term = 0;
    term_number log_term = 0;
    log_position position = 0;
    endpoint_role role = endpoint_role::replica;
    auto operator<=>(const position_stamp&) const = default;
};

/// The position at which a term's log begins: the last position of the earlier terms.
struct term_start {
    term_number term = 0;
    log_position position = 0;
    auto operator<=>(const term_start&) const = default;
};

/// The starts of the last terms that an endpoint knows, oldest first.
class term_history {
public:
    static constexpr std::size_t capacity = 16;

    /// Appends a term; the oldest one is dropped when the history is full.
    void push(term_start start) {
        if (m_size == capacity) {
            std::move(m_starts.begin() + 1, m_starts.end(), m_starts.begin());
            --m_size;
        }
        m_starts[m_size++] = start;
    }
    [[nodiscard]] const term_start* begin() const { return m_starts.data(); }
    [[nodiscard]] const term_start* end() const { return m_starts.data() + m_size; }
    [[nodiscard]] std::size_t size() const { return m_size; }
    bool operator==(const term_history& other) const {
        return std::equal(begin(), end(), other.begin(), other.end());
    }

private:
    std::array<term_start, capacity> m_starts{};
    std::size_t m_size = 0;
};

/// State that an endpoint reports in answer to a control call.
struct endpoint_state {
    position_stamp stamp;
    epoch_number epoch = 0;                   ///< Ownership epoch; 0 before the first claim.
    host_id owner;                            ///< Holder of the claim; empty when it was released.
    std::optional<duration> primary_silence;  ///< Time since the replica last heard its primary.
    std::uint32_t connections_open = 0;
    term_history terms;
    bool operator==(const endpoint_state&) const = default;
};

enum class member_state { live, leaving };

/// A daemon in the platform's host list.
struct host_entry {
    host_id id;
    data_centre_id data_centre;
    std::string address;  ///< IP address and port, "127.0.0.1:7400".
    member_state state = member_state::live;
    bool operator==(const host_entry&) const = default;
};

/// A database endpoint in the platform's host list.
struct endpoint_entry {
    endpoint_id id;
    group_id group;
    data_centre_id data_centre;
    std::string address;
    member_state state = member_state::live;
    bool operator==(const endpoint_entry&) const = default;
};

/// The primary of a group at a term; the endpoint is empty while none is known.
struct group_view {
    term_number term = 0;
    endpoint_id primary;
    auto operator<=>(const group_view&) const = default;
};

}  // namespace jasminelead

template <class Tag>
struct std::hash<jasminelead::basic_id<Tag>> {
    std::size_t operator()(const jasminelead::basic_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.str());
    }
};
