#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

/// Runtime checks of the guarantees that jasminelead makes.
namespace jasminelead {

enum class promise {
    read_your_writes,
    superseded_ack,
    transaction_isolation,
    answer_integrity,
    not_run_truth,
    at_most_once,
    leaving_endpoint,
    graceful_shutdown,
    config_monotonic,
    connection_limit,
};

inline constexpr std::size_t promise_count =
    static_cast<std::size_t>(promise::connection_limit) + 1;

std::string_view to_string(promise which);

/// Counts violated guarantees of one daemon. A strict instance aborts the process at the first
/// violation.
class invariants {
public:
    explicit invariants(bool strict = false) : m_strict{strict} {}

    /// Records a violation if `holds` is false. Returns `holds`, so that the caller can refuse the
    /// operation.
    bool check(promise which, bool holds);
    [[nodiscard]] std::uint64_t broken(promise which) const;
    [[nodiscard]] std::uint64_t broken_total() const;

private:
    bool m_strict;
    std::array<std::atomic<std::uint64_t>, promise_count> m_broken{};
};

}  // namespace jasminelead
