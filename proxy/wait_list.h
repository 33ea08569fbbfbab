#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "daemon/fiber_stream.h"

namespace jasminelead::proxy {

using daemon::steady_time;

/// Condition variable for fibers of one worker.
class wait_list {
public:
    explicit wait_list(boost::asio::io_context& io) : m_io{io} {}

    /// Waits for the next notification. Returns false when the deadline passes first.
    bool wait(steady_time deadline) {
        const std::uint64_t number = m_next_number++;
        const auto error = daemon::await_operation(
            m_io, deadline, [&](auto handler) { m_waiters.emplace(number, std::move(handler)); });
        m_waiters.erase(number);
        return !error;
    }
    void notify_all() {
        for (auto& [number, waiter] : std::exchange(m_waiters, {})) {
            waiter(boost::system::error_code{});
        }
    }

private:
    boost::asio::io_context& m_io;
    std::uint64_t m_next_number = 0;
    std::map<std::uint64_t, std::function<void(boost::system::error_code)>> m_waiters;
};

}  // namespace jasminelead::proxy
