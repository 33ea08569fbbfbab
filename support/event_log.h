#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <span>
#include <utility>

#include "jasminelead/messages.h"

namespace jasminelead::support {

/// Thread-safe queue of events, for tests of the adapters.
class event_log {
public:
    std::function<void(std::span<event>)> sink() {
        return [this](std::span<event> inputs) {
            const std::lock_guard lock{m_lock};
            for (event& input : inputs) {
                m_events.push_back(std::move(input));
            }
            m_changed.notify_all();
        };
    }
    /// Waits for the next event. Returns nullopt when it has another type or none arrives in time.
    template <class Event>
    std::optional<Event> next() {
        // Long enough that only a hang reaches it.
        constexpr std::chrono::seconds limit{20};
        std::unique_lock lock{m_lock};
        m_changed.wait_for(lock, limit, [this] { return !m_events.empty(); });
        if (m_events.empty() || !std::holds_alternative<Event>(m_events.front())) {
            return std::nullopt;
        }
        std::optional<Event> found{std::get<Event>(std::move(m_events.front()))};
        m_events.pop_front();
        return found;
    }
    [[nodiscard]] std::size_t size() {
        const std::lock_guard lock{m_lock};
        return m_events.size();
    }

private:
    std::mutex m_lock;
    std::condition_variable m_changed;
    std::deque<event> m_events;
};

}  // namespace jasminelead::support
