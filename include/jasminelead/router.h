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

/// Chooses the endpoint of a read from what is known of the endpoints.
namespace jasminelead {

/// What an endpoint must satisfy to answer a read.
struct read_requirements {
    const group_id& group;
    const group_view& view;
    const term_history& terms;
    const session_entry* session = nullptr;  ///< Null when the session wrote nothing here.
    duration max_age;                        ///< 0: the primary with a confirmed term.
    duration remaining;                      ///< Time left until the deadline.
    const endpoint_id* avoid = nullptr;      ///< Endpoint that just failed this read.
    bool may_wait = true;                    ///< False once the read waited for a replica.
    bool expect = true;  ///< Count on replicas to have applied what they should have by now.
};

/// Why the router chose as it did.
enum class route_cause {
    replica,           ///< A replica satisfies the read.
    old_state,         ///< A replica with an old known state, to learn its present one.
    mark_refresh,      ///< The primary, to renew the mark before it gets too old.
    primary_required,  ///< The read asks for the primary, or the policy uses nothing else.
    no_replica,        ///< The primary, because no replica satisfies the read.
};
std::string_view to_string(route_cause cause);

struct route_choice {
    const endpoint_entry* endpoint = nullptr;  ///< Valid while the fleet is unchanged.
    route_cause cause = route_cause::replica;
    bool confirm = false;
};
/// A replica is about to catch up.
struct route_wait {
    instant until;
};
using route = std::variant<route_choice, route_wait, reason>;

namespace detail {

/// What is known of one endpoint.
struct endpoint_record {
    std::optional<position_stamp> stamp;
    instant stamped;                       ///< When the stamp was read.
    duration lag;                          ///< Estimated time behind the primary.
    double apply_rate = 0;                 ///< Positions per ms; 0 while it is unknown.
    bool lagging = false;                  ///< Left the candidates because of its lag.
    std::optional<instant> probe_sent_at;  ///< Last read sent only to learn the state.
    double health = 1;
    instant health_at;
    std::uint32_t in_flight = 0;
    duration latency;  ///< Moving average; 0 while it is unknown.
};

struct routing_policy {
    std::string_view name;
    bool use_replicas;
};

}  // namespace detail

class router {
public:
    /// An unknown policy name stands for `default`. The arguments must outlive the router.
    router(const core_context& context, freshness& marks, std::string_view policy = "default");

    static bool has_policy(std::string_view name);

    /// Allocates only at the first choice for a group after the fleet or the table changed.
    route choose(const read_requirements& read, instant now, std::mt19937_64& random);

    /// Time until a replica is likely to satisfy the read; nothing when it cannot be estimated.
    std::optional<duration> catch_up_time(const read_requirements& read, instant now);

    void on_sent(const endpoint_id& endpoint);
    /// The attempt ended without an answer that tells about the endpoint's speed.
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
        /// Positions that the primary had at the latest at that time. Unlike marks they prove no
        /// age, because nothing confirmed the primary's term.
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
