#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "jasminelead/types.h"

/// Tracks which hosts are registered, alive and entitled to vote.
///
/// Load pattern: queried many times a second for each group, so a query about one host must not
/// iterate over all hosts.
namespace jasminelead {

class host_liveness {
public:
    /// The host's registration was written.
    void on_registered(const host_id& host, instant now);
    /// The host's registration was removed.
    void on_removed(const host_id& host, instant now);
    /// The host renews its lease in the store, or has stopped renewing it.
    void on_lease(const host_id& host, bool is_held, instant now);

    /// False for a host that was never registered, or whose registration was removed.
    [[nodiscard]] bool is_registered(const host_id& host) const;
    /// True for a registered host that holds its lease or lost it within the grace period. A host
    /// whose registration was removed counts until its leases on primaries must have expired.
    [[nodiscard]] bool is_live(const host_id& host, instant now) const;
    /// True for a live host that has held its lease long enough for its view of the endpoints to be
    /// valid.
    [[nodiscard]] bool is_voting(const host_id& host, instant now) const;
    [[nodiscard]] std::size_t voting_count(instant now) const;
    /// Removes and returns the hosts whose registration was removed at least `after` ago.
    std::vector<host_id> take_removed(duration after, instant now);

private:
    struct entry {
        std::optional<instant> registered_at;  ///< Last registration; nullopt if there was none.
        std::optional<instant> removed;
        bool holds_lease = false;
        std::optional<instant> lease_since;
        std::optional<instant> lease_ended;
    };
    [[nodiscard]] static bool is_live(const entry& known, instant now);
    [[nodiscard]] static bool is_voting(const entry& known, instant now);
    [[nodiscard]] const entry* find(const host_id& host) const;

    std::map<host_id, entry> m_hosts;
};

}  // namespace jasminelead
