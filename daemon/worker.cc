#include "worker.h"

#include <boost/fiber/operations.hpp>

#include "fiber_scheduler.h"

namespace jasminelead::daemon {
namespace {

// Only touched pages of a stack use memory; the size leaves room for the kernel's calls.
constexpr std::size_t stack_bytes = std::size_t{128} * 1024;
// The pool touches one page of every stack that it reserves, so it starts small.
constexpr std::size_t first_stacks = 4;
constexpr std::size_t most_stacks_at_once = 64;
constexpr int one_thread = 1;

}  // namespace

worker::worker()
    : m_io{one_thread},
      m_work{m_io.get_executor()},
      m_stacks{stack_bytes, first_stacks, most_stacks_at_once},
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
