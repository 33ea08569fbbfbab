#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jasminelead/context.h"
#include "jasminelead/group_authority.h"
#include "jasminelead/group_source.h"
#include "jasminelead/messages.h"
#include "jasminelead/types.h"

/// Detection of failed primaries, promotion, repair and planned switches.
namespace jasminelead {

namespace failover_timing {
inline constexpr duration status_timeout = duration::from_ms(150);
inline constexpr duration probe_interval = duration::from_ms(100);
inline constexpr unsigned failed_probe_limit = 3;
/// A replica that heard the primary within this time proves that the primary is alive.
inline constexpr duration corroboration_window = duration::from_ms(300);
inline constexpr duration heartbeat_interval = duration::from_ms(500);
inline constexpr duration query_interval = duration::from_ms(500);
/// Time without an answer to a query after which the primary is called directly.
inline constexpr duration direct_check_delay = duration::from_ms(250);
inline constexpr duration owner_timeout = duration::from_ms(1000);
inline constexpr duration rank_delay = duration::from_ms(300);
inline constexpr duration survey_interval = duration::from_ms(250);
/// Upper limit of the survey backoff while no majority answers.
inline constexpr duration survey_interval_max = duration::from_ms(1000);
inline constexpr duration backoff_min = duration::from_ms(20);
inline constexpr duration backoff_max = duration::from_ms(80);
inline constexpr duration fence_retry_min = duration::from_ms(100);
inline constexpr duration fence_retry_max = duration::from_ms(1000);
inline constexpr unsigned promote_attempts_max = 3;
inline constexpr duration follow_retry_min = duration::from_ms(100);
inline constexpr duration follow_retry_max = duration::from_ms(2000);
/// Interval of status calls to owned replicas that follow their primary.
inline constexpr duration replica_check_interval = duration::from_ms(10'000);
/// A planned switch is abandoned when the successor has not caught up within this time.
inline constexpr duration switch_timeout = duration::from_ms(1000);
inline constexpr duration switch_poll_min = duration::from_ms(0.5);
inline constexpr duration switch_poll_max = duration::from_ms(20);
/// Interval between attempts to switch away from a leaving primary.
inline constexpr duration leaving_switch_interval = duration::from_ms(5000);
/// Minimum interval between query rounds started by `failover::refresh`.
inline constexpr duration refresh_interval = duration::from_ms(100);
inline constexpr duration promotion_lease = duration::from_ms(10'000);
}  // namespace failover_timing

/// Decides when a primary that is considered failed may be replaced.
class failover_policy {
public:
    failover_policy() = default;
    failover_policy(const failover_policy&) = delete;
    failover_policy& operator=(const failover_policy&) = delete;
    virtual ~failover_policy() = default;
    [[nodiscard]] virtual instant earliest_promotion(instant last_alive) const = 0;
};

namespace detail {

enum class group_activity { idle, surveying, waiting, fencing, promoting };
/// Reason for a status survey of a group's instances.
enum class survey_purpose { discover, primary_silent, owner_lost, planned_switch };
enum class call_purpose { heartbeat, probe, survey, fence, promote, follow, check };

struct control_attempt {
    std::uint64_t number = 0;
    call_purpose purpose = call_purpose::check;
    std::size_t instance = 0;
    std::uint64_t round = 0;
    instant expiry;
};

/// Last known state of one endpoint of a group.
struct group_instance {
    endpoint_id id;
    host_id owner;
    bool owned = false;
    std::optional<position_stamp> stamp;
    instant stamp_read_at;
    term_number following = 0;  ///< Term at which a follow call was accepted.
    instant next_repair;
    duration repair_pause = failover_timing::follow_retry_min;
    std::optional<endpoint_state> answer;  ///< Answer to the survey or fence in progress.
    bool asked = false;                    ///< A call of the round in progress is outstanding.
    bool refused = false;                  ///< Refused the fence in progress.
};

/// A promotion in progress.
struct promotion_attempt {
    term_number term = 0;
    std::string candidate;
    endpoint_id successor;  ///< Set for a planned switch.
    std::size_t chosen = 0;
    unsigned tries = 0;
    instant retry_at;
    duration retry_pause = failover_timing::fence_retry_min;
};

struct group_state {
    group_id id;
    group_view view;
    term_history terms;
    term_number highest_term = 0;
    std::vector<group_instance> instances;  ///< Sorted by name.
    host_id primary_owner;
    duration replica_stagger;  ///< Candidacy delay by rank among the owners of replicas.
    duration owner_stagger;    ///< Candidacy delay by rank among all owners.
    bool active = false;       ///< This daemon owns an endpoint of the group.
    bool changed = false;
    std::vector<control_attempt> calls;

    instant primary_alive;  ///< Latest time at which the primary was known to be alive.
    instant primary_heard;
    instant owner_heard;
    instant next_heartbeat;
    instant next_query;
    instant next_direct_check;  ///< Next status call to a primary whose owner does not answer.
    instant next_refresh;
    bool owner_failed = false;

    bool probing = false;
    bool reset_seen = false;
    unsigned refusals = 0;
    unsigned failures = 0;
    instant next_probe;

    group_activity activity = group_activity::idle;
    survey_purpose purpose = survey_purpose::discover;
    std::uint64_t round = 0;
    instant resume_at;
    duration survey_pause = failover_timing::survey_interval;
    /// A promotion attempt of this daemon was abandoned; it may still have succeeded.
    bool attempt_unresolved = false;
    std::optional<instant> leaderless_since;
    promotion_attempt attempt;

    endpoint_id successor;
    instant switch_deadline;
    bool primary_requeried = false;
    duration switch_pause = failover_timing::switch_poll_min;
    instant next_leaving_switch;
};

}  // namespace detail

/// The failover state of all groups of the fleet. Only groups of which this daemon owns an
/// endpoint are monitored; the views of other groups come from peers.
class failover final : public group_authority, public group_source {
public:
    /// Throws std::invalid_argument for a policy that is not registered.
    explicit failover(core_context& context, std::string_view policy = "default");

    /// The view has term 0 and an empty primary while the group's primary is unknown.
    [[nodiscard]] const group_view& view(const group_id& group) const override;
    [[nodiscard]] const term_history& terms(const group_id& group) const override;
    /// The highest term seen at any instance; a primary of a lower term has been superseded.
    [[nodiscard]] term_number highest_term(const group_id& group) const;
    /// True during a planned switch and while this daemon suspects the primary.
    [[nodiscard]] bool writes_held(const group_id& group) const override;
    [[nodiscard]] std::optional<position_stamp> last_stamp(const endpoint_id& endpoint) const;

    void on_stamp(const endpoint_id& endpoint, const position_stamp& stamp, instant now,
                  action_list& out) override;
    /// Reports the answer to a status call of another module, sent less than `status_timeout` ago.
    void on_state(const endpoint_id& endpoint, const endpoint_state& state, instant now,
                  action_list& out);
    void on_view(const group_id& group, const group_view& view, instant now,
                 action_list& out) override;
    void on_connection_error(const endpoint_id& endpoint, endpoint_error error, instant now,
                             action_list& out) override;
    void on_control(const control_answered& answer, instant now, action_list& out);
    void on_query(const host_id& from, const group_query& query, instant now, action_list& out);
    void on_report(const host_id& from, const group_report& report, instant now, action_list& out);
    void on_peer_failed(const peer_failed& failure, instant now, action_list& out);
    /// Starts a planned switch. Daemons that do not own the group's primary ignore the request.
    void switchover(const switchover_requested& request, instant now, action_list& out);
    /// Asks the owners of the group's endpoints for their view, at most every 100 ms.
    void refresh(const group_id& group, instant now, action_list& out);
    void on_fleet_changed(instant now, action_list& out);
    void tick(instant now, action_list& out);
    [[nodiscard]] std::optional<instant> next_wakeup() const;
    /// Returns the groups whose view changed since the last call.
    std::vector<group_id> take_changed();

private:
    using group = detail::group_state;
    using instance = detail::group_instance;
    struct endpoint_location {
        group* parent = nullptr;
        std::size_t index = 0;
    };

    // failover.cc: events, views and repair.
    [[nodiscard]] const group* find(const group_id& id) const;
    group* find(const group_id& id);
    [[nodiscard]] std::optional<endpoint_location> find(const endpoint_id& id) const;
    void reconcile(group& g, instant now);
    void find_primary_owner(group& g, instant now);
    [[nodiscard]] bool owns_primary(const group& g) const;
    void adopt(group& g, const group_view& view, instant now, action_list& out);
    void apply_state(group& g, instance& from, const endpoint_state& state, instant now,
                     action_list& out);
    void apply_stamp(group& g, instance& from, const position_stamp& stamp, instant read,
                     instant now, action_list& out);
    static void schedule_repair(instance& at, instant now);
    static void merge_terms(group& g, const term_history& terms);
    void step(group& g, instant now, action_list& out);
    [[nodiscard]] std::optional<instant> due(const group& g) const;
    void repair(group& g, instant now, action_list& out);
    void send_follow(group& g, std::size_t index, instant now, action_list& out);
    void on_repair_answered(group& g, instance& at, const control_result* result,
                            detail::call_purpose purpose, instant now);
    [[nodiscard]] group_report report_of(const group& g, instant now) const;
    void announce(const group& g, instant now, action_list& out) const;
    void call(group& g, std::size_t index, detail::call_purpose purpose, control_request request,
              bool new_connection, instant now, action_list& out);
    void answered(group& g, const detail::control_attempt& call, const control_result* result,
                  endpoint_error error, instant now, action_list& out);
    void expire_calls(group& g, instant now, action_list& out);

    // failover_detection.cc: heartbeats, probes and surveys.
    void monitor(group& g, instant now, action_list& out);
    void monitor_primary(group& g, instant now, action_list& out);
    void monitor_owner(group& g, instant now, action_list& out);
    [[nodiscard]] static instant candidate_due(const group& g);
    [[nodiscard]] duration stagger(const group& g, bool with_primary_owner) const;
    void suspect(group& g, endpoint_error error, instant now, action_list& out);
    void probe_failed(group& g, endpoint_error error, instant now, action_list& out);
    static void return_to_idle(group& g, instant now);
    void start_survey(group& g, detail::survey_purpose purpose, instant now, action_list& out);
    void evaluate_survey(group& g, instant now, action_list& out);
    void evaluate_leaderless(group& g, instant now, action_list& out);
    void evaluate_suspicion(group& g, instant now, action_list& out);
    void evaluate_switch(group& g, instant now, action_list& out);
    [[nodiscard]] bool majority_suffices(const group& g) const;
    [[nodiscard]] bool hears_primary(const group& g, const instance& replica) const;
    static void wait(group& g, instant until);
    void resume(group& g, instant now, action_list& out);

    // failover_promotion.cc: fencing, choice of the candidate and promotion.
    void begin_promotion(group& g, instant now, action_list& out);
    void start_attempt(group& g, const endpoint_id& successor, instant now, action_list& out);
    void send_fences(group& g, instant now, action_list& out);
    void evaluate_fences(group& g, instant now, action_list& out);
    [[nodiscard]] bool planned_fences_pending(const group& g) const;
    [[nodiscard]] std::size_t choose(const group& g) const;
    void send_promote(group& g, instant now, action_list& out);
    void promote_answered(group& g, const control_result* result, instant now, action_list& out);
    void abandon_attempt(group& g, instant now, action_list& out);

    core_context& m_context;
    std::unique_ptr<failover_policy> m_policy;
    std::map<group_id, group> m_groups;
    std::unordered_map<endpoint_id, endpoint_location> m_endpoints;
    std::uint64_t m_last_call = 0;
    std::uint64_t m_last_attempt = 0;
};

/// The highest term whose start position the endpoint's log has reached.
term_number complete_term(const endpoint_state& state);

/// Smallest number of instances that is more than half.
constexpr std::size_t majority_of(std::size_t instances) {
    return instances / 2 + 1;
}

}  // namespace jasminelead
