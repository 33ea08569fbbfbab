#pragma once

#include <cstdint>

#include "jasminelead/types.h"

/// A database endpoint as it registers itself in the store.
namespace jasminelead {

struct listed_endpoint {
    endpoint_entry entry;
    std::uint32_t slots = 1;                      ///< Maximum number of concurrent statements.
    endpoint_role role = endpoint_role::replica;  ///< Role that the endpoint reports.
    std::int64_t started_ms = 0;  ///< Unix time of its start in ms; 0 if not reported.
    bool operator==(const listed_endpoint&) const = default;
};

}  // namespace jasminelead
