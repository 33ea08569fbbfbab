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

/// Lets all threads use the one kernel.
///
/// Lock order: the kernel lock first, then the dispatch lock, then the queue lock of a worker
/// (inside worker::post). Never the reverse. The locks of address_book and metrics are leaves.
class synchronized_kernel {
public:
    /// Takes one action. It must hand work to a worker and neither wait nor call the gate.
    using action_sink = std::function<void(action&&)>;
    /// Receives the kernel's next wake-up after each event.
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
