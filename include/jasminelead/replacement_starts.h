#pragma once

#include <map>

#include "jasminelead/primary_lease.h"
#include "jasminelead/types.h"

/// Remembers for how long the store has confirmed no use of a group's primary.
namespace jasminelead {

class replacement_starts {
public:
    /// Call with each record that becomes known.
    void record(const group_id& group, const group_record& known, instant now);
    /// Time since the first known mark of the present replacement; zero without one.
    [[nodiscard]] duration since(const group_id& group, instant now) const;

private:
    struct start {
        revision_number replaced_revision = 0;
        instant seen_at;
    };
    std::map<group_id, start> m_starts;
};

}  // namespace jasminelead
