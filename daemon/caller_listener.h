#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fiber_stream.h"
#include "worker.h"

namespace jasminelead::daemon {

/// Accepts connections on the first worker and distributes them round-robin over all workers.
class caller_listener {
public:
    /// Receives a socket on the thread of the worker with this index; the socket uses the worker's
    /// io_context.
    using accepted = std::function<void(unsigned worker_index, tcp::socket socket)>;

    caller_listener(std::vector<worker*> workers, accepted on_accepted);

    /// Starts listening. Returns an error text on failure.
    std::optional<std::string> listen(const std::string& address);
    [[nodiscard]] std::uint16_t port() const;
    /// Stops accepting. Must be called on the first worker's thread.
    void close();

private:
    void accept_next();
    void retry_after_delay();

    std::vector<worker*> m_workers;
    accepted m_accepted;
    tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retry_timer;
    unsigned m_next = 0;
};

}  // namespace jasminelead::daemon
