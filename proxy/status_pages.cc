#include "proxy/status_pages.h"

#include <array>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <exception>
#include <utility>

#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

namespace http = boost::beast::http;
using namespace literals;

constexpr std::size_t read_bytes = 4096;
constexpr std::uint32_t max_header_bytes = 8 * 1024;
// A peer's statement may have 1 MiB, and JSON escapes can double its size.
constexpr std::uint64_t max_body_bytes = std::uint64_t{3} * 1024 * 1024;
constexpr duration idle_timeout = 30_s;

std::string render(const page& content, bool keep_alive) {
    std::string text = "HTTP/1.1 " + std::to_string(content.status) + " ";
    text.append(http::obsolete_reason(http::int_to_status(content.status)));
    text.append("\r\nContent-Type: ").append(content.content_type);
    text.append("\r\nContent-Length: ").append(std::to_string(content.body.size()));
    text.append(keep_alive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
    return text.append(content.body);
}

}  // namespace

status_pages::status_pages(daemon::worker& home, page_source source)
    : m_home{home},
      m_source{std::move(source)},
      m_listener{home, [this](daemon::tcp::socket socket) { serve(std::move(socket)); }} {}

std::optional<std::string> status_pages::listen(const std::string& address) {
    if (auto fault = m_listener.open(address)) {
        return fault;
    }
    m_home.post([this] { m_listener.start(); });
    return std::nullopt;
}

void status_pages::stop() {
    m_listener.close();
    for (daemon::fiber_stream* const stream : m_open) {
        stream->close();
    }
}

void status_pages::serve(daemon::tcp::socket socket) {
    daemon::fiber_stream stream{m_home.io(), std::move(socket)};
    std::string received;
    m_open.insert(&stream);
    while (serve_request(stream, received)) {
    }
    m_open.erase(&stream);
    stream.close();
}

/// Converts an unexpected exception to status 500, so that it fails one request, not the process.
page status_pages::make_page(std::string_view target, std::string_view body) const {
    try {
        return m_source(target, body);
    } catch (const std::exception& error) {
        log_line{log_class::change, "unexpected_error"}
            .with("target", target)
            .with("reason", error.what())
            .write();
        return {500, "text/plain", "unexpected error\n"};
    }
}

/// Returns false when the connection must be closed.
bool status_pages::serve_request(daemon::fiber_stream& stream, std::string& received) {
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    parser.body_limit(max_body_bytes);
    parser.header_limit(max_header_bytes);
    std::array<char, read_bytes> bytes{};
    const auto deadline = to_steady(boot_now() + idle_timeout);
    boost::system::error_code error;
    while (!parser.is_done()) {
        if (!received.empty()) {
            const std::size_t used = parser.put(boost::asio::buffer(received), error);
            received.erase(0, used);
            if (error && error != http::error::need_more) {
                return false;
            }
            if (parser.is_done()) {
                break;
            }
        }
        const std::size_t size = stream.read_some(boost::asio::buffer(bytes), deadline, error);
        if (error) {
            return false;
        }
        received.append(bytes.data(), size);
    }
    const bool keep_alive = parser.keep_alive();
    const std::string target{parser.get().target()};
    const std::string answer = render(make_page(target, parser.get().body()), keep_alive);
    error = stream.write(boost::asio::buffer(answer), deadline);
    return !error && keep_alive;
}

}  // namespace jasminelead::proxy
