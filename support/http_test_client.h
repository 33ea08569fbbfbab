#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <string_view>

/// A blocking HTTP client for tests and benchmarks.
namespace jasminelead::support {

struct http_answer {
    unsigned status = 0;
    std::string body;
};

class http_test_client {
public:
    explicit http_test_client(std::uint16_t port) : m_socket{m_io} {
        m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
        m_socket.set_option(boost::asio::ip::tcp::no_delay{true});
    }
    void send(std::string_view bytes) { boost::asio::write(m_socket, boost::asio::buffer(bytes)); }
    /// Returns nullopt when the server has closed the connection.
    std::optional<http_answer> receive() {
        boost::beast::http::response<boost::beast::http::string_body> response;
        boost::system::error_code error;
        boost::beast::http::read(m_socket, m_buffer, response, error);
        if (error) {
            return std::nullopt;
        }
        return http_answer{response.result_int(), response.body()};
    }

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

inline std::string http_post(std::string_view path, std::string_view body) {
    std::string text{"POST "};
    text.append(path).append(" HTTP/1.1\r\nHost: x\r\nContent-Length: ");
    text.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    return text;
}

}  // namespace jasminelead::support
