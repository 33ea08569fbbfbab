#include "worker.h"

#include <boost/fiber/operations.hpp>

#include "fiber_scheduler.h"

namespace jasminelead::daemon {
namespace {

// The size covers the kernel's call depth. Only touched pages of a stack use memory.
constexpr std::size_t stack_bytes = std::size_t{128} * 1024;
// The pool touches a page of each stack that it allocates, so it starts with few.
constexpr std::size_t initial_stacks = 4;
constexpr std::size_t max_stacks_per_allocation = 64;
constexpr int concurrency_hint = 1;

}  // namespace

worker::worker()
    : m_io{concurrency_hint},
      m_work{m_io.get_executor()},
      m_stacks{stack_bytes, initial_stacks, max_stacks_per_allocation},
      m_thread{[this] { run(); }} {}

worker::~worker() {
    stop();
}

void worker::run() {
    boost::fibers::use_scheduling_algorithm<fiber_scheduler>(m_io, m_wakeups);
    m_stopped.wait();
}

void worker::stop() {
    if (m_thread.joinable()) {
        post([this] { m_stopped.notify(); });
        m_thread.join();
    }
}

}  // namespace jasminelead::daemon
