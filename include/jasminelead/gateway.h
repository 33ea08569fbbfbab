#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "jasminelead/types.h"

/// Which hosts run the statements of a group.
///
/// Load pattern: more hosts than an endpoint has connections to give. If each host kept its own,
/// statements would wait for connections that are idle elsewhere. A few hosts of each data centre,
/// the gateways of the group, connect to its endpoints; the other hosts pass statements to them.
namespace jasminelead {

struct host_placement {
    host_id host;
    data_centre_id data_centre;
    double cpu_share = 1;  ///< Cores that the host has for its daemon.
    bool operator==(const host_placement&) const = default;
};

/// What one endpoint of a group accepts.
struct endpoint_capacity {
    std::uint32_t max_connections = 1;
    std::uint32_t slots = 1;  ///< Statements that it runs at once.
};

/// Rank of a host among others for a group; the same on all hosts.
std::uint64_t host_weight(const group_id& group, const host_id& host);

/// All hosts when each can have a connection for every slot; otherwise some of each data centre.
/// A host that joins or leaves moves the role of few others.
std::vector<host_placement> choose_gateways(const group_id& group,
                                            std::span<const host_placement> hosts,
                                            const endpoint_capacity& capacity);

/// The gateways in the order in which the host asks them: those of its data centre first, and
/// differently for each host, so that the load spreads.
std::vector<host_id> order_gateways(const group_id& group, std::span<const host_placement> gateways,
                                    const host_placement& asking);

}  // namespace jasminelead
