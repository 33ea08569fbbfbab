#include <algorithm>

#include "jasminelead/owner.h"

namespace jasminelead {
namespace {

using namespace literals;
using place = detail::pending_call::place;
using detail::needs_confirmation;

bool is_write(const statement_call& call) {
    return call.kind == request_kind::commit ||
           (call.kind == request_kind::statement && !call.read);
}

}  // namespace

bool detail::needs_confirmation(const statement_call& call) {
    return is_write(call) || (call.kind == request_kind::statement && call.confirm);
}

void owner::on_answered(statement_answered answered, instant now, action_list& out) {
    m_now = now;
    m_groups.on_stamp(answered.endpoint, answered.stamp, now, out);
    endpoint* owned = find(answered.endpoint);
    const pooled_connection* connection =
        owned == nullptr ? nullptr : owned->pool.find(answered.connection);
    if (connection == nullptr) {
        return;
    }
    const bool expected = connection->call != 0 && connection->sequence == answered.sequence;
    if (m_context.enabled.connection_discard && !expected) {
        close(*owned, answered.connection, reason::answer_mismatch, now, out);
    } else if (connection->call != 0) {
        const std::uint64_t number = connection->call;
        if (check(promise::answer_integrity, expected)) {
            finish(*owned, remove_running_call(*owned, number, now), std::move(answered), now, out);
        } else {
            close(*owned, answered.connection, reason::invariant_broken, now, out);
        }
    }
    if (owned->handover_deadline) {
        step(*owned, now, out);
        return;
    }
    close_surplus(*owned, now, out);
    dispatch(*owned, now, out);
}

/// Removes a running call; its connection stays assigned.
owner::pending_call owner::remove_running_call(endpoint& owned, std::uint64_t number, instant now) {
    const auto found = owned.calls.find(number);
    pending_call pending = std::move(found->second);
    owned.calls.erase(found);
    --owned.running;
    owned.queue.complete(pending.call.service, pending.charged, now - pending.started);
    if (pooled_connection* connection = owned.pool.find(pending.connection)) {
        connection->call = 0;
    }
    const auto transaction = owned.transactions.find(pending.transaction);
    if (transaction != owned.transactions.end()) {
        transaction->second.call = 0;
        transaction->second.last_used = now;
    }
    return pending;
}

void owner::finish(endpoint& owned, pending_call pending, statement_answered answered, instant now,
                   action_list& out) {
    finish_connection_use(owned, pending, answered.status, now, out);
    if (answered.status == run_status::ok) {
        finish_ok(std::move(pending), std::move(answered), now, out);
        return;
    }
    reason why = reason::statement_error;
    if (answered.status == run_status::refused) {
        const bool commit = pending.call.kind == request_kind::commit;
        why = commit ? reason::transaction_lost : reason::endpoint_refused;
    }
    pending.refused = true;
    reply(pending, not_run{why, std::move(answered.result)}, answered.stamp, out);
}

void owner::finish_connection_use(endpoint& owned, const pending_call& pending, run_status status,
                                  instant now, action_list& out) {
    const bool ok = status == run_status::ok;
    switch (pending.call.kind) {
        case request_kind::statement:
            owned.pool.put_back(pending.connection, now);
            break;
        case request_kind::begin:
            if (ok) {
                owned.transactions.emplace(
                    pending.transaction,
                    detail::open_transaction{pending.connection, pending.call.service, pending.term,
                                             0, now});
            } else {
                owned.pool.put_back(pending.connection, now);
            }
            break;
        case request_kind::execute:
            // An endpoint that refuses a statement has already lost the transaction.
            if (status == run_status::refused) {
                lose_transaction(owned, pending.transaction, now, out);
            }
            break;
        case request_kind::commit:
        case request_kind::rollback:
            if (ok) {
                owned.transactions.erase(pending.transaction);
                owned.pool.put_back(pending.connection, now);
            } else {
                lose_transaction(owned, pending.transaction, now, out);
            }
            break;
    }
}

void owner::finish_ok(pending_call pending, statement_answered answered, instant now,
                      action_list& out) {
    if (!needs_confirmation(pending.call)) {
        reply(pending, done{std::move(answered.result)}, answered.stamp, out);
        return;
    }
    const auto ticket = m_confirmations.submit(pending.call.group, pending.call.endpoint,
                                               answered.stamp, pending.deadline, now, out);
    m_confirming.emplace(
        ticket, confirming_call{std::move(pending), answered.stamp, std::move(answered.result)});
}

void owner::on_confirmations(instant now, action_list& out) {
    m_now = now;
    for (const write_confirmation::result& result : m_confirmations.take_results()) {
        const auto found = m_confirming.find(result.id);
        if (found == m_confirming.end()) {
            continue;
        }
        confirming_call call = std::move(found->second);
        m_confirming.erase(found);
        const group_view& view = m_groups.view(call.pending.call.group);
        const bool current = call.stamp.term == view.term &&
                             call.stamp.role == endpoint_role::primary &&
                             view.primary == call.pending.call.endpoint;
        // The view may have changed since the majority confirmed the term.
        const bool acknowledged = result.confirmed && (current || !m_context.enabled.fencing);
        if (!acknowledged) {
            reply(call.pending, unknown_outcome{reason::unconfirmed, ""}, call.stamp, out);
        } else if (!check(promise::superseded_ack, current)) {
            reply(call.pending, unknown_outcome{reason::invariant_broken, ""}, call.stamp, out);
        } else {
            reply(call.pending, done{std::move(call.result)}, call.stamp, out);
        }
    }
}

/// Closes a connection. The call that runs on it gets an unknown outcome.
void owner::close(endpoint& owned, connection_id connection, reason why, instant now,
                  action_list& out) {
    out.emplace_back(close_connection{owned.id, connection});
    lose_connection(owned, connection, why, now, out);
}

void owner::lose_connection(endpoint& owned, connection_id connection, reason why, instant now,
                            action_list& out) {
    const pooled_connection* found = owned.pool.find(connection);
    if (found == nullptr) {
        return;
    }
    if (found->call != 0) {
        const pending_call pending = remove_running_call(owned, found->call, now);
        reply(pending, unknown_outcome{why, ""}, std::nullopt, out);
    }
    const auto transaction = owned.transactions.find(found->transaction);
    if (transaction != owned.transactions.end()) {
        const std::uint64_t waiting = transaction->second.call;
        m_lost_transactions.add(transaction->first, now);
        owned.transactions.erase(transaction);
        refuse_waiting(owned, waiting, reason::transaction_lost, now, out);
    }
    owned.pool.remove(connection, now);
}

void owner::lose_transaction(endpoint& owned, std::uint64_t number, instant now, action_list& out) {
    const auto found = owned.transactions.find(number);
    if (found != owned.transactions.end()) {
        close(owned, found->second.connection, reason::connection_lost, now, out);
    }
}

void owner::reply(const pending_call& pending, outcome result, std::optional<position_stamp> stamp,
                  action_list& out) {
    const bool sent = pending.connection != 0;
    const bool reported_not_run = std::holds_alternative<not_run>(result);
    if (!check(promise::not_run_truth, !reported_not_run || !sent || pending.refused)) {
        result = unknown_outcome{reason::invariant_broken, ""};
    }
    statement_reply message;
    message.id = pending.call.id;
    message.endpoint = pending.call.endpoint;
    message.transaction = pending.call.transaction;
    const bool begun =
        pending.call.kind == request_kind::begin && std::holds_alternative<done>(result);
    if (begun) {
        message.transaction = {m_context.self, m_context.incarnation, pending.transaction};
    }
    message.result = std::move(result);
    message.stamp = stamp;
    if (const endpoint* const owned = find(pending.call.endpoint)) {
        message.view = m_groups.view(pending.call.group);
        const auto* const refused = std::get_if<not_run>(&message.result);
        if (refused != nullptr && refused->why == reason::not_owner) {
            message.holder = owned->claim.holder();
        }
    }
    out.emplace_back(send_peer{pending.from, std::move(message)});
}

}  // namespace jasminelead
