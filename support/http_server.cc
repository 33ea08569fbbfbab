#include "http_server.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <chrono>
#include <stdexcept>
#include <thread>

namespace jasminelead::support {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

tcp::endpoint parse_address(std::string_view address) {
    const std::size_t colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string_view::npos) {
        const std::string_view digits = address.substr(colon + 1);
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    }
    if (port == 0) {
        throw std::invalid_argument("address must be IP:PORT: " + std::string{address});
    }
    return {asio::ip::make_address(std::string{address.substr(0, colon)}), port};
}

boost::json::value parse_body(const std::string& body) {
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(body, error);
    return error ? boost::json::value{} : value;
}

bool handle_request(tcp::socket& socket, beast::flat_buffer& buffer, http_connection& connection,
                    const http_handlers& handlers) {
    boost::system::error_code error;
    http::request<http::string_body> request;
    http::read(socket, buffer, request, error);
    if (error) {
        return false;
    }
    const std::string target{request.target()};
    const auto reply = handlers.request(connection, target, parse_body(request.body()));
    if (!reply) {
        return false;
    }
    http::response<http::string_body> response{reply->status, request.version()};
    response.set(http::field::content_type, "application/json");
    response.keep_alive(request.keep_alive());
    if (reply->status != http::status::no_content) {
        response.body() = boost::json::serialize(reply->body);
    }
    response.prepare_payload();
    http::write(socket, response, error);
    return !error && request.keep_alive();
}

void serve_connection(tcp::socket socket, const http_handlers& handlers) {
    static std::atomic<std::uint64_t> next_number{1};
    boost::system::error_code error;
    socket.set_option(tcp::no_delay{true}, error);
    http_connection connection{next_number.fetch_add(1), socket.native_handle()};
    beast::flat_buffer buffer;
    while (handle_request(socket, buffer, connection, handlers)) {
    }
    handlers.closed(connection);
}

std::optional<http_reply> call(std::string_view address,
                               const http::request<http::string_body>& request,
                               std::int64_t timeout_ms) {
    asio::io_context context;
    beast::tcp_stream stream{context};
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    bool complete = false;
    stream.expires_after(std::chrono::milliseconds{timeout_ms});
    stream.async_connect(parse_address(address), [&](beast::error_code connect_error) {
        if (connect_error) {
            return;
        }
        http::async_write(stream, request, [&](beast::error_code write_error, std::size_t) {
            if (write_error) {
                return;
            }
            http::async_read(
                stream, buffer, response,
                [&](beast::error_code read_error, std::size_t) { complete = !read_error; });
        });
    });
    context.run();
    if (!complete) {
        return std::nullopt;
    }
    return http_reply{response.result(), parse_body(response.body())};
}

}  // namespace

void serve_http(std::string_view address, const http_handlers& handlers) {
    asio::io_context context;
    tcp::acceptor acceptor{context, parse_address(address)};
    while (true) {
        tcp::socket socket{context};
        boost::system::error_code error;
        acceptor.accept(socket, error);
        if (!error) {
            std::thread{serve_connection, std::move(socket), std::cref(handlers)}.detach();
        }
    }
}

std::optional<http_reply> post_json(std::string_view address, std::string_view target,
                                    const boost::json::value& body, std::int64_t timeout_ms) {
    http::request<http::string_body> request{http::verb::post, std::string{target}, 11};
    request.set(http::field::host, std::string{address});
    request.set(http::field::content_type, "application/json");
    request.body() = boost::json::serialize(body);
    request.prepare_payload();
    return call(address, request, timeout_ms);
}

std::optional<http_reply> get_json(std::string_view address, std::string_view target,
                                   std::int64_t timeout_ms) {
    http::request<http::string_body> request{http::verb::get, std::string{target}, 11};
    request.set(http::field::host, std::string{address});
    return call(address, request, timeout_ms);
}

}  // namespace jasminelead::support
