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

/// Why no complete answer was received on a connection.
enum class connection_fault {
    refused,   ///< The endpoint did not accept the connection; nothing was sent.
    lost,      ///< The connection ended.
    silent,    ///< No complete answer before the deadline.
    protocol,  ///< The answer is malformed.
};

std::string_view to_string(connection_fault fault);

/// The complete answer to one query.
struct endpoint_answer {
    std::string rows;       ///< Row lines as received, with line ends.
    std::string signature;  ///< Set on success.
    std::optional<statement_fault> fault;
    std::string fault_text;
    transaction_state state = transaction_state::idle;
    std::optional<log_point> point;  ///< End of the endpoint's log after the query.
};

/// Session values and prepared statements that are set on a connection.
struct connection_state {
    std::map<std::string, std::string> values;
    std::set<std::string> prepared;
};

/// One connection to an endpoint. Calls suspend the calling fiber; only one fiber may use it at a
/// time. After a connection fault it is closed.
class endpoint_connection {
public:
    explicit endpoint_connection(boost::asio::io_context& io) : m_stream{io} {}

    /// Opens the connection in the account's name, which it keeps. Returns the end of the
    /// endpoint's log, or why the connection could not be opened.
    std::variant<std::optional<log_point>, connection_fault, statement_fault> open(
        const endpoint_entry& endpoint, const account_id& account, steady_time deadline);
    std::optional<connection_fault> send(std::string_view queries, steady_time deadline);
    /// Receives the answer to the oldest unanswered query.
    std::variant<endpoint_answer, connection_fault> receive(steady_time deadline);
    /// Sends one query and receives its answer.
    std::variant<endpoint_answer, connection_fault> exchange(std::string_view query,
                                                             steady_time deadline);

    /// False when the endpoint has closed the connection or sent unsolicited bytes.
    [[nodiscard]] bool is_usable();
    void close() { m_stream.close(); }
    /// Closes with a TCP reset, so that queued bytes no longer reach the endpoint.
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
