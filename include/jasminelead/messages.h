#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminelead/reason.h"
#include "jasminelead/types.h"

/// Input events of the core and the actions that it returns.
namespace jasminelead {

// ---- Outcomes --------------------------------------------------------------------------------

struct done {
    std::string result;  ///< JSON text returned by the endpoint.
};
/// The request had no effect.
struct not_run {
    reason why = reason::none;
    std::string detail;
};
/// The request may or may not have taken effect.
struct unknown_outcome {
    reason why = reason::none;
    std::string detail;
};
using outcome = std::variant<done, not_run, unknown_outcome>;

// ---- Callers ---------------------------------------------------------------------------------

enum class request_kind { begin, execute, commit, rollback, statement };

/// A request of a caller. The connection adapter assigns `id`, which is unique within the daemon.
struct caller_request {
    request_id id = 0;
    request_kind kind = request_kind::statement;
    service_id service;
    group_id group;
    std::string text;
    bool read = false;
    bool idempotent = false;
    bool accept_loss = false;
    std::optional<duration> max_age;
    duration timeout;
    std::string session;      ///< Encoded session token; empty for a new session.
    std::string transaction;  ///< Encoded transaction handle; empty outside transactions.
};

struct caller_reply {
    request_id id = 0;
    outcome result;
    std::string session;
    std::string transaction;
    endpoint_id endpoint;  ///< Endpoint that answered; empty if none did.
};

// ---- Calls from an entry to an owner ----------------------------------------------------------

/// The module of a daemon to which an answer is routed.
enum class call_module : std::uint8_t {
    entry,
    owner,
    acknowledger,
    failover,
    membership,
    table,
    totals
};

struct call_id {
    call_module module = call_module::entry;
    std::uint64_t number = 0;
    auto operator<=>(const call_id&) const = default;
};

/// Identifies an open transaction. The number is unique only within one incarnation of the owner.
struct transaction_ref {
    host_id owner;
    incarnation_number incarnation = 0;
    std::uint64_t number = 0;  ///< 0 outside transactions.
    auto operator<=>(const transaction_ref&) const = default;
};

struct statement_call {
    call_id id;
    endpoint_id endpoint;
    request_kind kind = request_kind::statement;
    service_id service;
    group_id group;
    std::string text;
    bool read = false;
    bool idempotent = false;
    bool confirm = false;  ///< The read is valid only after a majority confirms its term.
    duration remaining;    ///< Time left until the caller's deadline.
    transaction_ref transaction;
};

struct statement_reply {
    call_id id;
    endpoint_id endpoint;
    outcome result;
    std::optional<position_stamp> stamp;  ///< Absent if the endpoint did not answer.
    transaction_ref transaction;
    std::optional<group_view> view;  ///< The owner's view of the group.
    host_id holder = {};  ///< With `not_owner`: last known holder of the claim; empty if unknown.
};

// ---- Membership and configuration between daemons -----------------------------------------------

enum class liveness : std::uint8_t { alive, suspect, dead, left };

struct member_update {
    host_id host;
    incarnation_number incarnation = 0;
    liveness state = liveness::alive;
    auto operator<=>(const member_update&) const = default;
};

struct ping {
    std::uint64_t sequence = 0;
    incarnation_number incarnation = 0;
    revision_number revision = 0;
    std::vector<member_update> updates;
};
struct ping_ack {
    std::uint64_t sequence = 0;
    incarnation_number incarnation = 0;
    revision_number revision = 0;
    std::vector<member_update> updates;
};
/// Indirect probe: asks a peer to ping the target and to forward the answer.
struct ping_request {
    std::uint64_t sequence = 0;
    host_id target;
};
struct ping_request_ack {
    std::uint64_t sequence = 0;
    host_id target;
};

/// Gossip message that announces the sender's table revision.
struct revision_rumor {
    revision_number revision = 0;
};
struct deltas_request {
    revision_number since = 0;
};
/// Table deltas or a snapshot as JSON text in the format of table.h.
struct deltas_reply {
    revision_number revision = 0;
    std::optional<std::string> snapshot;  ///< Set if the deltas after `since` are no longer stored.
    std::vector<std::string> deltas;
};

// ---- Groups between daemons ---------------------------------------------------------------------

struct group_query {
    group_id group;
};
/// The sender's view of a group and the positions of the endpoints that it owns.
struct group_report {
    group_id group;
    group_view view;
    struct owned_state {
        endpoint_id endpoint;
        position_stamp stamp;
        duration age;  ///< Time since the stamp was read.
    };
    std::vector<owned_state> owned;
    term_history terms;
};

/// Requests a planned switchover, which the owner of the primary performs.
struct switchover_requested {
    group_id group;
    endpoint_id successor;  ///< Empty to let the core choose.
};

using peer_message = std::variant<statement_call, statement_reply, ping, ping_ack, ping_request,
                                  ping_request_ack, revision_rumor, deltas_request, deltas_reply,
                                  group_query, group_report, switchover_requested>;

// ---- Endpoints ----------------------------------------------------------------------------------

enum class endpoint_error {
    refused,      ///< Nothing listens at the address.
    reset,        ///< The peer closed the connection.
    timeout,      ///< No answer within the timeout.
    stale_epoch,  ///< The epoch of the claim is superseded.
    limit,        ///< The endpoint is at its connection limit.
    protocol,     ///< The answer is malformed.
};

struct status_query {};
struct claim_request {
    epoch_number expected_epoch = 0;
    host_id owner;
};
struct release_request {
    epoch_number epoch = 0;
};
struct fence_request {
    term_number term = 0;
    std::string candidate;
};
struct promote_request {
    term_number term = 0;
    std::string candidate;
};
struct follow_request {
    term_number term = 0;
    endpoint_id primary;
    log_position start = 0;  ///< Start position of the term; a longer log is truncated there.
};
using control_request = std::variant<status_query, claim_request, release_request, fence_request,
                                     promote_request, follow_request>;

/// Answer to a control request; `accepted` is false if the endpoint refused it.
struct control_result {
    bool accepted = false;
    endpoint_state state;
};

// ---- Store --------------------------------------------------------------------------------------

struct store_get {
    std::string key;
};
struct store_put {
    std::string key;
    std::string value;
};
/// Writes only if the key has the version `expected`; 0 requires that the key does not exist.
struct store_cas {
    std::string key;
    std::string value;
    std::uint64_t expected = 0;
};
/// Waits at most 30 s for the version of the key to exceed `version`.
struct store_watch {
    std::string key;
    std::uint64_t version = 0;
};
using store_request = std::variant<store_get, store_put, store_cas, store_watch>;

enum class store_status {
    ok,
    missing,      ///< The key does not exist.
    conflict,     ///< The version differs; the result holds the current version and value.
    unavailable,  ///< No answer; a write may have taken effect.
};
struct store_result {
    store_status status = store_status::unavailable;
    std::uint64_t version = 0;
    std::string value;
};

// ---- Events -------------------------------------------------------------------------------------

struct peer_received {
    host_id from;
    peer_message message;
};
/// The link to a peer failed to open (refused, timeout) or was lost (reset, timeout).
struct peer_failed {
    host_id peer;
    endpoint_error error = endpoint_error::reset;
};
/// A statement call was dropped before it reached the link, so it did not run.
struct peer_call_unsent {
    host_id peer;
    call_id call;
};
struct connection_opened {
    endpoint_id endpoint;
    connection_id connection = 0;
    position_stamp stamp;
};
struct connection_failed {
    endpoint_id endpoint;
    connection_id connection = 0;
    endpoint_error error = endpoint_error::refused;
};
struct connection_lost {
    endpoint_id endpoint;
    connection_id connection = 0;
    endpoint_error error = endpoint_error::reset;
};
enum class run_status {
    ok,
    refused,   ///< Refused before execution: wrong term, not the primary, or leaving.
    rejected,  ///< The statement is invalid; it had no effect.
};
struct statement_answered {
    endpoint_id endpoint;
    connection_id connection = 0;
    std::uint64_t sequence = 0;
    run_status status = run_status::ok;
    std::string result;
    position_stamp stamp;
};
struct control_answered {
    call_id id;
    endpoint_id endpoint;
    std::variant<control_result, endpoint_error> answer;
};
struct store_answered {
    call_id id;
    store_result result;
};
struct host_list {
    std::vector<host_entry> hosts;
    std::vector<endpoint_entry> endpoints;
};
struct tick {};
struct drain_requested {};
using event =
    std::variant<caller_request, peer_received, peer_failed, peer_call_unsent, connection_opened,
                 connection_failed, connection_lost, statement_answered, control_answered,
                 store_answered, host_list, tick, drain_requested, switchover_requested>;

// ---- Actions ------------------------------------------------------------------------------------

struct send_peer {
    host_id to;
    peer_message message;
};
struct open_connection {
    endpoint_id endpoint;
    connection_id connection = 0;
    epoch_number epoch = 0;
};
struct close_connection {
    endpoint_id endpoint;
    connection_id connection = 0;
};
/// Runs one statement on a connection. Once the core returns this action, the statement counts as
/// sent.
struct run_statement {
    endpoint_id endpoint;
    connection_id connection = 0;
    std::uint64_t sequence = 0;
    request_kind kind = request_kind::statement;
    std::string text;
    bool read = false;
    term_number term = 0;  ///< Expected term of the primary for writes; 0 for reads.
};
struct control_call {
    call_id id;
    endpoint_id endpoint;
    control_request request;
    bool new_connection = false;  ///< Use a new connection, to prove that the endpoint is alive.
    duration timeout;
};
struct store_call {
    call_id id;
    store_request request;
};
/// Logs a change of state.
struct log_state {
    std::string text;
};
/// Increments a counter, for example {"retry", "peer_lost"}.
struct count {
    std::string_view counter;
    std::string_view label;
};
struct drain_finished {};

using action =
    std::variant<caller_reply, send_peer, open_connection, close_connection, run_statement,
                 control_call, store_call, log_state, count, drain_finished>;
using action_list = std::vector<action>;

}  // namespace jasminelead
