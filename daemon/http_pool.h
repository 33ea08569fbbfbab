#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <set>
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
    bool new_connection = false;
    std::span<const http_header> headers;
    bool repeatable = false;  ///< Tried again when a reused connection turns out to be closed.
};

/// Keeps idle HTTP connections for reuse. Belongs to one thread.
class http_pool {
public:
    http_pool(boost::asio::io_context& io, std::size_t most_idle);

    /// Suspends the calling fiber.
    std::variant<http_response, endpoint_error> call(const http_call& request);
    /// Closes all connections; calls in progress end with an error.
    void close();

private:
    using client_ptr = std::shared_ptr<http_client>;
    using answer = std::variant<http_response, endpoint_error>;
    client_ptr take_idle(const std::string& address);
    answer exchange(const client_ptr& client, const http_call& request, bool reused);
    void keep(const std::string& address, client_ptr client);

    boost::asio::io_context& m_io;
    std::size_t m_most_idle;
    std::map<std::string, std::vector<client_ptr>> m_idle;
    std::set<client_ptr> m_busy;
    bool m_closed = false;
};

}  // namespace jasminelead::daemon
