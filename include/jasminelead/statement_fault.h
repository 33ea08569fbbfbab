#pragma once

#include <optional>
#include <string_view>

/// Reasons for which a statement failed, as reported by endpoints and to callers.
namespace jasminelead {

enum class statement_fault {
    busy,              ///< Refused because of overload; not run.
    aborted,           ///< The transaction was rolled back.
    lagging,           ///< The endpoint has not applied the required log point; not run.
    read_only,         ///< The endpoint is not the primary; not run.
    wrong_endpoint,    ///< A different endpoint or group listens at the address; not run.
    connection_limit,  ///< The endpoint has reached its connection limit.
    failed,            ///< Was run and failed.
    unknown_prepared,  ///< No prepared statement of this name; not run.
    timeout,           ///< Exceeded the time limit; the outcome is unknown.
    unknown_database,  ///< No route has this name.
    malformed,         ///< The text is not a statement, or not allowed in this state.
    too_large,         ///< The message exceeds the size limit.
    unauthorized,      ///< The caller lacks the permission.
    unknown_outcome,   ///< The statement may or may not have run.
};

std::string_view to_string(statement_fault fault);
std::optional<statement_fault> statement_fault_from_string(std::string_view name);
/// True for faults that guarantee that the endpoint did not run the statement.
bool is_known_not_run(statement_fault fault);

}  // namespace jasminelead
