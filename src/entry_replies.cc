#include <algorithm>

#include "jasminelead/entry.h"

namespace jasminelead {
namespace {

using namespace literals;
using detail::budget_rule;
using detail::entry_attempt;
using detail::pending_request;
using detail::reason_of;
using detail::term_history_timeout;

/// A claim holder named by a `not_owner` reply is used for this long; ownership may move again.
constexpr duration owner_hint_ttl = 1_s;

/// True when the failure indicates an unhealthy endpoint. A refusal because of the endpoint's role
/// or the request does not.
bool indicates_endpoint_failure(const outcome& result) {
    const reason why = reason_of(result);
    return std::holds_alternative<unknown_outcome>(result) || why == reason::endpoint_unavailable ||
           why == reason::connection_lost || why == reason::overloaded;
}

}  // namespace

entry::pending* entry::find_call(std::uint64_t call) {
    const auto found = m_calls.find(call);
    return found == m_calls.end() ? nullptr : &m_pending.at(found->second);
}

void entry::on_reply(const host_id& from, statement_reply reply, instant now, action_list& out) {
    pending* p = reply.id.module == call_module::entry ? find_call(reply.id.number) : nullptr;
    if (p == nullptr) {
        out.emplace_back(count{"dropped_reply", "late"});
        return;
    }
    const bool matches = p->attempt->owner == from && p->attempt->endpoint == reply.endpoint;
    if (!check(promise::answer_integrity, matches)) {
        out.emplace_back(count{"dropped_reply", "mismatch"});
        return;
    }
    record_reply(*p, reply, now, out);
    end_attempt(*p);
    if (std::holds_alternative<done>(reply.result)) {
        on_done(*p, std::move(reply), now, out);
    } else {
        on_failure(*p, std::move(reply.result), now, out);
    }
}

void entry::record_reply(const pending& p, const statement_reply& reply, instant now,
                         action_list& out) {
    const entry_attempt& attempt = *p.attempt;
    if (std::holds_alternative<done>(reply.result)) {
        m_router.on_answer(attempt.endpoint, now - attempt.sent, now);
    } else if (indicates_endpoint_failure(reply.result)) {
        m_router.on_error(attempt.endpoint, now);
    } else {
        m_router.on_dropped(attempt.endpoint);
    }
    const auto* const refused = std::get_if<not_run>(&reply.result);
    if (refused != nullptr && refused->why == reason::not_owner) {
        m_owner_hints.erase(attempt.endpoint);
        if (!reply.holder.empty() && reply.holder != attempt.owner) {
            m_owner_hints[attempt.endpoint] = {reply.holder, now + owner_hint_ttl};
        }
    }
    if (reply.view) {
        m_groups.on_view(p.request.group, *reply.view, now, out);
    }
    if (!reply.stamp) {
        return;
    }
    // Only an answer with a confirmed term proves that the primary was not superseded.
    const bool confirmed =
        std::holds_alternative<done>(reply.result) && (attempt.confirm || commits_write(p));
    if (confirmed && reply.stamp->term >= m_groups.view(p.request.group).term) {
        m_marks.record(p.request.group, *reply.stamp, attempt.sent);
    }
    m_router.on_stamp(attempt.endpoint, *reply.stamp, attempt.sent, now);
    m_groups.on_stamp(attempt.endpoint, *reply.stamp, now, out);
}

void entry::on_done(pending& p, statement_reply reply, instant now, action_list& out) {
    if (!reply.stamp && p.request.kind != request_kind::rollback) {
        on_failure(p, unknown_outcome{reason::answer_mismatch, "the reply has no position stamp"},
                   now, out);
        return;
    }
    switch (p.request.kind) {
        case request_kind::begin:
            on_begin_done(p, std::move(reply), now, out);
            return;
        case request_kind::execute:
            on_execute_done(p, std::move(reply), now, out);
            return;
        case request_kind::rollback:
            finish(p, std::move(reply.result), out, reply.endpoint, p.request.transaction);
            return;
        case request_kind::commit:
            on_write_done(p, std::move(reply), now, out);
            return;
        case request_kind::statement:
            is_read(p) ? on_read_done(p, std::move(reply), now, out)
                       : on_write_done(p, std::move(reply), now, out);
            return;
    }
}

void entry::on_read_done(pending& p, statement_reply reply, instant now, action_list& out) {
    const position_stamp& stamp = *reply.stamp;
    if (const auto fault = session_fault(p, stamp, now)) {
        on_stale(p, *fault, now, out);
        return;
    }
    if (!is_fresh_enough(p, stamp, now)) {
        on_stale(p, reason::stale_answer, now, out);
        return;
    }
    const session_entry* written = p.session.find(p.request.group);
    const bool sees_writes =
        written == nullptr ||
        satisfies(stamp, *written, m_groups.terms(p.request.group)) == satisfaction::satisfied;
    if (!check(promise::read_your_writes, sees_writes) && m_context.enabled.token_check) {
        finish(p, not_run{reason::invariant_broken, ""}, out);
        return;
    }
    if (stamp.role == endpoint_role::replica) {
        out.emplace_back(count{"replica_reads", ""});
    }
    finish(p, std::move(reply.result), out, reply.endpoint);
}

bool entry::is_fresh_enough(const pending& p, const position_stamp& stamp, instant now) const {
    const bool is_confirmed_primary = p.last->confirm && stamp.role == endpoint_role::primary &&
                                      stamp.term >= m_groups.view(p.request.group).term;
    if (is_confirmed_primary) {
        return true;
    }
    const auto age = m_marks.proven_age(p.request.group, stamp, now);
    return p.max_age > duration{} && age && *age <= p.max_age;
}

/// Returns why the stamp does not satisfy the session, or nothing when it does. With `accept_loss`
/// the entry of a lost write is removed from the token.
std::optional<reason> entry::session_fault(pending& p, const position_stamp& stamp,
                                           instant now) const {
    const session_entry* written = p.session.find(p.request.group);
    if (!m_context.enabled.token_check || written == nullptr) {
        return std::nullopt;
    }
    const term_history& terms = m_groups.terms(p.request.group);
    const satisfaction result = satisfies(stamp, *written, terms);
    if (result == satisfaction::satisfied) {
        return std::nullopt;
    }
    if (result == satisfaction::behind) {
        return reason::stale_answer;
    }
    // An outdated history is usually replaced by the next report, so the loss is not final yet.
    const bool is_final =
        knows_term_after(terms, written->term) || now - p.trace.at >= term_history_timeout;
    if (p.request.accept_loss && is_final) {
        p.session.erase(p.request.group);
        add_trace_step(p, "session entry dropped: loss accepted");
        return std::nullopt;
    }
    return result == satisfaction::position_lost ? reason::session_position_lost
                                                 : reason::session_term_unknown;
}

void entry::on_stale(pending& p, reason why, instant now, action_list& out) {
    const session_entry* written = p.session.find(p.request.group);
    const bool is_final = why != reason::stale_answer && written != nullptr &&
                          knows_term_after(m_groups.terms(p.request.group), written->term);
    if (is_final) {
        finish(p, not_run{why, ""}, out);
        return;
    }
    // The next attempt is routed by known states only, so a stale answer usually costs one extra
    // call.
    const bool is_first = p.expect;
    p.expect = false;
    p.avoid_last_endpoint = true;
    p.retry_reason = reason::stale_answer;
    p.failure = not_run{why, ""};
    p.budget = is_first ? budget_rule::exempt : budget_rule::refuse;
    const bool from_primary = p.last->endpoint == m_groups.view(p.request.group).primary;
    if (why == reason::session_term_unknown) {
        wait_for_view(p, why, now, out);
    } else if (from_primary) {
        wait_for_view(p, reason::no_endpoint_fresh_enough, now, out);
    } else {
        plan(p, now, out);
    }
}

void entry::on_write_done(pending& p, statement_reply reply, instant now, action_list& out) {
    const position_stamp& stamp = *reply.stamp;
    if (!p.session.set({p.request.group, stamp.log_term, stamp.position})) {
        on_failure(p, unknown_outcome{reason::session_full, ""}, now, out);
        return;
    }
    finish(p, std::move(reply.result), out, reply.endpoint, p.request.transaction);
}

void entry::on_begin_done(pending& p, statement_reply reply, instant now, action_list& out) {
    if (const auto fault = session_fault(p, *reply.stamp, now)) {
        abandon_transaction(p, reply, out);
        on_stale(p, *fault, now, out);
        return;
    }
    std::string handle =
        m_tokens.encode(transaction_handle{reply.transaction, reply.endpoint, p.request.group});
    if (handle.empty()) {
        abandon_transaction(p, reply, out);
        finish(p, not_run{reason::bad_request, "a name is too long for a transaction handle"}, out);
        return;
    }
    finish(p, std::move(reply.result), out, reply.endpoint, std::move(handle));
}

void entry::on_execute_done(pending& p, statement_reply reply, instant now, action_list& out) {
    // The statement has run, and no other endpoint holds its transaction.
    if (const auto fault = session_fault(p, *reply.stamp, now)) {
        finish(p, unknown_outcome{*fault, ""}, out);
        return;
    }
    finish(p, std::move(reply.result), out, reply.endpoint, p.request.transaction);
}

/// Rolls back a transaction whose handle is not returned to the caller, to free its connection.
/// The reply is dropped.
void entry::abandon_transaction(const pending& p, const statement_reply& reply, action_list& out) {
    statement_call call;
    call.id = {call_module::entry, m_next_call++};
    call.endpoint = reply.endpoint;
    call.kind = request_kind::rollback;
    call.service = p.request.service;
    call.group = p.request.group;
    call.remaining = p.request.timeout;
    call.transaction = reply.transaction;
    out.emplace_back(send_peer{p.last->owner, std::move(call)});
}

void entry::on_failure(pending& p, outcome result, instant now, action_list& out) {
    const reason why = reason_of(result);
    if (std::holds_alternative<unknown_outcome>(result) && !p.unknown) {
        p.unknown = why;
    }
    const bool link_failed = why == reason::peer_unreachable || why == reason::peer_lost;
    // An open transaction exists on one endpoint only, so all failures except link failures are
    // final.
    const bool can_reroute = !p.handle || link_failed;
    if (!can_reroute || !may_retry(result, has_no_lasting_effect(p), p.request.idempotent,
                                   m_context.enabled.retry_guard)) {
        finish(p, std::move(result), out);
        return;
    }
    const bool did_not_run = std::holds_alternative<not_run>(result);
    p.budget = did_not_run && is_transient(why) ? budget_rule::wait : budget_rule::refuse;
    p.retry_reason = why;
    p.failure = std::move(result);
    p.avoid_last_endpoint = is_read(p);
    const group_view& view = m_groups.view(p.request.group);
    const bool view_changed = !view.primary.empty() && view.term > p.last->term;
    if (view_changed && !p.handle) {
        plan(p, now, out);
        return;
    }
    if (did_not_run) {
        query_group(p.request.group, now, out);
    }
    wait(p, why, now + backoff(p.attempts - 1, m_context.random), out);
}

void entry::end_attempt(pending& p) {
    m_calls.erase(p.attempt->call);
    p.last = std::move(p.attempt);
    p.attempt.reset();
}

void entry::on_peer_failed(const peer_failed& failure, instant now, action_list& out) {
    std::erase_if(m_owner_hints,
                  [&](const auto& item) { return item.second.host == failure.peer; });
    std::vector<std::uint64_t> serials;
    for (const auto& [serial, p] : m_pending) {
        if (p.attempt && p.attempt->owner == failure.peer) {
            serials.push_back(serial);
        }
    }
    for (const std::uint64_t serial : serials) {
        pending& p = m_pending.at(serial);
        m_router.on_error(p.attempt->endpoint, now);
        end_attempt(p);
        on_failure(p, unknown_outcome{reason::peer_lost, ""}, now, out);
    }
}

void entry::on_peer_call_unsent(const peer_call_unsent& unsent, instant now, action_list& out) {
    pending* p = unsent.call.module == call_module::entry ? find_call(unsent.call.number) : nullptr;
    if (p == nullptr || p->attempt->owner != unsent.peer) {
        return;
    }
    m_router.on_error(p->attempt->endpoint, now);
    end_attempt(*p);
    on_failure(*p, not_run{reason::peer_unreachable, ""}, now, out);
}

void entry::on_report(const host_id& from, const group_report& report, instant now,
                      action_list& out) {
    const group_view before = m_groups.view(report.group);
    for (const group_report::owned_state& owned : report.owned) {
        const endpoint_entry* endpoint = m_context.fleet->endpoint(owned.endpoint);
        const host_id* owner = m_context.fleet->owner_of(owned.endpoint);
        if (endpoint != nullptr && endpoint->group == report.group && owner != nullptr &&
            *owner == from) {
            m_router.on_stamp(owned.endpoint, owned.stamp, now - owned.age, now - owned.age);
        }
    }
    m_groups.on_view(report.group, report.view, now, out);
    replan_waiting(report.group, m_groups.view(report.group) != before, now, out);
}

}  // namespace jasminelead
