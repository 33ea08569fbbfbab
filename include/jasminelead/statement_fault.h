#pragma once

#include <optional>
#include <string_view>

/// Why a statement has no successful answer, as endpoints and callers are told.
namespace jasminelead {

enum class statement_fault {
    busy,              ///< Refused for load; not run.
    aborted,           ///< The transaction was rolled back.
    lagging,           ///< The endpoint's log lacks the required point; not run.
    read_only,         ///< The endpoint is not the primary; not run.
    wrong_endpoint,    ///< Another endpoint or group listens at the address; not run.
    connection_limit,  ///< The endpoint has all the connections that it accepts.
    failed,            ///< Ran and failed.
    unknown_prepared,  ///< No prepared statement of this name; not run.
    timeout,           ///< Ran longer than allowed; the outcome is unknown.
    unknown_database,  ///< No route has this name.
    malformed,         ///< The text is no statement, or not in this state.
    too_large,         ///< The message is over the size limit.
    unauthorized,      ///< The caller may not do this.
    unknown_outcome,   ///< The statement may or may not have run.
};

std::string_view to_string(statement_fault fault);
std::optional<statement_fault> statement_fault_from_string(std::string_view name);
/// True for the answers of an endpoint that exclude a run.
bool is_known_not_run(statement_fault fault);

}  // namespace jasminelead
