#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "http_client.h"

namespace jasminelead::daemon {

struct http_call {
    std::string_view address;
    std::string_view method = "POST";
    std::string_view target;
    std::string_view body;
    steady_time deadline;
    steady_time connect_deadline = no_deadline;  ///< Limits only the connect, if earlier.
    bool new_connection = false;
    std::span<const http_header> headers;
    std::string_view answer_header;  ///< Header of the response to return; none if empty.
    bool repeatable = false;         ///< Retried when a reused connection turns out to be closed.
    bool* sent = nullptr;            ///< Set when the request may have reached the server.
    /// Not ended by `abort`: waits for its answer until the deadline.
    bool exempt_from_abort = false;
};

/// A pool of HTTP connections. Not thread-safe.
class http_pool {
public:
    /// Keeps up to `max_idle_connections` per address. Connections that were idle for
    /// `max_idle_time` are not reused.
    http_pool(boost::asio::io_context& io, std::size_t max_idle_connections,
              duration max_idle_time = duration::max());

    /// Runs a call on an idle or a new connection. Suspends the calling fiber.
    std::variant<http_response, endpoint_error> call(const http_call& request);
    /// Ends the calls to the address with `endpoint_error::reset`, except those with
    /// `exempt_from_abort`, and closes its idle connections.
    void abort(std::string_view address);
    /// Closes all connections. Calls in progress end with an error.
    void close();

private:
    using client_ptr = std::shared_ptr<http_client>;
    using answer = std::variant<http_response, endpoint_error>;
    struct idle_client {
        client_ptr client;
        instant since;
    };
    client_ptr acquire_idle(const std::string& address);
    answer exchange(const client_ptr& client, const http_call& request, bool reused);
    void return_to_pool(const std::string& address, client_ptr client);

    boost::asio::io_context& m_io;
    std::size_t m_max_idle_connections;
    duration m_max_idle_time;
    std::map<std::string, std::vector<idle_client>, std::less<>> m_idle;
    struct active_call {
        std::string address;
        bool exempt_from_abort = false;
    };
    std::map<client_ptr, active_call> m_active_calls;
    bool m_closed = false;
};

}  // namespace jasminelead::daemon
