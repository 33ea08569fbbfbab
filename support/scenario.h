#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "testbed.h"
#include "workload.h"

/// Named testbed runs with load and faults, and their measurements.
namespace jasminelead::support {

struct scenario_options {
    std::string scenario;
    std::string deployment = "cascadia";
    std::string policy = "default";  ///< `default`, `primary_only` or `lease_only`.
    std::uint64_t seed = 1;
    mechanisms enabled;
};

struct scenario_result {
    boost::json::object figures;
    std::uint64_t violations = 0;
};

std::vector<std::string_view> scenario_names();
/// Returns nullopt when the scenario, deployment or policy is unknown.
std::optional<scenario_result> run_scenario(const scenario_options& options);

/// Disables a mechanism by name; returns false when the name is unknown.
bool disable_mechanism(mechanisms& enabled, std::string_view name);

}  // namespace jasminelead::support
