#pragma once

#include <set>

#include "jasminelead/types.h"

/// Groups for which a host requests marks of the primary's log position from other hosts.
///
/// Load pattern: all hosts restart at once, and connections of their earlier processes still use up
/// the connection limit of each primary. A host without a connection to the primary has no marks,
/// so that all its reads require the primary although replicas are idle. One connected host can
/// supply marks to all others.
namespace jasminelead {

class mark_demand {
public:
    /// A read of the group has no mark to bound it, and the primary cannot serve it at once.
    void want(const group_id& group) { m_groups.insert(group); }
    [[nodiscard]] bool is_empty() const { return m_groups.empty(); }
    /// Earliest time of the next request to other hosts.
    [[nodiscard]] instant next_query_at() const { return m_next_query; }
    /// Removes and returns the groups to request at `now`; empty before next_query_at() or if there
    /// are none.
    std::set<group_id> take(instant now);

private:
    std::set<group_id> m_groups;
    instant m_next_query;
};

}  // namespace jasminelead
