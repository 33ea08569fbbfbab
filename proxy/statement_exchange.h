#pragma once

#include <optional>
#include <variant>

#include "proxy/endpoint_connection.h"
#include "proxy/session_data.h"

/// Runs one statement of a session on a connection.
namespace jasminelead::proxy {

/// Brings the connection to the session's values and prepared statements, and runs the statement,
/// all in one exchange. `in_transaction`: the connection must not be reset.
std::variant<endpoint_answer, connection_fault> run_statement(
    endpoint_connection& link, const session_data& session, const forwarded_statement& statement,
    const std::optional<log_point>& after, bool in_transaction, steady_time deadline);

/// True when the connection answers. Used before statements that may not be repeated, on
/// connections that were idle for long.
bool is_alive(endpoint_connection& link, steady_time deadline);

}  // namespace jasminelead::proxy
