#pragma once

#include <boost/fiber/context.hpp>
#include <utility>

namespace jasminelead::daemon {

/// An auto-reset event with one waiting fiber. The fiber and all notifiers must run on the same
/// thread.
class fiber_event {
public:
    void notify() {
        m_set = true;
        if (m_waiter != nullptr) {
            boost::fibers::context::active()->schedule(std::exchange(m_waiter, nullptr));
        }
    }
    /// Returns after the next notification, or immediately when there was one since the last wait.
    void wait() {
        if (!m_set) {
            m_waiter = boost::fibers::context::active();
            m_waiter->suspend();
        }
        m_set = false;
    }

private:
    boost::fibers::context* m_waiter = nullptr;
    bool m_set = false;
};

}  // namespace jasminelead::daemon
