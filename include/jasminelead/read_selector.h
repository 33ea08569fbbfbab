#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "jasminelead/log_point.h"
#include "jasminelead/types.h"

/// Chooses the endpoint for a read.
namespace jasminelead {

/// What is known of one endpoint at the moment of the choice.
struct read_candidate {
    endpoint_id id;
    bool is_primary = false;
    bool is_local = false;  ///< In the data centre of this daemon.
    bool is_reachable = true;
    bool is_excluded = false;  ///< Tried before for this read.
    std::uint32_t slots = 1;
    std::uint32_t running = 0;       ///< Statements of this daemon.
    std::size_t waiting = 0;         ///< Statements of this daemon that wait for their turn.
    duration mean_time;              ///< Of a statement at this endpoint; zero while unknown.
    std::optional<log_point> point;  ///< Last known end of its log.
    duration lag;                    ///< How far it was behind the primary at its last answer.
    duration answer_age;             ///< Time since that answer.
};

struct read_constraint {
    /// The read must see this point; nothing when only the primary can answer.
    std::optional<log_point> after;
    /// Time since the point was reached by the primary: replicas with a smaller lag have it.
    duration point_age;
};

/// Index of the best candidate; nothing when none is usable.
std::optional<std::size_t> choose_read_endpoint(std::span<const read_candidate> candidates,
                                                const read_constraint& need);

}  // namespace jasminelead
