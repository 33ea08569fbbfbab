#pragma once

#include <set>

#include "jasminelead/types.h"

/// For which groups a host asks others how far the log of the primary has come.
///
/// Load pattern: all hosts start again at once, and connections of their earlier processes still
/// fill the limit of each primary. A host without a connection there has no marks, so that all its
/// reads need the primary although replicas are idle. One host with a connection is enough for all.
namespace jasminelead {

class mark_demand {
public:
    /// A read of the group has no bound, and its primary cannot take it at once.
    void want(const group_id& group) { m_groups.insert(group); }
    [[nodiscard]] bool is_empty() const { return m_groups.empty(); }
    /// When the others may be asked next.
    [[nodiscard]] instant next_query_at() const { return m_next_query; }
    /// The groups to ask for at `now`; empty when it is too early or none is wanted.
    std::set<group_id> take(instant now);

private:
    std::set<group_id> m_groups;
    instant m_next_query;
};

}  // namespace jasminelead
