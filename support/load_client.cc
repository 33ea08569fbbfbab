#include "load_client.h"

#include <poll.h>

#include <boost/beast/http.hpp>
#include <stdexcept>

namespace jasminelead::support {
namespace {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

constexpr int answer_timeout_ms = 10'000;

tcp::endpoint parse_address(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    const int port = std::stoi(address.substr(colon + 1));
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(port)};
}

}  // namespace

load_client::load_client(std::string address) : m_address{std::move(address)} {
    m_socket.connect(parse_address(m_address));
    m_socket.set_option(tcp::no_delay{true});
}

std::string load_client::get(std::string_view target) {
    return call(http::verb::get, target, {});
}

std::string load_client::post(std::string_view target, std::string_view body) {
    return call(http::verb::post, target, body);
}

std::string load_client::call(http::verb verb, std::string_view target, std::string_view body) {
    http::request<http::string_body> request{verb, target, 11};
    request.set(http::field::host, m_address);
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    http::write(m_socket, request);
    wait_for_response();
    http::response<http::string_body> response;
    http::read(m_socket, m_buffer, response);
    if (response.result() != http::status::ok) {
        throw std::runtime_error(std::string{target} + " returned status " +
                                 std::to_string(response.result_int()) + ": " + response.body());
    }
    return std::move(response.body());
}

void load_client::wait_for_response() {
    pollfd waiting{m_socket.native_handle(), POLLIN, 0};
    if (::poll(&waiting, 1, answer_timeout_ms) != 1) {
        throw std::runtime_error("no response from " + m_address + " within " +
                                 std::to_string(answer_timeout_ms) + " ms");
    }
}

}  // namespace jasminelead::support
