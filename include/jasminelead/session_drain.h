#pragma once

#include "jasminelead/types.h"

/// Decides when a draining host closes its sessions.
///
/// Load pattern: a host stops under load. Callers keep opening sessions until the load balancer
/// notices, and send their first statement as soon as the startup is answered. Closing a session
/// with a statement in flight leaves the caller without an answer.
namespace jasminelead {

/// Activity of one session.
struct session_activity {
    bool is_working = false;        ///< A startup, a statement or a transaction is in progress.
    bool has_unread_bytes = false;  ///< Bytes from the caller were not read yet.
    bool has_run_statement = false;
    instant last_answer;  ///< Time of the last answer to a statement or to the startup.
};

/// True if a draining host may close the session between two statements. A session may also be
/// closed together with the answer to a statement.
bool may_end_session(const session_activity& activity, instant now);

}  // namespace jasminelead
