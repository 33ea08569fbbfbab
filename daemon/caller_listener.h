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

/// Accepts connections on one worker and hands them to all workers in turn.
class caller_listener {
public:
    /// Receives a socket of the io_context of the worker with this index, on that worker's thread.
    using accepted = std::function<void(unsigned worker_index, tcp::socket socket)>;

    caller_listener(std::vector<worker*> workers, accepted on_accepted);

    /// Returns the reason when the address cannot be listened on.
    std::optional<std::string> listen(const std::string& address);
    [[nodiscard]] std::uint16_t port() const;
    /// Stops accepting. Only on the first worker's thread.
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
