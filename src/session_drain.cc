#include "jasminelead/session_drain.h"

namespace jasminelead {
namespace {

using namespace literals;

// The first statement of a caller arrives within a round trip plus one retransmission after the
// answer to its startup.
constexpr duration first_statement_timeout = 500_ms;
// A caller that keeps using its session sends the next statement within this time.
constexpr duration next_statement_timeout = 50_ms;

}  // namespace

bool may_end_session(const session_activity& activity, instant now) {
    if (activity.is_working || activity.has_unread_bytes) {
        return false;
    }
    const duration idle_time = now - activity.last_answer;
    return idle_time >=
           (activity.has_run_statement ? next_statement_timeout : first_statement_timeout);
}

}  // namespace jasminelead
