#pragma once

#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "jasminelead/context.h"
#include "jasminelead/freshness.h"
#include "jasminelead/token.h"
#include "jasminelead/types.h"

/// Routes reads to endpoints, based on the last known state of each endpoint.
namespace jasminelead {

/// Requirements that an endpoint must meet to serve a read.
struct read_requirements {
    const group_id& group;
    const group_view& view;
    const term_history& terms;
    const session_entry* session = nullptr;  ///< Null if the session wrote nothing to this group.
    duration max_age;    ///< Maximum age of the data; 0 requires the primary with a confirmed term.
    duration remaining;  ///< Time left until the deadline.
    const endpoint_id* avoid = nullptr;  ///< Endpoint that just failed this read.
    bool may_wait = true;                ///< False once the read has waited for a replica.
    bool expect = true;  ///< Assume that a replica has applied writes older than its lag.
};

/// Reason for a routing decision.
enum class route_cause {
    replica,           ///< A replica meets the requirements.
    old_state,         ///< A replica whose known state is outdated, to refresh that state.
    mark_refresh,      ///< The primary, to renew the freshness mark before it expires.
    primary_required,  ///< The read or the routing policy requires the primary.
    no_replica,        ///< The primary, because no replica meets the requirements.
};
std::string_view to_string(route_cause cause);

struct route_choice {
    const endpoint_entry* endpoint = nullptr;  ///< Valid until the fleet changes.
    route_cause cause = route_cause::replica;
    bool confirm = false;
};
/// Wait until `until`, when a replica is expected to have caught up.
struct route_wait {
    instant until;
};
using route = std::variant<route_choice, route_wait, reason>;

namespace detail {

/// Last known state and load of one endpoint.
struct endpoint_record {
    std::optional<position_stamp> stamp;
    instant stamped;                       ///< Time at which the stamp was read.
    duration lag;                          ///< Estimated time behind the primary.
    double apply_rate = 0;                 ///< Positions per ms; 0 while unknown.
    bool lagging = false;                  ///< Excluded from the candidates because of its lag.
    std::optional<instant> probe_sent_at;  ///< Time of the last read sent to refresh the state.
    double health = 1;
    instant health_at;
    std::uint32_t in_flight = 0;
    duration latency;  ///< Moving average; 0 while unknown.
};

struct routing_policy {
    std::string_view name;
    bool use_replicas;
};

}  // namespace detail

class router {
public:
    /// Throws std::invalid_argument for an unknown policy name. `context` and `marks` must outlive
    /// the router.
    router(const core_context& context, freshness& marks, std::string_view policy = "default");

    static bool has_policy(std::string_view name);

    /// Allocates only on the first call for a group after a change of the fleet or the table.
    route choose(const read_requirements& read, instant now, std::mt19937_64& random);

    /// Estimated time until a replica meets the requirements; nullopt if it cannot be estimated.
    std::optional<duration> catch_up_time(const read_requirements& read, instant now);

    void on_sent(const endpoint_id& endpoint);
    /// The attempt ended without an answer from which a latency could be measured.
    void on_dropped(const endpoint_id& endpoint);
    void on_answer(const endpoint_id& endpoint, duration latency, instant now);
    void on_error(const endpoint_id& endpoint, instant now);
    /// The stamp was read between `earliest` and `latest`.
    void on_stamp(const endpoint_id& endpoint, const position_stamp& stamp, instant earliest,
                  instant latest);

    [[nodiscard]] double health(const endpoint_id& endpoint, instant now) const;
    [[nodiscard]] std::uint32_t in_flight(const endpoint_id& endpoint) const;

private:
    struct member {
        const endpoint_entry* entry = nullptr;
        detail::endpoint_record* record = nullptr;
        double weight = 0;
        bool local = false;
    };
    struct group_plan {
        std::uint64_t generation = 0;
        std::vector<member> members;
        group_marks* marks = nullptr;
        /// Positions that the primary had reached at the recorded time or earlier. Unlike freshness
        /// marks they prove no age, because the primary's term was not confirmed.
        group_marks observed;
        duration max_age;
        std::optional<instant> refreshed;
    };

    group_plan& plan(const group_id& group);
    void forget_absent();
    void rebuild(group_plan& plan, const group_id& group);
    route choose_primary(const read_requirements& read, const group_plan& plan, route_cause cause,
                         instant now) const;
    bool needs_mark_refresh(const read_requirements& read, group_plan& plan, instant now) const;
    const member* choose_replica(const read_requirements& read, group_plan& plan, instant now,
                                 std::mt19937_64& random) const;
    const member* choose_replica_to_probe(const read_requirements& read, group_plan& plan,
                                          instant now) const;

    const core_context& m_context;
    freshness& m_marks;
    const detail::routing_policy* m_policy;
    std::unordered_map<endpoint_id, detail::endpoint_record> m_records;
    std::unordered_map<group_id, group_plan> m_plans;
    // The plans hold pointers into these. They are kept to notice a change.
    std::shared_ptr<const directory> m_fleet;
    std::shared_ptr<const table> m_config;
    std::uint64_t m_generation = 1;
};

}  // namespace jasminelead
