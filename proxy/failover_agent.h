#pragma once

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "jasminelead/fleet_quorum.h"
#include "jasminelead/primary_replacement.h"
#include "jasminelead/primary_users.h"
#include "jasminelead/promotion.h"
#include "jasminelead/replacement_starts.h"
#include "platform/promotion_client.h"
#include "platform/wire.h"
#include "proxy/fleet_state.h"
#include "proxy/peer_sync.h"
#include "proxy/settings.h"
#include "proxy/status_query.h"
#include "proxy/store_sync.h"

namespace jasminelead::proxy {

/// Replaces primaries that are leaving or lost. Each replacement runs in a fiber of its own.
class failover_agent {
public:
    failover_agent(fleet_state& fleet, store_sync& sync, peer_sync& peers,
                   daemon::metrics& counters, const settings& options);

    void start();
    void set_promotion_address(const std::string& address) { m_promotion_address = address; }
    /// From now on this host starts no replacement: it may end before it has finished one. Those in
    /// progress go on.
    void begin_stop() { m_stopping = true; }
    /// True while no replacement of this host is in progress.
    [[nodiscard]] bool is_idle() const { return m_running.empty(); }
    /// From now on replacements in progress send no promotion.
    void stop() { m_stopped = true; }

private:
    /// State of a replacement that this daemon carries out.
    struct replacement_run {
        group_id group;
        group_record record;  ///< As this daemon wrote it last.
        endpoint_id old_primary;
        term_number term = 0;         ///< Highest term reported by the group's endpoints.
        term_number leader_term = 0;  ///< Lowest term in which an endpoint can lead the group.
        bool has_leader = false;      ///< The successor leads already.
        bool was_outdated = false;    ///< The record was of an earlier era before the mark.
        std::optional<log_point> taken_over_at;  ///< End of the successor's log.
        replacement kind = replacement::none;
        instant marked_at;           ///< When the mark was sent to the store.
        primary_users users;         ///< Of the old primary.
        bool has_all_hosts = false;  ///< `users` was read after the mark.
        /// When a replacement quorum of the granters was first found to know the mark.
        std::optional<instant> known_since;
        bool has_stepped_down = false;       ///< The old primary became a replica.
        bool may_be_promoted = false;        ///< A promotion may have been executed.
        std::optional<instant> accepted_at;  ///< When a promotion was sent that was accepted.
    };

    void run();
    void check_groups();
    /// True if this host may write the record of the present era that follows an outdated one.
    [[nodiscard]] bool may_replace_outdated(instant now) const;
    [[nodiscard]] bool needs_check(const group_id& group, const group_record& record,
                                   const std::set<endpoint_id>& reported) const;
    void check_group(const group_id& group, const group_record& record);
    std::vector<host_view> host_views(const group_id& group, const endpoint_id& primary) const;
    [[nodiscard]] bool reports_unreachable(const host_id& host, const endpoint_id& endpoint) const;
    /// The host has sent requests to this one recently.
    [[nodiscard]] bool is_heard(const host_id& host) const;
    std::set<host_id> present_hosts() const;
    primary_health assess_primary(const group_id& group, const endpoint_id& primary) const;
    [[nodiscard]] bool is_abandoned(const group_record& record) const;
    /// Gateways of the group whose reachability reports count. Only gateways connect to its
    /// endpoints.
    std::set<host_id> voters(const group_id& group) const;
    /// Number of voters that cannot reach the endpoint.
    std::size_t hosts_without(const group_id& group, const endpoint_id& endpoint) const;
    /// Delay before this host starts a replacement, by its rank among the hosts.
    duration start_delay(const group_id& group) const;
    void replace(const group_id& group, replacement kind);
    /// False unless the group's primary itself reports that it is a replica.
    [[nodiscard]] bool has_lost_role(const group_id& group) const;
    /// True when the record names a primary again.
    bool try_replace(const group_id& group, replacement kind);
    /// Reads the hosts that may use the old primary from the store. Call after the mark.
    void read_users(replacement_run& current);
    /// Chooses a successor and marks the group's record as changing.
    std::optional<replacement_run> write_mark(const group_id& group, replacement kind);
    /// Endpoints of the group that may succeed the recorded primary, also itself if
    /// `includes_primary`. Raises `term` to the highest one that they report.
    std::vector<successor_candidate> ask_candidates(const group_id& group,
                                                    const group_record& record,
                                                    bool includes_primary, term_number& term) const;
    /// Asks the endpoints once more which one leads.
    [[nodiscard]] bool does_successor_lead(const replacement_run& current) const;
    /// Asks until the endpoint has a free slot, at most until `deadline`.
    status_answer query_status_until(const endpoint_id& endpoint, instant deadline) const;
    void log_due(const group_id& group, const group_record& record, const primary_health& health,
                 replacement kind, bool only_by_role);
    /// Also records when a replacement quorum is found to know the mark.
    primary_stop_progress stop_progress(replacement_run& current) const;
    /// Hosts that have acknowledged the mark.
    std::set<host_id> acknowledging_hosts(const replacement_run& current) const;
    [[nodiscard]] bool is_replacement_quorum(const std::set<host_id>& hosts) const;
    void record_changes();
    void wait_until_primary_unused(replacement_run& current);
    [[nodiscard]] bool has_stopped_using_primary(const replacement_run& current,
                                                 const host_id& host) const;
    void hand_over_log(replacement_run& current);
    bool promote(replacement_run& current);
    bool wait_for_promotion(replacement_run& current);
    bool write_primary(replacement_run& current, const endpoint_id& primary);
    bool write_record(replacement_run& current, group_record record);
    /// `since` is when the step began, for steps whose length is logged.
    void log_step(const replacement_run& current, std::string_view step, std::string_view outcome,
                  std::optional<instant> since = std::nullopt) const;

    fleet_state& m_fleet;
    store_sync& m_sync;
    peer_sync& m_peers;
    daemon::metrics& m_counters;
    host_id m_self;
    std::string m_promotion_address;
    std::set<group_id> m_running;
    replacement_starts m_starts;
    pending_promotions m_pending;
    /// When a replacement became due, by group and revision of its record.
    std::map<std::pair<group_id, revision_number>, instant> m_due_since;
    bool m_stopping = false;
    bool m_stopped = false;
};

}  // namespace jasminelead::proxy
