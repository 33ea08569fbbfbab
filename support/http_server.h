#pragma once

#include <boost/beast/http/status.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// A blocking HTTP/1.1 server with JSON bodies and one thread per connection, and client calls for
/// it. For the stand-ins and measuring programs, not for the daemon.
namespace jasminelead::support {

struct http_reply {
    boost::beast::http::status status = boost::beast::http::status::ok;
    boost::json::value body;
};

/// One TCP connection of the server. `number` is unique in the process.
struct http_connection {
    std::uint64_t number = 0;
    int socket = -1;
};

struct http_handlers {
    /// Returns nullopt to close the connection without a response.
    std::function<std::optional<http_reply>(http_connection&, std::string_view target,
                                            const boost::json::value& body)>
        request;
    std::function<void(http_connection&)> closed;
};

/// Serves until the process ends. Throws std::invalid_argument for a malformed address and
/// boost::system::system_error when it cannot listen.
[[noreturn]] void serve_http(std::string_view address, const http_handlers& handlers);

/// Sends a POST on a new connection. Returns nullopt when no response arrives within `timeout_ms`.
std::optional<http_reply> post_json(std::string_view address, std::string_view target,
                                    const boost::json::value& body, std::int64_t timeout_ms);
/// Sends a GET; otherwise like post_json().
std::optional<http_reply> get_json(std::string_view address, std::string_view target,
                                   std::int64_t timeout_ms);

}  // namespace jasminelead::support
