#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "jasminelead/core_kernel.h"
#include "jasminelead/types.h"

namespace jasminelead {

/// What a kernel needs to know of its daemon.
struct kernel_options {
    host_id self;
    data_centre_id data_centre;
    incarnation_number incarnation = 0;
    std::uint64_t seed = 0;
    /// Key ids with their 32-byte secrets; the first key signs, all of them verify.
    std::vector<std::pair<std::uint8_t, std::string>> token_keys;
    std::string routing_policy = "default";
    std::string failover_policy = "default";
    bool strict_invariants = false;
};

/// Throws std::invalid_argument when a policy is not registered.
std::unique_ptr<core_kernel> make_kernel(const kernel_options& options);

}  // namespace jasminelead
