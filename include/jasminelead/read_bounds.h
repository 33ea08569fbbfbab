#pragma once

#include <deque>
#include <optional>

#include "jasminelead/log_point.h"
#include "jasminelead/types.h"

/// Which log point a read must see, so that its answer is not older than its route allows.
namespace jasminelead {

/// The primary's log had reached `point` at some time after `sent`, and the primary was not
/// superseded before `sent`. Every commit acknowledged before `sent` is therefore at or below it.
struct primary_mark {
    instant sent;
    log_point point;
    revision_number leadership = 0;  ///< Revision of the group's record that was in force.
};

/// What a session has written to a group.
struct session_writes {
    std::optional<log_point> point;
    revision_number leadership = 0;
};

/// Marks of one group, oldest first.
class read_bounds {
public:
    void record(const primary_mark& mark);
    /// The lowest point that contains all commits acknowledged up to `max_stale` before `arrived`
    /// and the session's own writes. Nothing when no mark is young enough: then only the primary
    /// can answer.
    [[nodiscard]] std::optional<log_point> required(instant arrived, duration max_stale,
                                                    const session_writes& own) const;
    /// How far an endpoint at `point` is behind the primary: the age of the oldest mark above it.
    [[nodiscard]] duration lag(const log_point& point, instant now) const;
    [[nodiscard]] const primary_mark* newest() const {
        return m_marks.empty() ? nullptr : &m_marks.back();
    }

private:
    std::deque<primary_mark> m_marks;
};

}  // namespace jasminelead
