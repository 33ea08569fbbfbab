#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "jasminelead/admission.h"
#include "jasminelead/connection_pool.h"
#include "jasminelead/context.h"
#include "jasminelead/endpoint_claim.h"
#include "jasminelead/group_authority.h"
#include "jasminelead/messages.h"
#include "jasminelead/write_confirmation.h"

/// Management of the endpoints that this daemon owns: claims, connections, statements and
/// transactions.
namespace jasminelead {

namespace detail {

/// True if the answer is valid only after a majority confirms its term.
bool needs_confirmation(const statement_call& call);

/// A statement call that has no reply yet.
struct pending_call {
    enum class place { queued, held, running };

    host_id from;
    statement_call call;
    instant deadline;
    place where = place::queued;
    bool refused = false;           ///< The endpoint itself refused the statement.
    connection_id connection = 0;   ///< 0 until the statement is sent.
    std::uint64_t transaction = 0;  ///< 0 for a single statement.
    instant started;
    instant slow_check_at;    ///< When to report the endpoint as slow; max() once reported.
    instant answer_deadline;  ///< When the connection counts as silent.
    duration charged;
    term_number term = 0;  ///< Term of the primary when the statement was sent.
};

/// A transaction that is bound to a connection.
struct open_transaction {
    connection_id connection = 0;
    service_id service;
    term_number term = 0;
    std::uint64_t call = 0;  ///< Call in progress; 0 if none.
    instant last_used;
};

struct owned_endpoint {
    endpoint_id id;
    group_id group;
    endpoint_claim claim;
    connection_pool pool;
    admission queue;
    std::map<std::uint64_t, pending_call> calls;  ///< By call number, in order of arrival.
    std::map<std::uint64_t, open_transaction> transactions;
    std::uint32_t running = 0;
    std::size_t held = 0;
    bool wanted = false;  ///< The fleet directory assigns the endpoint to this daemon.
    /// Set while open work finishes before the claim is released.
    std::optional<instant> handover_deadline;
    std::optional<instant> leaving_since;
    duration open_backoff;
    instant next_open;
};

/// Numbers of recently lost transactions: at most 1,024, each kept for 60 s.
class lost_transactions {
public:
    void add(std::uint64_t number, instant now);
    void expire(instant now);
    [[nodiscard]] bool contains(std::uint64_t number) const { return m_numbers.contains(number); }

private:
    struct item {
        std::uint64_t number = 0;
        instant lost_at;
    };
    std::deque<item> m_items;
    std::set<std::uint64_t> m_numbers;
};

}  // namespace detail

/// Runs statement calls on the endpoints that the fleet directory assigns to this daemon.
class owner {
public:
    struct endpoint_status {
        endpoint_id endpoint;
        epoch_number epoch = 0;
        bool claimed = false;
        std::uint32_t connections = 0;
        std::uint32_t running = 0;
        std::size_t queued = 0;
    };

    owner(core_context& context, group_authority& groups, write_confirmation& confirmations);

    /// Sends exactly one statement_reply for each call, including calls of this daemon.
    void on_call(const host_id& from, statement_call call, instant now, action_list& out);
    void on_opened(const connection_opened& opened, instant now, action_list& out);
    void on_failed(const connection_failed& failed, instant now, action_list& out);
    void on_lost(const connection_lost& lost, instant now, action_list& out);
    void on_answered(statement_answered answered, instant now, action_list& out);
    void on_control(const control_answered& answered, instant now, action_list& out);
    /// Replies to the calls whose confirmation results are available.
    void on_confirmations(instant now, action_list& out);
    /// To be called when the group's view changes or its writes become held or released.
    void on_view_changed(const group_id& group, instant now, action_list& out);
    void on_peer_failed(const peer_failed& failed, instant now, action_list& out);
    void on_fleet_changed(instant now, action_list& out);
    void on_config_changed(instant now, action_list& out);
    /// Completes the work in progress, then releases all claims.
    void drain(instant now, action_list& out);
    [[nodiscard]] bool drained() const;
    void tick(instant now, action_list& out);
    [[nodiscard]] std::optional<instant> next_wakeup() const;
    [[nodiscard]] std::vector<endpoint_status> status() const;
    [[nodiscard]] std::size_t open_transactions(const group_id& group) const;

private:
    using endpoint = detail::owned_endpoint;
    using pending_call = detail::pending_call;

