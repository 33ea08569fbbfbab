#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "jasminelead/read_bounds.h"
#include "jasminelead/routing_config.h"
#include "jasminelead/statement.h"
#include "jasminelead/statement_fault.h"
#include "platform/wire.h"

/// State of a session, and the statements that it sends.
namespace jasminelead::proxy {

struct prepared_statement {
    access kind = access::read;
    std::string shape;
};

struct session_data {
    authenticated_caller caller;
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_statement, std::less<>> prepared;
    /// Last write to each group. A route can move to another group and back during the session.
    std::map<group_id, session_writes> writes;
};

/// The session's last write to the group; without a point if there was none.
session_writes last_write(const session_data& session, const group_id& group);
/// Has no effect without a point.
void record_write(session_data& session, const group_id& group, const session_writes& write);

/// A statement to run on an endpoint.
struct forwarded_statement {
    std::string id;
    std::string text;  ///< As the caller sent it; unused when `prepared` is set.
    access kind = access::read;
    std::optional<prepared_statement> prepared;
    std::string arguments;  ///< Arguments of a prepared statement.
    instant arrived;
};

/// The answer to one statement of a caller.
struct statement_outcome {
    std::optional<statement_fault> fault;
    std::string text;  ///< Message that explains the fault.
    std::string rows;
    std::string signature;
    duration retry_after{};  ///< Set if the account is at its limit: until it may try again.
};

inline statement_outcome make_fault(statement_fault fault, std::string_view text) {
    return {fault, std::string{text}, {}, {}, {}};
}

}  // namespace jasminelead::proxy
