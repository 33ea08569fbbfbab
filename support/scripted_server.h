#pragma once

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

/// An HTTP server for tests that gets its responses from a function. One thread per connection.
namespace jasminelead::support {

inline std::string http_reply(int status, std::string_view body) {
    std::string text{"HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: "};
    return text.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
}

class scripted_server {
public:
    /// Returns the bytes of the response; "silent" sends nothing, "close" closes the connection.
    /// After a response with status 101 the server discards what it reads.
    using script = std::function<std::string(std::string_view target, const std::string& body)>;

    explicit scripted_server(script answers)
        : m_answers{std::move(answers)},
          m_acceptor{m_io, {boost::asio::ip::address_v4::loopback(), 0}},
          m_acceptor_thread{[this] { accept_loop(); }} {}
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    scripted_server& operator=(scripted_server&&) = delete;
    ~scripted_server() {
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_acceptor_thread.join();
        for (auto& item : m_connections) {
            ::shutdown(item.socket.native_handle(), SHUT_RDWR);
            item.thread.join();
        }
    }

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    [[nodiscard]] int accepted() const { return m_accepted; }
    /// Bytes read from upgraded connections.
    [[nodiscard]] std::size_t upgraded_bytes() const { return m_upgraded_bytes; }

private:
    struct connection {
        explicit connection(boost::asio::ip::tcp::socket opened) : socket{std::move(opened)} {}
        boost::asio::ip::tcp::socket socket;
        std::thread thread;
    };

    void accept_loop() {
        for (;;) {
            boost::system::error_code error;
            auto socket = m_acceptor.accept(error);
            if (error) {
                return;
            }
            ++m_accepted;
            connection& added = m_connections.emplace_back(std::move(socket));
            added.thread = std::thread{[this, &added] { serve(added.socket); }};
        }
    }
    void serve(boost::asio::ip::tcp::socket& socket) {
        boost::beast::flat_buffer buffer;
        for (;;) {
            boost::beast::http::request<boost::beast::http::string_body> request;
            boost::system::error_code error;
            boost::beast::http::read(socket, buffer, request, error);
            const std::string_view target{request.target().data(), request.target().size()};
            const std::string answer = error ? "close" : m_answers(target, request.body());
            if (answer == "close") {
                ::shutdown(socket.native_handle(), SHUT_RDWR);
                return;
            }
            if (answer != "silent") {
                boost::asio::write(socket, boost::asio::buffer(answer), error);
            }
            if (answer.starts_with("HTTP/1.1 101")) {
                drop_bytes(socket);
                return;
            }
        }
    }
    void drop_bytes(boost::asio::ip::tcp::socket& socket) {
        std::array<char, 4096> bytes{};
        boost::system::error_code error;
        while (!error) {
            m_upgraded_bytes += socket.read_some(boost::asio::buffer(bytes), error);
        }
    }

    script m_answers;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<connection> m_connections;
    std::atomic<int> m_accepted = 0;
    std::atomic<std::size_t> m_upgraded_bytes = 0;
    std::thread m_acceptor_thread;
};

}  // namespace jasminelead::support
