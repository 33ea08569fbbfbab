#pragma once

#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jasminelead/types.h"

/// Known hosts and endpoints, and the assignment of endpoints to daemons.
namespace jasminelead {

/// An immutable snapshot of the fleet. Membership builds a new one when the fleet changes.
class directory {
public:
    directory() = default;
    /// `hosts` are the daemons that may own endpoints: live ones that are not leaving.
    directory(std::vector<host_entry> hosts, std::vector<endpoint_entry> endpoints);

    [[nodiscard]] std::span<const host_entry> hosts() const { return m_hosts; }
    [[nodiscard]] std::span<const endpoint_entry> endpoints() const { return m_endpoints; }
    [[nodiscard]] const host_entry* host(const host_id& id) const;
    [[nodiscard]] const endpoint_entry* endpoint(const endpoint_id& id) const;
    /// Endpoints of a group sorted by name; empty for an unknown group.
    [[nodiscard]] std::span<const endpoint_entry> endpoints_of(const group_id& group) const;
    /// The daemon that owns the endpoint; null if no daemon is live.
    [[nodiscard]] const host_id* owner_of(const endpoint_id& id) const;

private:
    struct group_range {
        std::size_t first = 0;
        std::size_t size = 0;
    };
    std::vector<host_entry> m_hosts;          // Sorted by id.
    std::vector<endpoint_entry> m_endpoints;  // Sorted by group, then id.
    std::vector<host_id> m_owners;            // Owner of each endpoint; empty if there is none.
    std::unordered_map<endpoint_id, std::size_t> m_endpoint_index;
    std::unordered_map<group_id, group_range> m_groups;
};

/// Hosts by descending rendezvous weight for the key.
std::vector<const host_entry*> rendezvous_order(std::span<const host_entry> hosts,
                                                std::string_view key);

/// The daemons of a data centre that watch the table in the store.
std::vector<host_id> relays_of(const directory& fleet, const data_centre_id& data_centre);

}  // namespace jasminelead
