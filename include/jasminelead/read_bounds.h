#pragma once

#include <deque>
#include <optional>

#include "jasminelead/log_point.h"
#include "jasminelead/primary_lease.h"
#include "jasminelead/types.h"

/// Computes the log point that an endpoint must have applied to serve a read within the staleness
/// limit of its route.
namespace jasminelead {

/// The primary's log had reached `point` at some time after `sent`, and the primary was not
/// superseded before `sent`. Every commit acknowledged before `sent` is therefore at or below it.
struct primary_mark {
    instant sent;
    log_point point;
    revision_number leadership = 0;  ///< Revision of the group's record that was in force.
};

/// An answer with a log position to a statement that was sent under a permit.
struct primary_answer {
    primary_permit permit;
    instant sent;
    instant received;
    log_point point;
};

/// Returns nothing unless the permit is still valid when the answer arrives.
std::optional<primary_mark> mark_from(const primary_answer& answer, const primary_lease& lease,
                                      const group_id& group);

/// Last write of a session to a group.
struct session_writes {
    std::optional<log_point> point;
    revision_number leadership = 0;
};

/// Marks of the primary's log position in one group, oldest first.
class read_bounds {
public:
    void record(const primary_mark& mark);
    /// The lowest point that contains all commits acknowledged up to `max_stale` before `arrived`
    /// and the session's own writes. Returns nullopt if no mark is recent enough; only the primary
    /// can then serve the read.
    [[nodiscard]] std::optional<log_point> required(instant arrived, duration max_stale,
                                                    const session_writes& own) const;
    /// Replication lag of an endpoint at `point`: the age of the oldest mark above it.
    [[nodiscard]] duration lag(const log_point& point, instant now) const;
    [[nodiscard]] const primary_mark* newest() const {
        return m_marks.empty() ? nullptr : &m_marks.back();
    }

private:
    std::deque<primary_mark> m_marks;
};

}  // namespace jasminelead
