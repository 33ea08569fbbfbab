#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

/// Reasons for refusals, retries and unknown outcomes. Their names are stable: callers, counters
/// and the CLI use them.
namespace jasminelead {

enum class reason {
    none,
    bad_request,               ///< The request is malformed or a field is out of range.
    too_large,                 ///< Body, header or nesting exceeds its limit.
    slow_sender,               ///< The request was not received completely in time.
    bad_token,                 ///< The session token or transaction handle is not authentic.
    session_full,              ///< The session has written to the maximum number of groups.
    session_position_lost,     ///< A write of the session was lost with its primary.
    session_term_unknown,      ///< The token's term is older than the known history.
    unknown_group,             ///< The host list has no endpoint of this group.
    unknown_service,           ///< The table has no row for this service.
    no_table,                  ///< The daemon has no configuration table yet.
    no_primary,                ///< No primary was known before the deadline.
    no_majority,               ///< No majority of the group confirms the term.
    no_endpoint_fresh_enough,  ///< No endpoint satisfies the token or the accepted age.
    no_owner,                  ///< No live daemon holds the endpoint.
    not_owner,                 ///< The queried daemon does not hold the endpoint.
    not_primary,               ///< The endpoint is not the primary of its group.
    endpoint_leaving,          ///< The endpoint is leaving and accepts no new work.
    endpoint_unavailable,      ///< The endpoint cannot be reached.
    endpoint_refused,          ///< The endpoint refused the statement before running it.
    statement_error,           ///< The endpoint rejected the statement; it had no effect.
    overloaded,                ///< The queue is full or the wait would exceed the deadline.
    connection_limit,          ///< The service or the endpoint holds all allowed connections.
    draining,                  ///< The daemon is stopping.
    deadline,                  ///< The deadline passed.
    retry_budget,              ///< The retry budget is used up.
    transaction_unknown,       ///< No such transaction is open.
    transaction_lost,          ///< The transaction's connection was lost and rolled back.
    connection_lost,           ///< The connection closed with the answer outstanding.
    connection_silent,         ///< The answer did not arrive in time.
    answer_mismatch,           ///< The answer's sequence number was not the expected one.
    peer_lost,                 ///< The link to the owner closed with the answer outstanding.
    peer_unreachable,          ///< The owner could not be reached; nothing was sent.
    unconfirmed,               ///< A write ran but no majority confirmed its term in time.
    stale_answer,              ///< The answer did not satisfy the token or the accepted age.
    key_removed,               ///< The caller's key is no longer configured.
    invariant_broken,          ///< An internal check failed.
};

inline constexpr std::size_t reason_count = static_cast<std::size_t>(reason::invariant_broken) + 1;

std::string_view to_string(reason why);
std::optional<reason> reason_from_string(std::string_view name);

}  // namespace jasminelead
