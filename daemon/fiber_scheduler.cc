#include "fiber_scheduler.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/type.hpp>

namespace jasminelead::daemon {

fiber_scheduler::fiber_scheduler(boost::asio::io_context& io, std::atomic<std::uint64_t>& wakeups)
    : m_io{io}, m_wakeups{wakeups} {}

void fiber_scheduler::awakened(boost::fibers::context* fiber) noexcept {
    fiber->ready_link(m_ready);
}

boost::fibers::context* fiber_scheduler::pick_next() noexcept {
    // A suspending fiber also calls this function, possibly while it holds the spinlock of a wait
    // queue. Handlers could acquire the same spinlock, so only the dispatcher context polls.
    if (boost::fibers::context::active()->is_context(boost::fibers::type::dispatcher_context)) {
        m_io.poll();
    }
    if (m_ready.empty()) {
        return nullptr;
    }
    boost::fibers::context* const next = &m_ready.front();
    m_ready.pop_front();
    return next;
}

bool fiber_scheduler::has_ready_fibers() const noexcept {
    return !m_ready.empty();
}

void fiber_scheduler::suspend_until(const std::chrono::steady_clock::time_point& until) noexcept {
    if (until == std::chrono::steady_clock::time_point::max()) {
        m_io.run_one();
    } else {
        m_io.run_one_until(until);
    }
    m_wakeups.fetch_add(1, std::memory_order_relaxed);
}

void fiber_scheduler::notify() noexcept {
    boost::asio::post(m_io, [] {});
}

}  // namespace jasminelead::daemon
