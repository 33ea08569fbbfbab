#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

#include "jasminelead/core_kernel.h"

namespace jasminelead::daemon {

/// Serializes the access of all threads to the kernel and dispatches its actions in order.
///
/// Lock order: the kernel lock, the dispatch lock, the queue lock of a worker (inside
/// worker::post). The reverse order can deadlock. No lock is acquired while a lock of address_book
/// or metrics is held.
class synchronized_kernel {
public:
    /// Receives one action. It posts the work to a worker; it must not block or call back into
    /// this class.
    using action_sink = std::function<void(action&&)>;
    /// Receives the time of the kernel's next wake-up after each batch of events.
    using wakeup_sink = std::function<void(instant)>;

    synchronized_kernel(std::unique_ptr<core_kernel> kernel, action_sink actions,
                        wakeup_sink wakeups);

    void submit(event input);
    void submit(std::span<event> inputs);
    [[nodiscard]] bool ready() const { return m_ready.load(std::memory_order_relaxed); }
    [[nodiscard]] std::string status_json() const;
    [[nodiscard]] std::string explain_json(std::string_view session) const;

private:
    mutable std::mutex m_kernel_lock;
    std::mutex m_dispatch_lock;
    std::unique_ptr<core_kernel> m_kernel;
    action_sink m_actions;
    wakeup_sink m_wakeups;
    std::atomic<bool> m_ready = false;
};

}  // namespace jasminelead::daemon
