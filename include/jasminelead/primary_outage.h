#pragma once

#include <map>
#include <optional>

#include "jasminelead/primary_lease.h"
#include "jasminelead/types.h"

/// Whether a statement waits for a primary that is away, or is refused at once.
namespace jasminelead {

enum class outage_decision {
    wait,    ///< The primary is likely back before the statement has to end.
    refuse,  ///< It is known that it cannot be.
};

/// Load pattern: all writes of a group arrive while its primary is replaced or cut off. Those that
/// a usual failover can still serve wait; later ones would only pile up until their timeouts.
class primary_outages {
public:
    explicit primary_outages(duration lease_length) : m_lease_length{lease_length} {}

    /// The primary of the group cannot be used now. `record` may be null.
    outage_decision on_unavailable(const group_id& group, const group_record* record, instant now,
                                   instant statement_deadline);
    void on_available(const group_id& group) { m_outages.erase(group); }

private:
    struct outage {
        instant since;
        revision_number revision = 0;
        instant changed;  ///< When the record of this revision was first seen.
    };
    duration m_lease_length;
    std::map<group_id, outage> m_outages;
};

}  // namespace jasminelead
