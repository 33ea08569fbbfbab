#include "http_client.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

#include "network_error.h"

namespace jasminelead::daemon {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t read_bytes = std::size_t{16} * 1024;
constexpr std::uint32_t max_header_bytes = 8 * 1024;
// Values in the store have up to 1 MB, which JSON escapes can double.
constexpr std::uint64_t max_response_bytes = std::uint64_t{4} * 1024 * 1024;

endpoint_error to_endpoint_error(const boost::system::error_code& error) {
    const auto& http_category = http::make_error_code(http::error::bad_version).category();
    if (error.category() != http_category) {
        return network_error(error);
    }
    const bool ended = error == http::error::partial_message || error == http::error::end_of_stream;
    return ended ? endpoint_error::reset : endpoint_error::protocol;
}

std::string render_request(std::string_view method, std::string_view target, std::string_view host,
                           std::string_view body, std::span<const http_header> headers) {
    std::string text;
    text.reserve(body.size() + 160);
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host);
    for (const http_header& header : headers) {
        text.append("\r\n").append(header.name).append(": ").append(header.value);
    }
    text.append("\r\nContent-Type: application/json\r\nContent-Length: ");
    text.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    return text;
}

}  // namespace

endpoint_error http_client::fail(const boost::system::error_code& error) {
    m_stream.reset();
    return to_endpoint_error(error);
}

std::optional<endpoint_error> http_client::connect(std::string_view address, steady_time deadline) {
    const auto to = parse_address(address);
    if (!to) {
        return endpoint_error::timeout;
    }
    m_host = address;
    const auto error = m_stream.connect(*to, deadline);
    if (error) {
        return fail(error);
    }
    return std::nullopt;
}

std::variant<http_response, endpoint_error> http_client::exchange(
    std::string_view method, std::string_view target, std::string_view body, steady_time deadline,
    std::span<const http_header> headers, std::string_view answer_header) {
    const std::string request = render_request(method, target, m_host, body, headers);
    const auto error = m_stream.write(boost::asio::buffer(request), deadline);
    if (error) {
        return fail(error);
    }
    return read_response(deadline, answer_header);
}

std::variant<http_response, endpoint_error> http_client::read_response(
    steady_time deadline, std::string_view answer_header) {
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    parser.header_limit(max_header_bytes);
    parser.body_limit(max_response_bytes);
    boost::system::error_code error;
    while (!parser.is_done()) {
        if (m_received.size() > 0) {
            m_received.consume(parser.put(m_received.data(), error));
            if (error && error != http::error::need_more) {
                return fail(error);
            }
            if (!error) {
                continue;
            }
        }
        const std::size_t size =
            m_stream.read_some(m_received.prepare(read_bytes), deadline, error);
        if (error) {
            return fail(error);
        }
        m_received.commit(size);
    }
    http_response response;
    response.status = parser.get().result_int();
    response.keep_alive = parser.keep_alive();
    response.body = std::move(parser.get().body());
    if (!answer_header.empty()) {
        const auto value = parser.get()[{answer_header.data(), answer_header.size()}];
        response.header.assign(value.data(), value.size());
    }
    if (!response.keep_alive) {
        m_stream.close();
    }
    return response;
}

bool http_client::is_usable() {
    return m_stream.is_open() && m_received.size() == 0 && m_stream.is_connected_and_idle();
}

}  // namespace jasminelead::daemon
