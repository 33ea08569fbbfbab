#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "jasminelead/core_kernel.h"
#include "jasminelead/types.h"

namespace jasminelead {

/// Identity, keys and policies of a kernel.
struct kernel_options {
    host_id self;
    data_centre_id data_centre;
    incarnation_number incarnation = 0;
    std::uint64_t seed = 0;
    /// Key ids with 32-byte secrets. The first key signs; all keys verify.
    std::vector<std::pair<std::uint8_t, std::string>> token_keys;
    std::string routing_policy = "default";
    std::string failover_policy = "default";
    bool strict_invariants = false;
};

/// Throws std::invalid_argument if a policy is not registered.
std::unique_ptr<core_kernel> make_kernel(const kernel_options& options);

}  // namespace jasminelead
