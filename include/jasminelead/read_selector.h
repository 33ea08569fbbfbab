#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>

#include "jasminelead/log_point.h"
#include "jasminelead/types.h"

/// Cost-based choice of the endpoint for a read.
namespace jasminelead {

/// State of one endpoint at the time of the decision.
struct read_candidate {
    endpoint_id id;
    bool is_primary = false;
    bool is_local = false;  ///< In the same data centre as this daemon.
    bool is_reachable = true;
    bool is_excluded = false;  ///< Already tried for this read.
    std::uint32_t slots = 1;
    std::uint32_t running = 0;       ///< Statements of this daemon in progress.
    std::size_t waiting = 0;         ///< Queued statements of this daemon.
    duration mean_time;              ///< Mean statement time at this endpoint; zero while unknown.
    std::optional<log_point> point;  ///< Last known end of its log.
    duration lag;                    ///< Replication lag at its last answer.
    duration answer_age;             ///< Time since that answer.
};

struct read_constraint {
    /// The endpoint must have applied this point; nullopt if only the primary can serve the read.
    std::optional<log_point> after;
    /// Time since the primary reached the point; replicas with a smaller lag have applied it.
    duration point_age;
};

/// Index of the candidate with the lowest cost; nullopt if none is usable.
std::optional<std::size_t> choose_read_endpoint(std::span<const read_candidate> candidates,
                                                const read_constraint& need);

/// How a host chooses among endpoints that can all answer a read.
enum class read_balance {
    lowest_cost,
    random_choices,  ///< See `choose_balanced_read_endpoint`.
};

using random_source = std::minstd_rand;

/// An endpoint of lowest placement cost where this host has no statement yet, otherwise the cheaper
/// one of two drawn at random.
///
/// Load pattern: several hosts send reads to the same endpoints, and each knows only its own
/// statements there and how long the last ones took. Hosts that all take the lowest cost send to
/// the same endpoint at the same time, so that endpoints are overrun in turns while others idle.
std::optional<std::size_t> choose_balanced_read_endpoint(std::span<const read_candidate> candidates,
                                                         const read_constraint& need,
                                                         random_source& random);

}  // namespace jasminelead
