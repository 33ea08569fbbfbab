#pragma once

#include <functional>
#include <span>

#include "jasminelead/messages.h"

namespace jasminelead::daemon {

/// Passes a batch of events to the kernel in order, under one acquisition of its lock.
using event_sink = std::function<void(std::span<event>)>;

inline void emit(const event_sink& sink, event input) {
    sink(std::span{&input, 1});
}

}  // namespace jasminelead::daemon
