#pragma once

#include <cstdint>

#include "jasminelead/types.h"

/// A database endpoint as it registers itself.
namespace jasminelead {

struct listed_endpoint {
    endpoint_entry entry;
    std::uint32_t slots = 1;                      ///< Statements that it runs at once.
    endpoint_role role = endpoint_role::replica;  ///< As it sees itself.
    std::int64_t started_ms = 0;  ///< Unix time of its start; 0 when it does not tell.
    bool operator==(const listed_endpoint&) const = default;
};

}  // namespace jasminelead
