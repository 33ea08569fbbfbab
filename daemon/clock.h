#pragma once

#include "jasminelead/types.h"

namespace jasminelead::daemon {

/// The host's monotonic clock, which counts suspended time.
instant boot_now();

/// Milliseconds of the wall clock at the call; grows from one start of a daemon to the next.
incarnation_number wall_clock_incarnation();

}  // namespace jasminelead::daemon
