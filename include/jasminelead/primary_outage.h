#pragma once

#include <map>
#include <optional>

#include "jasminelead/primary_lease.h"
#include "jasminelead/types.h"

/// Decides whether a statement waits for an unavailable primary or is refused at once.
namespace jasminelead {

enum class outage_decision {
    wait,    ///< The primary is likely to be available before the statement's deadline.
    refuse,  ///< The primary cannot be available before the deadline.
};

/// Load pattern: writes to a group keep arriving while its primary is replaced or partitioned.
/// Writes wait for the duration of a typical failover; later ones are refused, because they would
/// only pile up until their timeouts.
class primary_outages {
public:
    explicit primary_outages(duration lease_length) : m_lease_length{lease_length} {}

    /// The group's primary is unavailable at `now`. `record` may be null.
    outage_decision on_unavailable(const group_id& group, const group_record* record, instant now,
                                   instant statement_deadline);
    void on_available(const group_id& group) { m_outages.erase(group); }

private:
    struct outage {
        instant since;
        revision_number revision = 0;
        instant changed;  ///< Time at which this revision was first seen.
    };
    duration m_lease_length;
    std::map<group_id, outage> m_outages;
};

}  // namespace jasminelead
