#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jasminelead/context.h"
#include "jasminelead/messages.h"

/// Failure detection of daemons with the SWIM protocol, over the hosts in the platform's list.
namespace jasminelead {

/// This daemon's view of one host.
struct member_status {
    host_id host;
    data_centre_id data_centre;
    std::string address;
    liveness state = liveness::alive;
    member_state listed = member_state::live;
    incarnation_number incarnation = 0;  ///< 0 until the host is first heard.
    instant since;                       ///< Time of the last change of `state`.
    bool in_fleet = false;
};

/// Updates piggybacked on pings, those with the most transmissions left first.
class update_queue {
public:
    void push(const member_update& update, std::size_t hosts);
    /// Returns up to `wanted` updates. Each is dropped after its last transmission.
    std::vector<member_update> take(std::size_t wanted);

private:
    struct item {
        member_update update;
        int transmissions_left = 0;
    };
    std::vector<item> m_items;
};

/// Replaces `core_context::fleet` when the live hosts or the endpoints change.
class membership {
public:
    explicit membership(core_context& context);

    /// The list adds and removes hosts but does not change their liveness. A list without hosts is
    /// ignored.
    void on_host_list(const host_list& list, instant now, action_list& out);
    void on_ping(const host_id& from, const ping& message, instant now, action_list& out);
    void on_ping_ack(const host_id& from, const ping_ack& message, instant now, action_list& out);
    void on_ping_request(const host_id& from, const ping_request& message, instant now,
                         action_list& out);
    void on_ping_request_ack(const host_id& from, const ping_request_ack& message, instant now,
                             action_list& out);
    void on_peer_failed(const peer_failed& failure, instant now, action_list& out);
    /// Reports the arrival of any message from the host, which ends a suspicion.
    void on_peer_heard(const host_id& from, instant now);
    void tick(instant now, action_list& out);
    [[nodiscard]] std::optional<instant> next_wakeup() const;

    /// True once after each change of `core_context::fleet`.
    bool take_changed();
    [[nodiscard]] std::vector<member_status> status() const;
    /// Announces that this host leaves and removes it from its own fleet.
    void leave(instant now, action_list& out);

private:
    struct member {
        std::optional<host_entry> entry;  // Empty while only messages name the host.
        liveness state = liveness::alive;
        incarnation_number incarnation = 0;
        instant since;
        instant first_seen;
        std::optional<instant> joined_at;  // When its current incarnation was first heard.
        std::optional<instant> absent_since;
        // Time of death; set only by the daemon that raised the suspicion itself.
        std::optional<instant> suspicion_deadline;
        instant reported_suspicion_deadline;  // End of a suspicion raised by another daemon.
        int deaths = 0;                       // Deaths within the flapping window.
        instant last_death;
        instant hold_down_until;  // A flapping host rejoins the fleet then.
    };
    struct probe {
        std::uint64_t sequence = 0;
        host_id target;
        instant sent;
        bool indirect = false;                // Other daemons were asked to ping the target.
        std::optional<host_id> requested_by;  // Set for pings on behalf of another daemon.
        std::uint64_t requester_sequence = 0;
    };
    struct listed_endpoint {
        endpoint_entry entry;
        std::optional<instant> absent_since;
    };

    // State changes: membership.cc
    member& find_or_add(const host_id& host, instant now);
    void on_alive(const host_id& from, incarnation_number incarnation, instant now);
    void on_update(const member_update& update, instant now);
    void refute(const member_update& update);
    void apply_updates(const std::vector<member_update>& updates, instant now);
    void set_state(const host_id& host, member& item, liveness state, instant now);
    void suspect(const host_id& host, duration suspicion_timeout, instant now, action_list& out);
    void mark_replaced_hosts_dead(const host_id& host, const member& item, instant now);

    // Probes: membership_probe.cc
    void probe_next(instant now, action_list& out);
    void send_ping(const host_id& target, probe item, instant now, action_list& out);
    std::vector<member_update> updates_for(const host_id& to, instant now);
    void append_departed(std::vector<member_update>& updates);
    void check_probes(instant now, action_list& out);
    void request_indirect_pings(probe& item, action_list& out);
    void probe_failed(const host_id& target, instant now, action_list& out);
    void check_suspects(instant now);
    void resume_after_pause(instant now);
    std::vector<host_id> pick_random_alive(std::size_t wanted, const host_id& except);
    [[nodiscard]] revision_number table_revision() const;

    // Fleet: membership_fleet.cc
    void merge_hosts(const std::vector<host_entry>& hosts, instant now);
    void remove_absent_hosts(const std::vector<host_entry>& hosts, instant now);
    void remove_replaced_hosts(const std::vector<host_entry>& hosts);
    void merge_endpoints(const std::vector<endpoint_entry>& endpoints, instant now);
    [[nodiscard]] bool is_in_fleet(const member& item, instant now) const;
    [[nodiscard]] static bool is_leaving(const member& item);
    void update_fleet(instant now);

    core_context& m_context;
    incarnation_number m_incarnation;  // Raised by refutations.
    bool m_leaving = false;
    bool m_changed = false;
    std::map<host_id, member> m_members;  // All hosts except this one.
    std::optional<host_entry> m_self;
    std::map<endpoint_id, listed_endpoint> m_endpoints;
    std::set<host_id> m_hosts_with_deadline;  // Suspects and hosts in hold-down.
    update_queue m_updates;
    std::vector<probe> m_probes;
    std::vector<host_id> m_probe_queue;  // Hosts not yet pinged in this round.
    host_id m_last_departed;             // Resume point of append_departed.
    std::uint64_t m_sequence = 0;
    instant m_next_ping;
    instant m_last_tick;
    std::vector<std::string> m_log_lines;  // Logged at the next tick.
};

}  // namespace jasminelead
