#pragma once

#include "jasminelead/types.h"

namespace jasminelead::daemon {

/// The monotonic clock of the host, which includes the time when the host is suspended.
instant boot_now();

/// The wall clock in milliseconds, as an incarnation number: a restarted daemon gets a higher one
/// unless the clock was set back.
incarnation_number wall_clock_incarnation();

}  // namespace jasminelead::daemon
