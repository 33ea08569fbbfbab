#include "wakeup_timer.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "clock.h"

namespace jasminelead::daemon {
namespace {

constexpr std::int64_t unarmed_us = INT64_MAX;
// Keeps the worker from spinning when the kernel requests a time in the past.
constexpr std::int64_t min_wait_us = 500;

}  // namespace

wakeup_timer::wakeup_timer(worker& io_worker, std::function<void()> fire)
    : m_worker{io_worker},
      m_fire{std::move(fire)},
      m_timer{io_worker.io()},
      m_armed_us{unarmed_us} {}

void wakeup_timer::arm(instant at) {
    const std::int64_t us = at.since_start().us();
    std::int64_t armed = m_armed_us.load();
    while (us < armed) {
        if (m_armed_us.compare_exchange_weak(armed, us)) {
            m_worker.post([this] { wait(); });
            return;
        }
    }
}

void wakeup_timer::wait() {
    const std::int64_t armed = m_armed_us.load();
    if (m_closed || armed == unarmed_us) {
        return;
    }
    const std::int64_t left = armed - boot_now().since_start().us();
    m_timer.expires_after(std::chrono::microseconds{std::max(left, min_wait_us)});
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error && !m_closed) {
            m_armed_us.store(unarmed_us);
            m_fire();
        }
    });
}

void wakeup_timer::close() {
    m_closed = true;
    m_timer.cancel();
}

}  // namespace jasminelead::daemon
