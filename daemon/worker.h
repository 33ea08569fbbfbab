#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <cstdint>
#include <memory>
#include <thread>
#include <utility>

#include "fiber_event.h"

namespace jasminelead::daemon {

/// A thread that runs an io_context and fibers. It blocks while it is idle.
class worker {
public:
    worker();
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;
    worker(worker&&) = delete;
    worker& operator=(worker&&) = delete;

    [[nodiscard]] boost::asio::io_context& io() { return m_io; }
    [[nodiscard]] std::uint64_t wakeups() const { return m_wakeups.load(); }

    /// Runs the function on the worker's thread, in the order of the calls. Thread-safe.
    template <class Function>
    void post(Function&& function) {
        boost::asio::post(m_io, std::forward<Function>(function));
    }
    /// Starts a fiber. Must be called on the worker's thread.
    template <class Function>
    void spawn(Function&& function) {
        boost::fibers::fiber{boost::fibers::launch::post, std::allocator_arg, m_stacks,
                             std::forward<Function>(function)}
            .detach();
    }
    /// Joins the thread after its last fiber has ended.
    void stop();

private:
    void run();

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::fibers::pooled_fixedsize_stack m_stacks;
    std::atomic<std::uint64_t> m_wakeups = 0;
    fiber_event m_stopped;
    std::thread m_thread;
};

}  // namespace jasminelead::daemon
