#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "event_sink.h"
#include "fiber_event.h"
#include "http_client.h"

namespace jasminelead::daemon {

/// A database connection of an endpoint. It runs one statement at a time and reports its loss. Not
/// thread-safe; `serve` is the body of its fiber.
class database_connection : public std::enable_shared_from_this<database_connection> {
public:
    database_connection(boost::asio::io_context& io, open_connection request, std::string address,
                        const event_sink& events);

    /// Opens the connection and runs its statements until it is closed or lost.
    void serve();
    void run(run_statement statement);
    /// Closes the connection without emitting an event.
    void close();

private:
    std::optional<endpoint_error> open(position_stamp& stamp);
    std::optional<endpoint_error> run_next_statement();
    std::optional<endpoint_error> check_idle();
    void watch_readability();
    void serve_opened();

    open_connection m_request;
    std::string m_address;
    const event_sink& m_events;
    http_client m_client;
    fiber_event m_work;
    std::deque<run_statement> m_statements;
    bool m_readability_wait_pending = false;  // Only one wait may be pending at a time.
    bool m_closed = false;
};

}  // namespace jasminelead::daemon
