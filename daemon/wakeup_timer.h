#pragma once

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>

#include "jasminelead/types.h"
#include "worker.h"

namespace jasminelead::daemon {

/// A timer that calls a function at the earliest of the requested times.
class wakeup_timer {
public:
    wakeup_timer(worker& io_worker, std::function<void()> fire);

    /// Thread-safe. A time later than the armed one is ignored, so the caller must arm the timer
    /// again after each expiry.
    void arm(instant at);
    /// Must be called on the worker's thread.
    void close();

private:
    void wait();

    worker& m_worker;
    std::function<void()> m_fire;
    boost::asio::steady_timer m_timer;
    std::atomic<std::int64_t> m_armed_us;
    bool m_closed = false;
};

}  // namespace jasminelead::daemon
