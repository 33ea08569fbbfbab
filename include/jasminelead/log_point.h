#pragma once

#include <compare>

#include "jasminelead/types.h"

/// A position in the log of a group, qualified by its term.
namespace jasminelead {

/// Ordered by term, then by position.
struct log_point {
    term_number term = 0;
    log_position position = 0;
    auto operator<=>(const log_point&) const = default;
};

}  // namespace jasminelead
