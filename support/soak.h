#pragma once

#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <vector>

#include "testbed.h"

/// Randomised fault-injection runs on the testbed. Besides the invariants that the kernels check,
/// the runs compare replies, endpoint logs and table revisions from the outside.
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

/// A fault that is injected `at` after the warm-up and reverted after `span`.
struct fault {
    fault_kind kind = fault_kind::crash_primary;
    duration at;
    duration span;
    std::size_t target = 0;  ///< Selects a group, host or data centre, modulo their number.
};
std::ostream& operator<<(std::ostream& out, const fault& item);

struct soak_options {
    std::uint64_t seed = 1;
    std::string deployment = "cascadia";
    mechanisms enabled;
    bool strict = false;  ///< Abort at the first violated invariant of a kernel.
};

struct soak_result {
    std::uint64_t requests = 0;
    std::uint64_t done = 0;
    std::vector<std::string> violations;  ///< One line for each; empty when the run passed.
};

/// Faults derived from the seed; they may overlap.
std::vector<fault> random_faults(std::uint64_t seed);
soak_result run_soak(const soak_options& options, std::span<const fault> faults);

}  // namespace jasminelead::support