    /// Whether a call may start, must wait, or is refused.
    struct start_decision {
        bool wait = false;
        reason refuse = reason::none;
    };
    struct confirming_call {
        pending_call pending;
        position_stamp stamp;
        std::string result;
    };

    // Arrival
    [[nodiscard]] reason check_arrival(const pending_call& pending, instant now) const;
    [[nodiscard]] reason check_transaction(const statement_call& call) const;
    [[nodiscard]] start_decision check_start(const endpoint& owned, const pending_call& pending,
                                             instant now) const;
    [[nodiscard]] start_decision check_primary_start(const endpoint& owned,
                                                     const pending_call& pending,
                                                     instant now) const;
    void enqueue(endpoint& owned, std::uint64_t number, instant now, action_list& out);
    void reevaluate_waiting_calls(endpoint& owned, instant now, action_list& out);
    void refuse_waiting(endpoint& owned, std::uint64_t number, reason why, instant now,
                        action_list& out);

    // Dispatch
    void dispatch(endpoint& owned, instant now, action_list& out);
    void start(endpoint& owned, const admission::dispatched& next, instant now, action_list& out);
    bool assign_connection(endpoint& owned, pending_call& pending, instant now);
    void send_statement(endpoint& owned, std::uint64_t number, pending_call& pending, instant now,
                        action_list& out);
    void open_missing(endpoint& owned, instant now, action_list& out);
    [[nodiscard]] std::uint32_t connection_demand(const endpoint& owned) const;
    void close_surplus(endpoint& owned, instant now, action_list& out);

    // Answers
    pending_call remove_running_call(endpoint& owned, std::uint64_t number, instant now);
    void finish(endpoint& owned, pending_call pending, statement_answered answered, instant now,
                action_list& out);
    void finish_ok(pending_call pending, statement_answered answered, instant now,
                   action_list& out);
    void finish_connection_use(endpoint& owned, const pending_call& pending, run_status status,
                               instant now, action_list& out);
    void close(endpoint& owned, connection_id connection, reason why, instant now,
               action_list& out);
    void lose_connection(endpoint& owned, connection_id connection, reason why, instant now,
                         action_list& out);
    void lose_transaction(endpoint& owned, std::uint64_t number, instant now, action_list& out);
    void reply(const pending_call& pending, outcome result, std::optional<position_stamp> stamp,
               action_list& out);

    // Time, ownership
    void expire(endpoint& owned, instant now, action_list& out);
    void expire_running(endpoint& owned, instant now, action_list& out);
    [[nodiscard]] duration transaction_idle_limit_of(const endpoint& owned) const;
    void expire_transactions(endpoint& owned, instant now, action_list& out);
    void expire_confirming(instant now, action_list& out);
    void step(endpoint& owned, instant now, action_list& out);
    void step_all(instant now, action_list& out);
    void erase_finished_endpoints(instant now);
    void refresh(endpoint& owned, instant now);
    void update_handover(endpoint& owned, instant now, action_list& out);
    void on_displaced(endpoint& owned, instant now, action_list& out);
    void drop_connections(endpoint& owned, instant now, action_list& out);
    void refuse_all_waiting(endpoint& owned, reason why, instant now, action_list& out);
    void refuse_waiting_reads(endpoint& owned, instant now, action_list& out);
    [[nodiscard]] std::optional<instant> next_wakeup(const endpoint& owned) const;

    // Look-ups
    [[nodiscard]] endpoint* find(const endpoint_id& id);
    [[nodiscard]] const endpoint* find(const endpoint_id& id) const;
    [[nodiscard]] const service_row* service(const service_id& id) const;
    [[nodiscard]] endpoint_row limits(const endpoint& owned) const;
    [[nodiscard]] std::uint32_t service_share(const endpoint& owned, const service_id& id) const;
    bool check(promise which, bool holds);

    core_context& m_context;
    group_authority& m_groups;
    write_confirmation& m_confirmations;
    std::map<endpoint_id, endpoint> m_endpoints;
    std::map<write_confirmation::ticket, confirming_call> m_confirming;
    detail::lost_transactions m_lost_transactions;
    std::uint64_t m_last_call = 0;  // Last number of a statement call.
    std::uint64_t m_last_control = 0;
    std::uint64_t m_last_transaction = 0;
    connection_id m_last_connection = 0;
    bool m_draining = false;
    instant m_now;  // Time of the last event, used by next_wakeup.
};

}  // namespace jasminelead
