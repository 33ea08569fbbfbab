#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <span>

#include "jasminelead/gateway.h"
#include "jasminelead/types.h"

/// Quorum rules by which hosts use primaries while the store does not answer them.
///
/// The store names a small set of granters. A host without the store may use the known primaries
/// for one lease length after a round of requests in which a grant quorum of the granters knew no
/// newer record of any group. A host that replaces a primary waits until a replacement quorum has
/// acknowledged its mark. Every grant quorum contains a host of every replacement quorum, so that
/// from then on a round either fails or tells the host of the mark.
namespace jasminelead {

/// Granters as the store names them.
struct granter_set {
    revision_number revision = 0;
    std::set<host_id> members;
    std::set<host_id> previous;  ///< Members before the last change.
    bool operator==(const granter_set&) const = default;
};

/// Time after its last answer from the store for which a host may rely on granters.
inline constexpr duration max_time_on_grants = duration::from_ms(8000);

/// Two thirds, so that the hosts on the smaller side of a partition can replace a primary if they
/// reach the store.
constexpr std::size_t grant_quorum(std::size_t granters) {
    return granters - granters / 3;
}

/// The smallest number that overlaps with every grant quorum.
constexpr std::size_t replacement_quorum(std::size_t granters) {
    return granters + 1 - grant_quorum(granters);
}

/// True if a host whose last answer of the store is `store_age` old may use primaries for one lease
/// length after a round in which `granted_by` granted.
bool may_rely_on_grants(const granter_set& granters, const std::set<host_id>& granted_by,
                        duration store_age, duration lease_length);

/// True if no grant quorum is left among the hosts that have not acknowledged a mark. Until the
/// granters are known for `max_time_on_grants`, hosts may rely on the previous ones, and on the
/// members of the sets that the store has `lost` with an earlier era.
bool is_replacement_known(const granter_set& granters, std::span<const std::set<host_id>> lost,
                          duration known_for, const std::set<host_id>& acknowledged);

/// Granters for a fleet of these hosts, spread over the data centres.
std::set<host_id> choose_granters(std::span<const host_placement> hosts);

/// True if the granters may be changed. A change before all hosts know the last one would leave
/// hosts that rely on granters which no replacement asks.
bool may_change_granters(const std::optional<granter_set>& known, duration known_for);

}  // namespace jasminelead
