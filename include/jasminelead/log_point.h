#pragma once

#include <compare>

#include "jasminelead/types.h"

/// A place in the log of a group.
namespace jasminelead {

/// Points are ordered: a later term comes after every position of an earlier one.
struct log_point {
    term_number term = 0;
    log_position position = 0;
    auto operator<=>(const log_point&) const = default;
};

}  // namespace jasminelead
