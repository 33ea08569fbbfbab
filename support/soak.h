#pragma once

#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <vector>

#include "testbed.h"

/// Randomised runs of a testbed with faults, checked from outside the core.
namespace jasminelead::support {

enum class fault_kind {
    crash_primary,
    silence_primary,
    silence_connections,
    crash_replica,
    stop_replication,
    stall_primary,
    stall_replica,
    crash_host,
    lose_power,
    pause_host,
    drain_host,
    cut_data_centre,
    stop_store,
    lose_store_answers,
    edit_table,
    switch_primary,
    leave_endpoint,
};
inline constexpr std::size_t fault_kind_count = 17;
std::string_view to_string(fault_kind kind);

/// A fault that begins `at` after the warm-up and is undone after `span`.
struct fault {
    fault_kind kind = fault_kind::crash_primary;
    duration at;
    duration span;
    std::size_t target = 0;  ///< Chooses group, host or data centre.
};
std::ostream& operator<<(std::ostream& out, const fault& item);

struct soak_options {
    std::uint64_t seed = 1;
    std::string deployment = "cascadia";
    mechanisms enabled;
    bool strict = false;  ///< Abort at the first broken invariant of the core.
};

struct soak_result {
    std::uint64_t requests = 0;
    std::uint64_t done = 0;
    std::vector<std::string> violations;  ///< What went wrong, one line each; empty when all held.
};

/// Faults drawn by the seed; some of them overlap.
std::vector<fault> random_faults(std::uint64_t seed);
soak_result run_soak(const soak_options& options, std::span<const fault> faults);

}  // namespace jasminelead::support
