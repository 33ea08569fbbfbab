#pragma once

#include <chrono>

#include "daemon/clock.h"
#include "daemon/fiber_stream.h"

namespace jasminelead::proxy {

using daemon::boot_now;
using daemon::steady_time;

/// Converts to the steady clock, which network operations use for deadlines.
inline steady_time to_steady(instant at) {
    const duration left = at - boot_now();
    return std::chrono::steady_clock::now() + std::chrono::microseconds{left.us()};
}

}  // namespace jasminelead::proxy
