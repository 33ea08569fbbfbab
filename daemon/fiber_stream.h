#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "fiber_event.h"

namespace jasminelead::daemon {

using tcp = boost::asio::ip::tcp;
using steady_time = std::chrono::steady_clock::time_point;
inline constexpr steady_time no_deadline = steady_time::max();

/// Parses an IP address and port, "127.0.0.1:7400" or "[::1]:7400".
std::optional<tcp::endpoint> parse_address(std::string_view text);

namespace detail {

struct pending_wait {
    explicit pending_wait(boost::asio::io_context& io) : timer{io} {}
    boost::asio::steady_timer timer;
    fiber_event event;
    boost::system::error_code error = boost::asio::error::timed_out;
};

}  // namespace detail

/// Suspends the fiber until the operation completes or the deadline passes. `start` receives the
/// completion handler. After a timeout (error::timed_out) the operation is still pending, so the
/// caller has to close its socket.
template <class Start>
boost::system::error_code await_operation(boost::asio::io_context& io, steady_time deadline,
                                          Start&& start) {
    // Shared ownership, because the handlers may run after this function has returned.
    const auto pending = std::make_shared<detail::pending_wait>(io);
    std::forward<Start>(start)([pending](boost::system::error_code error) {
        pending->error = error;
        pending->event.notify();
    });
    if (deadline != no_deadline) {
        pending->timer.expires_at(deadline);
        pending->timer.async_wait([pending](boost::system::error_code error) {
            if (!error) {
                pending->event.notify();
            }
        });
    }
    pending->event.wait();
    pending->timer.cancel();
    return pending->error;
}

/// A TCP socket whose operations suspend the calling fiber.
class fiber_stream {
public:
    explicit fiber_stream(boost::asio::io_context& io) : m_io{io}, m_socket{io} {}
    /// Takes ownership of a socket, which must use the same io_context.
    fiber_stream(boost::asio::io_context& io, tcp::socket socket);

    [[nodiscard]] tcp::socket& socket() { return m_socket; }
    [[nodiscard]] bool is_open() const { return m_socket.is_open(); }
    boost::system::error_code connect(const tcp::endpoint& to, steady_time deadline);
    /// Returns the number of bytes read, or 0 with `error` set; error::eof at the end of the
    /// stream.
    std::size_t read_some(boost::asio::mutable_buffer into, steady_time deadline,
                          boost::system::error_code& error);
    boost::system::error_code write(boost::asio::const_buffer bytes, steady_time deadline);
    boost::system::error_code wait(tcp::socket::wait_type what, steady_time deadline);
    /// True when the peer has not closed the connection and no received bytes are unread.
    [[nodiscard]] bool is_connected_and_idle();
    /// Closes the socket. Pending waits end with error::operation_aborted.
    void close();
    /// Closes the socket with a TCP reset, so that queued bytes are discarded and never delivered.
    void reset();

private:
    boost::asio::io_context& m_io;
    tcp::socket m_socket;
};

/// Sets the socket options of all TCP connections of the daemon: non-blocking, TCP_NODELAY.
void prepare(tcp::socket& socket);
/// Sets TCP_USER_TIMEOUT: the connection fails when sent bytes stay unacknowledged for this long.
void set_tcp_user_timeout(tcp::socket& socket, std::chrono::milliseconds limit);

}  // namespace jasminelead::daemon
