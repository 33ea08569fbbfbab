#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "jasminelead/types.h"

/// Selects the hosts that connect to the endpoints of a group.
///
/// Load pattern: more hosts than an endpoint accepts connections. If every host had its own,
/// statements would wait on one host while connections are idle on another. Therefore only a few
/// hosts of each data centre, the gateways of the group, connect to its endpoints; the other hosts
/// forward statements to them.
namespace jasminelead {

struct host_placement {
    host_id host;
    data_centre_id data_centre;
    double cpu_share = 1;  ///< CPU cores available to the daemon.
    bool operator==(const host_placement&) const = default;
};

/// Limits of one endpoint of a group.
struct endpoint_capacity {
    std::uint32_t max_connections = 1;
    std::uint32_t slots = 1;  ///< Maximum number of concurrent statements.
};

/// Rendezvous hash of a host for a group; every host computes the same value.
std::uint64_t host_weight(const group_id& group, const host_id& host);

/// Returns all hosts if each can have a connection for every slot, otherwise some hosts of each
/// data centre. A host that joins or leaves changes the role of at most a few others.
std::vector<host_placement> choose_gateways(const group_id& group,
                                            std::span<const host_placement> hosts,
                                            const endpoint_capacity& capacity);

/// The gateways in the order in which `requester` tries them: itself, then those of its data
/// centre. The order differs between hosts, which spreads the load.
std::vector<host_id> order_gateways(const group_id& group, std::span<const host_placement> gateways,
                                    const host_placement& requester);

/// The gateways in the order in which hosts of the data centre try them for an account. All hosts
/// there try the same one first, so that it can keep connections of the account open.
std::vector<host_id> order_gateways_for_account(const group_id& group, const account_id& account,
                                                std::span<const host_placement> gateways,
                                                const data_centre_id& data_centre);

}  // namespace jasminelead
