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
    steady_time connect_deadline = no_deadline;  ///< Of a new connection, when it is earlier.
    bool new_connection = false;
    std::span<const http_header> headers;
    bool repeatable = false;  ///< Tried again when a reused connection turns out to be closed.
    bool* sent = nullptr;     ///< Set when the request may have reached the other side.
    /// Waits for its answer until the deadline, also when `abort` gives up the other calls.
    bool exempt_from_abort = false;
};

/// Keeps idle HTTP connections for reuse. Belongs to one thread.
class http_pool {
public:
    /// Connections that were idle for `max_idle_time` are not used again.
    http_pool(boost::asio::io_context& io, std::size_t max_idle_connections,
              duration max_idle_time = duration::max());

    /// Suspends the calling fiber.
    std::variant<http_response, endpoint_error> call(const http_call& request);
    /// Ends the calls in progress to the address with `endpoint_error::reset`, but for those that
    /// survive it, and closes its idle connections.
    void abort(std::string_view address);
    /// Closes all connections; calls in progress end with an error.
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
