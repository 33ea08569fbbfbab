#include "synchronized_kernel.h"

#include <utility>

#include "clock.h"

namespace jasminelead::daemon {

synchronized_kernel::synchronized_kernel(std::unique_ptr<core_kernel> kernel, action_sink actions,
                                         wakeup_sink wakeups)
    : m_kernel{std::move(kernel)},
      m_actions{std::move(actions)},
      m_wakeups{std::move(wakeups)},
      m_ready{m_kernel->ready()} {}

void synchronized_kernel::submit(event input) {
    submit(std::span{&input, 1});
}

void synchronized_kernel::submit(std::span<event> inputs) {
    action_list actions;
    std::unique_lock kernel_lock{m_kernel_lock};
    for (event& input : inputs) {
        m_kernel->handle(std::move(input), boot_now(), actions);
    }
    const auto wakeup = m_kernel->next_wakeup();
    m_ready.store(m_kernel->ready(), std::memory_order_relaxed);
    // The dispatch lock is acquired before the kernel lock is released. Otherwise another thread
    // could dispatch a close_connection before the open_connection that it refers to.
    const std::lock_guard dispatch_lock{m_dispatch_lock};
    kernel_lock.unlock();
    for (action& item : actions) {
        m_actions(std::move(item));
    }
    if (wakeup) {
        m_wakeups(*wakeup);
    }
}

std::string synchronized_kernel::status_json() const {
    const std::lock_guard lock{m_kernel_lock};
    return m_kernel->status_json();
}

std::string synchronized_kernel::explain_json(std::string_view session) const {
    const std::lock_guard lock{m_kernel_lock};
    return m_kernel->explain_json(session);
}

}  // namespace jasminelead::daemon
