#pragma once

#include "jasminelead/types.h"

/// When sessions end on a host that drains.
///
/// Load pattern: a host stops under load. Callers open sessions there until the balancer has
/// noticed, and their first statement is on its way when the startup has just been answered. A
/// session that ends with a statement in flight leaves its caller without an answer.
namespace jasminelead {

/// What one session is doing.
struct session_activity {
    bool is_working = false;        ///< A startup, a statement or a transaction is in progress.
    bool has_unread_bytes = false;  ///< The caller has sent something that was not read yet.
    bool has_run_statement = false;
    instant last_answer;  ///< Of a statement, or of the startup.
};

/// Whether a session of a draining host may end between two statements. One that has just answered
/// a statement may also end together with that answer.
bool may_end_session(const session_activity& activity, instant now);

}  // namespace jasminelead
