#include "http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <utility>

namespace jasminelead::ctl {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr int http_1_1 = 11;
// A list from the store contains a value of up to 1 MB for each daemon.
constexpr std::uint64_t max_body_bytes = 64'000'000;

std::optional<asio::ip::tcp::endpoint> parse_address(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char* const end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    error_code error;
    const auto ip = asio::ip::make_address(host, error);
    if (error || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint{ip, port};
}

/// A request on its own connection. Beast applies timeouts only to asynchronous operations, so each
/// step is started asynchronously and then run to completion.
class http_exchange {
public:
    explicit http_exchange(std::chrono::milliseconds timeout) : m_stream{m_context} {
        m_stream.expires_after(timeout);
    }

    error_code connect(const asio::ip::tcp::endpoint& endpoint) {
        m_stream.async_connect(endpoint, [this](error_code error) { m_error = error; });
        return finish();
    }
    error_code send(const http::request<http::string_body>& request) {
        http::async_write(m_stream, request,
                          [this](error_code error, std::size_t) { m_error = error; });
        return finish();
    }
    error_code receive(http::response_parser<http::string_body>& parser) {
        parser.body_limit(max_body_bytes);
        http::async_read(m_stream, m_buffer, parser,
                         [this](error_code error, std::size_t) { m_error = error; });
        return finish();
    }

private:
    error_code finish() {
        m_context.restart();
        m_context.run();
        return m_error;
    }

    asio::io_context m_context;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    error_code m_error;
};

}  // namespace

std::optional<http_response> http_client::get(const std::string& target) {
    return call(false, target, {});
}

std::optional<http_response> http_client::post(const std::string& target,
                                               const std::string& json_body) {
    return call(true, target, json_body);
}

std::optional<http_response> http_client::call(bool post, const std::string& target,
                                               const std::string& body) {
    const auto endpoint = parse_address(m_address);
    if (!endpoint) {
        m_last_error = "'" + m_address + "' is not an IP address and port";
        return std::nullopt;
    }
    http::request<http::string_body> request{post ? http::verb::post : http::verb::get, target,
                                             http_1_1, body};
    request.set(http::field::host, m_address);
    request.set(http::field::content_type, "application/json");
    request.set(http::field::connection, "close");
    request.prepare_payload();

    http_exchange exchange{m_timeout};
    http::response_parser<http::string_body> parser;
    error_code error = exchange.connect(*endpoint);
    if (!error) {
        error = exchange.send(request);
    }
    if (!error) {
        error = exchange.receive(parser);
    }
    if (error) {
        m_last_error = m_address + ": " + error.message();
        return std::nullopt;
    }
    return http_response{parser.get().result_int(), std::move(parser.get().body())};
}

std::string percent_encoded(const std::string& text) {
    constexpr std::string_view hex = "0123456789ABCDEF";
    constexpr std::string_view unreserved =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string encoded;
    for (const char c : text) {
        if (unreserved.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += hex[byte >> 4U];
        encoded += hex[byte & 0xFU];
    }
    return encoded;
}

}  // namespace jasminelead::ctl
