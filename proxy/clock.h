#pragma once

#include <chrono>

#include "daemon/clock.h"
#include "daemon/fiber_stream.h"

namespace jasminelead::proxy {

using daemon::boot_now;
using daemon::steady_time;

/// The same moment for operations of the network, which use the steady clock.
inline steady_time to_steady(instant at) {
    const duration left = at - boot_now();
    return std::chrono::steady_clock::now() + std::chrono::microseconds{left.us()};
}

}  // namespace jasminelead::proxy
