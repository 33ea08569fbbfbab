#pragma once

#include <boost/beast/http/status.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// A small blocking HTTP/1.1 server with JSON bodies and one thread for each connection, and a
/// matching client call. Used by the stand-in programs only.
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
    /// Returns nothing when the request must stay without an answer and the connection must close.
    std::function<std::optional<http_reply>(http_connection&, std::string_view target,
                                            const boost::json::value& body)>
        request;
    std::function<void(http_connection&)> closed;
};

/// Serves until the process ends. Throws boost::system::system_error when it cannot listen.
[[noreturn]] void serve_http(std::string_view address, const http_handlers& handlers);

/// Sends one POST on a new connection; nothing when no answer came within `timeout_ms`.
std::optional<http_reply> post_json(std::string_view address, std::string_view target,
                                    const boost::json::value& body, std::int64_t timeout_ms);
/// The same for a GET.
std::optional<http_reply> get_json(std::string_view address, std::string_view target,
                                   std::int64_t timeout_ms);

}  // namespace jasminelead::support
