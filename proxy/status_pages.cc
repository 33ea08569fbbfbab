#include "proxy/status_pages.h"

#include <array>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/fiber/operations.hpp>
#include <exception>
#include <utility>

#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

namespace http = boost::beast::http;
using namespace literals;

constexpr int backlog = 1024;
constexpr std::size_t read_bytes = 4096;
constexpr std::uint32_t most_header_bytes = 8 * 1024;
// A statement of a peer may have 1 MiB, and JSON escapes can double it.
constexpr std::uint64_t most_body_bytes = std::uint64_t{3} * 1024 * 1024;
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

std::optional<std::string> open_listener(daemon::tcp::acceptor& acceptor,
                                         const std::string& address) {
    const auto at = daemon::parse_address(address);
    if (!at) {
        return "not an address: " + address;
    }
    boost::system::error_code error;
    acceptor.open(at->protocol(), error);
    if (!error) {
        acceptor.set_option(daemon::tcp::acceptor::reuse_address{true}, error);
        acceptor.bind(*at, error);
    }
    if (!error) {
        acceptor.listen(backlog, error);
    }
    if (error) {
        return "cannot listen on " + address + ": " + error.message();
    }
    return std::nullopt;
}

status_pages::status_pages(daemon::worker& home, page_source source)
    : m_home{home}, m_source{std::move(source)}, m_acceptor{home.io()} {}

std::optional<std::string> status_pages::listen(const std::string& address) {
    if (auto fault = open_listener(m_acceptor, address)) {
        return fault;
    }
    m_home.post([this] { accept_next(); });
    return std::nullopt;
}

void status_pages::stop() {
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (daemon::fiber_stream* const stream : m_open) {
        stream->close();
    }
}

void status_pages::accept_next() {
    m_acceptor.async_accept([this](boost::system::error_code error, daemon::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (!error) {
            m_home.spawn([this, accepted = std::make_shared<daemon::tcp::socket>(
                                    std::move(socket))] { serve(std::move(*accepted)); });
            accept_next();
            return;
        }
        m_home.spawn([this] {
            boost::this_fiber::sleep_until(to_steady(boot_now() + accept_retry_pause));
            if (m_acceptor.is_open()) {
                accept_next();
            }
        });
    });
}

void status_pages::serve(daemon::tcp::socket socket) {
    daemon::fiber_stream stream{m_home.io(), std::move(socket)};
    std::string received;
    m_open.insert(&stream);
    while (answer_one(stream, received)) {
    }
    m_open.erase(&stream);
    stream.close();
}

/// An unexpected error ends one request and not the process.
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

/// False when the connection has to be closed.
bool status_pages::answer_one(daemon::fiber_stream& stream, std::string& received) {
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    parser.body_limit(most_body_bytes);
    parser.header_limit(most_header_bytes);
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
