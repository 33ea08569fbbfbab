#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <utility>
#include <vector>

#include "daemon/fiber_stream.h"

namespace jasminelead::proxy {

using daemon::steady_time;

/// Fibers of one worker that wait for the next change.
class wait_list {
public:
    explicit wait_list(boost::asio::io_context& io) : m_io{io} {}

    /// False when the deadline passed first.
    bool wait(steady_time deadline) {
        const auto error = daemon::await_operation(
            m_io, deadline, [this](auto handler) { m_waiters.emplace_back(std::move(handler)); });
        return !error;
    }
    void notify_all() {
        for (auto& waiter : std::exchange(m_waiters, {})) {
            waiter(boost::system::error_code{});
        }
    }

private:
    boost::asio::io_context& m_io;
    // A waiter whose deadline passed stays here until the next change; calling it has no effect.
    std::vector<std::function<void(boost::system::error_code)>> m_waiters;
};

}  // namespace jasminelead::proxy
