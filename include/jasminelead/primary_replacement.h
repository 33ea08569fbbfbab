#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "jasminelead/log_point.h"
#include "jasminelead/promotion.h"
#include "jasminelead/types.h"

/// Decides when a primary is replaced and by which replica.
namespace jasminelead {

/// What the host that decides knows about one registered host.
struct host_view {
    bool holds_lease = false;     ///< Reaches the store: it renews its lease there.
    bool is_heard = false;        ///< Has sent requests to the deciding host recently.
    bool is_voting = false;       ///< Its view of the endpoints is up to date.
    bool is_gateway = false;      ///< Connects to the group's endpoints directly.
    bool reaches_primary = true;  ///< Does not report the primary as unreachable.
};

/// Reachability of a group's primary as seen by the fleet. Hosts are daemons.
struct primary_health {
    std::size_t present = 0;   ///< Hosts that may be able to use the primary.
    std::size_t hosts = 0;     ///< Hosts with an up-to-date view.
    std::size_t gateways = 0;  ///< Present hosts that connect to the group's endpoints directly.
    std::size_t voters = 0;    ///< Gateways with an up-to-date view.
    std::size_t voters_without_primary = 0;  ///< Voters that cannot connect to the primary.
    bool can_reach_granters = true;          ///< A replacement quorum of the granters is present.
    bool is_listed = true;
    bool reports_replica_role = false;  ///< For longer than its status reports take to arrive.
    bool is_leaving = false;
};

enum class replacement {
    none,
    planned,  ///< The primary still serves; its whole log is transferred first.
    urgent,   ///< Most hosts have lost the primary.
};

/// Counts the hosts; the properties of the primary itself keep their defaults.
primary_health count_hosts(std::span<const host_view> hosts);

replacement decide_replacement(const primary_health& health);

struct successor_candidate {
    endpoint_id id;
    log_point received;  ///< End of its log.
    reported_role reported;
    std::size_t hosts_without = 0;           ///< Hosts that cannot connect to it.
    bool is_in_primary_data_centre = false;  ///< In the data centre of the current primary.
};

/// True if the log contains commits of an earlier primary that were rolled back when the current
/// primary was promoted in `term` at `taken_over_at`.
bool has_diverged(const log_point& received, term_number term, const log_point& taken_over_at);

/// Index of a candidate that leads the group already.
std::optional<std::size_t> find_leader(std::span<const successor_candidate> candidates,
                                       term_number newest);

/// Index of the candidate with the most complete log, preferring endpoints that most hosts reach.
/// An endpoint whose promotion is pending comes first, because its promotion cannot be withdrawn.
std::optional<std::size_t> choose_successor(std::span<const successor_candidate> candidates,
                                            std::size_t hosts,
                                            const std::optional<endpoint_id>& pending);

}  // namespace jasminelead
