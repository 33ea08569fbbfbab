#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "jasminelead/log_point.h"
#include "jasminelead/types.h"

/// When a primary is replaced, and by which replica.
namespace jasminelead {

/// What is known of a group's primary. Hosts are daemons.
struct primary_health {
    std::size_t registered = 0;
    std::size_t hosts = 0;                   ///< Registered hosts whose view is up to date.
    std::size_t gateways = 0;                ///< Hosts that connect to the group's endpoints.
    std::size_t voters = 0;                  ///< Gateways whose view is up to date.
    std::size_t voters_without_primary = 0;  ///< Voters that cannot open a connection to it.
    bool is_listed = true;
    bool reports_replica_role = false;  ///< For longer than its reports take.
    bool is_leaving = false;
};

enum class replacement {
    none,
    planned,  ///< The primary still serves; its log is handed over completely.
    urgent,   ///< The primary is lost to most hosts.
};

replacement decide_replacement(const primary_health& health);

struct successor_candidate {
    endpoint_id id;
    log_point received;                      ///< End of its log.
    std::size_t hosts_without = 0;           ///< Hosts that cannot open a connection to it.
    bool is_in_primary_data_centre = false;  ///< In the data centre of the present primary.
};

/// True when the log holds commits of an earlier primary that the promotion of the present one, in
/// `term` and from `taken_over_at` on, has rolled back.
bool has_diverged(const log_point& received, term_number term, const log_point& taken_over_at);

/// Index of the most complete log among the endpoints that most hosts reach.
std::optional<std::size_t> choose_successor(std::span<const successor_candidate> candidates,
                                            std::size_t hosts);

}  // namespace jasminelead
