#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "jasminelead/types.h"

/// Which hosts are registered, alive, and know enough to vote.
///
/// Load pattern: the fleet is asked for many times a second and for each group, so that one answer
/// must not cost a walk over all hosts.
namespace jasminelead {

class host_liveness {
public:
    /// The host's registration was written.
    void on_registered(const host_id& host, instant now);
    /// The host's registration was removed.
    void on_removed(const host_id& host, instant now);
    /// The host renews its lease in the store, or has ceased to.
    void on_lease(const host_id& host, bool is_held, instant now);

    /// False for a host that was never registered, or whose registration was removed.
    [[nodiscard]] bool is_registered(const host_id& host) const;
    /// True for a registered host that holds its lease, or ceased to only a moment ago. One whose
    /// registration was removed counts as long as its own lease of primaries may last.
    [[nodiscard]] bool is_live(const host_id& host, instant now) const;
    /// True for a live host whose view of the endpoints counts: it has held its lease for a while.
    [[nodiscard]] bool is_voting(const host_id& host, instant now) const;
    [[nodiscard]] std::size_t voting_count(instant now) const;
    /// Forgets the hosts whose registration was removed `after` ago, and returns them.
    std::vector<host_id> take_removed(duration after, instant now);

private:
    struct entry {
        std::optional<instant> written;  ///< Nothing while the host is not known.
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
