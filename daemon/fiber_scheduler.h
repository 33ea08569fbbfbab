#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/scheduler.hpp>
#include <chrono>
#include <cstdint>

namespace jasminelead::daemon {

/// Runs the ready fibers of a thread round-robin, polls the thread's io_context from the dispatcher
/// context, and blocks in it while no fiber is ready. Completion handlers run in the dispatcher
/// context: they may wake and start fibers but must not wait.
class fiber_scheduler : public boost::fibers::algo::algorithm {
public:
    /// `wakeups` counts how often the thread returned from blocking.
    fiber_scheduler(boost::asio::io_context& io, std::atomic<std::uint64_t>& wakeups);

    void awakened(boost::fibers::context* fiber) noexcept override;
    boost::fibers::context* pick_next() noexcept override;
    [[nodiscard]] bool has_ready_fibers() const noexcept override;
    void suspend_until(const std::chrono::steady_clock::time_point& until) noexcept override;
    void notify() noexcept override;

private:
    boost::asio::io_context& m_io;
    std::atomic<std::uint64_t>& m_wakeups;
    boost::fibers::scheduler::ready_queue_type m_ready;
};

}  // namespace jasminelead::daemon
