#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "daemon/fiber_stream.h"
#include "jasminelead/types.h"
#include "platform/wire.h"

namespace jasminelead::proxy {

using daemon::steady_time;

/// Why a connection gave no complete answer.
enum class connection_fault {
    refused,   ///< No process listens there; nothing was sent.
    lost,      ///< The connection ended.
    silent,    ///< No complete answer before the deadline.
    protocol,  ///< The answer could not be understood.
};

std::string_view to_string(connection_fault fault);

/// The complete answer to one query.
struct endpoint_answer {
    std::string rows;       ///< Row lines as they arrived, with their ends.
    std::string signature;  ///< Set on success.
    std::optional<statement_fault> fault;
    std::string fault_text;
    transaction_state state = transaction_state::idle;
    std::optional<log_point> point;  ///< End of the endpoint's log after the query.
};

/// Values and prepared statements that are set on a connection.
struct connection_state {
    std::map<std::string, std::string> values;
    std::set<std::string> prepared;
};

/// One connection to an endpoint. Calls suspend the fiber; one user at a time. After a link fault
/// the connection is closed.
class endpoint_connection {
public:
    explicit endpoint_connection(boost::asio::io_context& io) : m_stream{io} {}

    /// Returns the endpoint's log point, or why there is no connection.
    std::variant<std::optional<log_point>, connection_fault, statement_fault> open(
        const endpoint_entry& endpoint, steady_time deadline);
    std::optional<connection_fault> send(std::string_view queries, steady_time deadline);
    /// The answer to the oldest query without one.
    std::variant<endpoint_answer, connection_fault> receive(steady_time deadline);
    /// Sends one query and receives its answer.
    std::variant<endpoint_answer, connection_fault> exchange(std::string_view query,
                                                             steady_time deadline);

    /// False when the other side closed or sent something unasked.
    [[nodiscard]] bool is_usable();
    void close() { m_stream.close(); }
    /// Closes so that nothing that is still queued reaches the endpoint.
    void reset() { m_stream.reset(); }

    connection_state& state() { return m_state; }
    [[nodiscard]] instant last_answer() const { return m_last_answer; }

private:
    std::variant<std::string_view, connection_fault> next_line(steady_time deadline);
    connection_fault fail(connection_fault fault);

    daemon::fiber_stream m_stream;
    platform::line_buffer m_received;
    connection_state m_state;
    instant m_last_answer;
};

}  // namespace jasminelead::proxy
