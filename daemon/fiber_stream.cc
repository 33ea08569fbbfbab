#include "fiber_stream.h"

#include <netinet/tcp.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string>

namespace jasminelead::daemon {

std::optional<tcp::endpoint> parse_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view port_text = text.substr(colon + 1);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char* const end = port_text.data() + port_text.size();
    const auto [rest, status] = std::from_chars(port_text.data(), end, port);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string{host}, error);
    if (error || status != std::errc{} || rest != end) {
        return std::nullopt;
    }
    return tcp::endpoint{address, port};
}

void prepare(tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(tcp::no_delay{true}, ignored);
}

void set_tcp_user_timeout(tcp::socket& socket, std::chrono::milliseconds limit) {
    using user_timeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    boost::system::error_code ignored;
    socket.set_option(user_timeout{static_cast<int>(limit.count())}, ignored);
}

fiber_stream::fiber_stream(boost::asio::io_context& io, tcp::socket socket)
    : m_io{io}, m_socket{std::move(socket)} {
    prepare(m_socket);
}

boost::system::error_code fiber_stream::connect(const tcp::endpoint& to, steady_time deadline) {
    boost::system::error_code error;
    m_socket.open(to.protocol(), error);
    if (error) {
        return error;
    }
    prepare(m_socket);
    return await_operation(m_io, deadline, [this, &to](auto handler) {
        m_socket.async_connect(to, std::move(handler));
    });
}

boost::system::error_code fiber_stream::wait(tcp::socket::wait_type what, steady_time deadline) {
    if (!m_socket.is_open()) {
        return boost::asio::error::operation_aborted;
    }
    return await_operation(m_io, deadline, [this, what](auto handler) {
        m_socket.async_wait(what, std::move(handler));
    });
}

std::size_t fiber_stream::read_some(boost::asio::mutable_buffer into, steady_time deadline,
                                    boost::system::error_code& error) {
    for (;;) {
        const std::size_t size = m_socket.read_some(into, error);
        if (error != boost::asio::error::would_block) {
            return size;
        }
        error = wait(tcp::socket::wait_read, deadline);
        if (error) {
            return 0;
        }
    }
}

boost::system::error_code fiber_stream::write(boost::asio::const_buffer bytes,
                                              steady_time deadline) {
    boost::system::error_code error;
    while (bytes.size() > 0) {
        bytes += m_socket.write_some(bytes, error);
        if (error == boost::asio::error::would_block) {
            error = wait(tcp::socket::wait_write, deadline);
        }
        if (error) {
            return error;
        }
    }
    return error;
}

bool fiber_stream::is_connected_and_idle() {
    char byte = 0;
    boost::system::error_code error;
    m_socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == boost::asio::error::would_block;
}

void fiber_stream::reset() {
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
    m_socket.close(ignored);
}

void fiber_stream::close() {
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

}  // namespace jasminelead::daemon
