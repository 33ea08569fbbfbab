#pragma once

#include <optional>
#include <variant>

#include "proxy/endpoint_connection.h"
#include "proxy/session_data.h"

/// Runs statements of sessions on connections that sessions share.
namespace jasminelead::proxy {

/// Sets the session's values and prepared statements on the connection where they differ, and runs
/// the statement, all in one round trip. With `in_transaction` the connection is not reset, since
/// that would end the transaction.
std::variant<endpoint_answer, connection_fault> run_statement(
    endpoint_connection& link, const session_data& session, const forwarded_statement& statement,
    const std::optional<log_point>& after, bool in_transaction, steady_time deadline);

/// True when the endpoint answers on the connection. Checks connections that were idle for long
/// before statements that must not be repeated.
bool is_alive(endpoint_connection& link, steady_time deadline);

}  // namespace jasminelead::proxy
