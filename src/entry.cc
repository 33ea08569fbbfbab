#include "jasminelead/entry.h"

#include <algorithm>
#include <limits>

#include "jasminelead/endpoint_json.h"

namespace jasminelead {
namespace {

using namespace literals;

/// Time for an owner's refusal to return before the deadline of the request.
constexpr duration reply_margin = 50_ms;
using detail::budget_rule;
using detail::entry_attempt;
using detail::pending_request;
using detail::reason_of;
using detail::term_history_timeout;

constexpr std::size_t trace_capacity = 1024;
/// Minimum interval between queries for the view of a group.
constexpr duration query_interval = 50_ms;

bool is_transactional(const pending_request& p) {
    return p.request.kind == request_kind::execute || p.request.kind == request_kind::commit ||
           p.request.kind == request_kind::rollback;
}

bool is_repeatable(const pending_request& p) {
    return has_no_lasting_effect(p) || p.request.idempotent;
}

bool is_same_target(const entry_attempt& a, const entry_attempt& b) {
    return a.owner == b.owner && a.endpoint == b.endpoint && a.term == b.term;
}

std::string join(std::string_view a, std::string_view b) {
    std::string text{a};
    text += b;
    return text;
}

}  // namespace

bool detail::is_read(const pending_request& p) {
    return p.request.kind == request_kind::statement && p.request.read;
}

bool detail::commits_write(const pending_request& p) {
    return p.request.kind == request_kind::commit ||
           (p.request.kind == request_kind::statement && !p.request.read);
}

bool detail::has_no_lasting_effect(const pending_request& p) {
    const bool can_read =
        p.request.kind == request_kind::statement || p.request.kind == request_kind::execute;
    return p.request.kind == request_kind::begin || (can_read && p.request.read);
}

reason detail::reason_of(const outcome& result) {
    if (const auto* refused = std::get_if<not_run>(&result)) {
        return refused->why;
    }
    const auto* lost = std::get_if<unknown_outcome>(&result);
    return lost == nullptr ? reason::none : lost->why;
}

entry::entry(core_context& context, group_source& groups, token_codec& tokens,
             std::string_view routing_policy)
    : m_context{context},
      m_groups{groups},
      m_tokens{tokens},
      m_router{context, m_marks, routing_policy} {}

// ---- Admission -------------------------------------------------------------------------------

void entry::on_request(caller_request request, instant now, action_list& out) {
    const std::uint64_t serial = m_next_serial++;
    pending& p = m_pending[serial];
    p.serial = serial;
    p.request = std::move(request);
    p.deadline = now + p.request.timeout;
    p.trace = {0, p.request.group, p.request.kind, {}, now};
    m_budget.on_request(now);
    out.emplace_back(count{"requests", to_string(p.request.kind)});
    if (is_read(p)) {
        out.emplace_back(count{"reads", ""});
    }
    if (const auto refusal = admit(p)) {
        finish(p, not_run{*refusal, ""}, out);
        return;
    }
    set_timer(p, p.deadline);
    plan(p, now, out);
}

std::optional<reason> entry::admit(pending& p) const {
    const caller_request& request = p.request;
    if (request.session.empty()) {
        p.session = session_token{m_context.random()};
    } else if (auto token = m_tokens.decode(request.session, m_context.enabled.token_check)) {
        p.session = std::move(*token);
    } else {
        return reason::bad_token;
    }
    p.has_session = true;
    p.trace.session = p.session.id();
    if (m_context.config == nullptr) {
        return reason::no_table;
    }
    if (!m_context.config->services.contains(request.service)) {
        return reason::unknown_service;
    }
    if (m_context.fleet->endpoints_of(request.group).empty()) {
        return reason::unknown_group;
    }
    if (request.group.str().size() > max_token_name) {
        return reason::bad_request;
    }
    // A rollback adds no session entry and is admitted with a full session, so that the session can
    // end its transaction.
    const bool needs_entry = commits_write(p) || request.kind == request_kind::begin;
    if (needs_entry && p.session.is_full_for(request.group)) {
        return reason::session_full;
    }
    p.max_age = request.max_age.value_or(default_max_age(request));
    return admit_transaction(p);
}

std::optional<reason> entry::admit_transaction(pending& p) const {
    if (!is_transactional(p)) {
        return p.request.transaction.empty() ? std::nullopt : std::optional{reason::bad_request};
    }
    p.handle = m_tokens.decode_handle(p.request.transaction, m_context.enabled.token_check);
    if (!p.handle) {
        return reason::bad_token;
    }
    // Otherwise the token would store the write's position under the wrong group.
    return p.handle->group == p.request.group ? std::nullopt : std::optional{reason::bad_request};
}

duration entry::default_max_age(const caller_request& request) const {
    const auto service = m_context.config->services.find(request.service);
    if (service != m_context.config->services.end() && service->second.max_age) {
        return *service->second.max_age;
    }
    const auto group = m_context.config->groups.find(request.group);
    return group == m_context.config->groups.end() ? group_row{}.max_age : group->second.max_age;
}

// ---- Planning --------------------------------------------------------------------------------

void entry::plan(pending& p, instant now, action_list& out) {
    remove_waiter(p);
    if (now >= p.deadline) {
        expire(p, now, out);
    } else if (p.handle) {
        dispatch(p, p.handle->endpoint, false, "transaction", now, out);
    } else if (!check_session(p, now, out)) {
        return;
    } else if (is_read(p)) {
        plan_read(p, now, out);
    } else {
        plan_write(p, now, out);
    }
}

/// Refuses a request before it is sent when a write of its session is known to be lost. A new write
/// would otherwise replace the token's entry and hide the loss from the caller.
bool entry::check_session(pending& p, instant now, action_list& out) {
    const session_entry* written = p.session.find(p.request.group);
    const group_view& view = m_groups.view(p.request.group);
    if (!m_context.enabled.token_check || written == nullptr || view.term <= written->term) {
        return true;
    }
    const term_history& terms = m_groups.terms(p.request.group);
    const bool may_drop = p.request.accept_loss && now - p.trace.at >= term_history_timeout;
    if (!knows_term_after(terms, written->term) && !may_drop) {
        const auto row = m_context.config->groups.find(p.request.group);
        const bool may_lose =
            row != m_context.config->groups.end() && row->second.acknowledge == durability::primary;
        query_group(p.request.group, now, out);
        if (!is_read(p) && may_lose) {
            wait_for_view(p, reason::session_term_unknown, now, out);
            return false;
        }
        return true;
    }
    const position_stamp newest{view.term, view.term, std::numeric_limits<log_position>::max(),
                                endpoint_role::primary};
    const auto fault = session_fault(p, newest, now);
    if (fault) {
        finish(p, not_run{*fault, ""}, out);
    }
    return !fault;
}

void entry::plan_write(pending& p, instant now, action_list& out) {
    const group_view& view = m_groups.view(p.request.group);
    const session_entry* written =
        m_context.enabled.token_check ? p.session.find(p.request.group) : nullptr;
    // A session that wrote in a later term proves that this primary is superseded. It could not
    // confirm a write.
    const bool is_superseded = written != nullptr && written->term > view.term;
    if (view.primary.empty() || is_superseded) {
        wait_for_view(p, reason::no_primary, now, out);
        return;
    }
    const endpoint_id primary = view.primary;
    dispatch(p, primary, false, "primary", now, out);
}

void entry::plan_read(pending& p, instant now, action_list& out) {
    const session_entry* session =
        m_context.enabled.token_check ? p.session.find(p.request.group) : nullptr;
    const read_requirements read{
        .group = p.request.group,
        .view = m_groups.view(p.request.group),
        .terms = m_groups.terms(p.request.group),
        .session = session,
        .max_age = p.max_age,
        .remaining = p.deadline - now,
        .avoid = p.avoid_last_endpoint && p.last ? &p.last->endpoint : nullptr,
        .may_wait = !p.waited_for_replica,
        .expect = p.expect,
    };
    const route chosen = m_router.choose(read, now, m_context.random);
    if (const auto* choice = std::get_if<route_choice>(&chosen)) {
        dispatch(p, choice->endpoint->id, choice->confirm, to_string(choice->cause), now, out);
    } else if (const auto* pause = std::get_if<route_wait>(&chosen)) {
        p.waited_for_replica = true;
        wait(p, reason::no_endpoint_fresh_enough, pause->until, out);
    } else {
        wait_for_view(p, std::get<reason>(chosen), now, out);
    }
}

void entry::dispatch(pending& p, const endpoint_id& endpoint, bool confirm, std::string_view cause,
                     instant now, action_list& out) {
    const host_id* owner = p.handle ? &p.handle->transaction.owner : owner_for(endpoint, now);
    if (owner == nullptr) {
        wait_for_view(p, reason::no_owner, now, out);
        return;
    }
    entry_attempt next{0, *owner, endpoint, m_groups.view(p.request.group).term, now, confirm};
    if (p.attempts > 0 && !allow_retry(p, next, now, out)) {
        return;
    }
    add_trace_step(p, join("sent to ", join(endpoint.str(), join(", ", cause))));
    send(p, std::move(next), now, out);
}

bool entry::allow_retry(pending& p, const entry_attempt& next, instant now, action_list& out) {
    const bool runs_twice = p.unknown && !is_repeatable(p);
    if (!check(promise::at_most_once, !runs_twice) && m_context.enabled.retry_guard) {
        finish(p, unknown_outcome{*p.unknown, ""}, out);
        return false;
    }
    // A write that waits for the budget is exempt at a new primary or owner. Otherwise the writes
    // left waiting by a failover would exhaust the budget.
    const bool is_new_target =
        p.budget == budget_rule::wait && p.last && !is_same_target(*p.last, next);
    if (p.budget != budget_rule::exempt && !is_new_target && !m_budget.take(now)) {
        if (p.budget == budget_rule::wait) {
            wait_for_view(p, p.retry_reason, now, out);
        } else if (std::holds_alternative<not_run>(p.failure)) {
            finish(p, not_run{reason::retry_budget, std::string{to_string(p.retry_reason)}}, out);
        } else {
            finish(p, p.failure, out);
        }
        return false;
    }
    out.emplace_back(count{"retry", to_string(p.retry_reason)});
    add_trace_step(p, join("retry after ", to_string(p.retry_reason)));
    return true;
}

/// Daemons with different views of the fleet disagree about the owner. The holder of the endpoint's
/// claim, named by a `not_owner` reply, takes precedence.
const host_id* entry::owner_for(const endpoint_id& endpoint, instant now) const {
    const auto named = m_owner_hints.find(endpoint);
    if (named != m_owner_hints.end() && now < named->second.expires) {
        return &named->second.host;
    }
    return m_context.fleet->owner_of(endpoint);
}

void entry::send(pending& p, entry_attempt attempt, instant now, action_list& out) {
    attempt.call = m_next_call++;
    statement_call call;
    call.id = {call_module::entry, attempt.call};
    call.endpoint = attempt.endpoint;
    call.kind = p.request.kind;
    call.service = p.request.service;
    call.group = p.request.group;
    call.text = p.request.text;
    call.read = p.request.read;
    call.idempotent = p.request.idempotent;
    call.confirm = attempt.confirm;
    // A refusal by the owner must arrive before the deadline of the request. Otherwise the outcome
    // is unknown.
    const duration remaining = p.deadline - now;
    call.remaining = remaining - std::min(reply_margin, remaining / 10);
    if (p.handle) {
        call.transaction = p.handle->transaction;
    }
    m_calls[attempt.call] = p.serial;
    m_router.on_sent(attempt.endpoint);
    out.emplace_back(send_peer{attempt.owner, std::move(call)});
    ++p.attempts;
    p.avoid_last_endpoint = false;
    p.attempt = std::move(attempt);
    set_timer(p, p.deadline);
}

void entry::wait(pending& p, reason why, instant until, action_list& out) {
    if (p.wait_reason != why) {
        add_trace_step(p, join("waits: ", to_string(why)));
        out.emplace_back(count{"wait", to_string(why)});
    }
    p.wait_reason = why;
    m_waiting[p.request.group].insert(p.serial);
    set_timer(p, std::min(until, p.deadline));
}

void entry::remove_waiter(const pending& p) {
    const auto waiting = m_waiting.find(p.request.group);
    if (waiting == m_waiting.end()) {
        return;
    }
    waiting->second.erase(p.serial);
    if (waiting->second.empty()) {
        m_waiting.erase(waiting);
    }
}

void entry::wait_for_view(pending& p, reason why, instant now, action_list& out) {
    query_group(p.request.group, now, out);
    // Waking at the next query repeats the queries as long as a request waits.
    wait(p, why, m_last_query.at(p.request.group) + query_interval, out);
}

/// Queries are rate-limited for each group rather than each request, so that a long failover does
/// not flood the owners.
void entry::query_group(const group_id& group, instant now, action_list& out) {
    const auto [queried, is_first] = m_last_query.try_emplace(group, now);
    if (!is_first && now - queried->second < query_interval) {
        return;
    }
    queried->second = now;
    std::vector<host_id> asked;
    for (const endpoint_entry& endpoint : m_context.fleet->endpoints_of(group)) {
        const host_id* owner = m_context.fleet->owner_of(endpoint.id);
        if (owner != nullptr && std::find(asked.begin(), asked.end(), *owner) == asked.end()) {
            asked.push_back(*owner);
            out.emplace_back(send_peer{*owner, group_query{group}});
        }
    }
}

void entry::on_view_changed(const group_id& group, instant now, action_list& out) {
    replan_waiting(group, true, now, out);
}

/// Without `all`, requests in the backoff before a retry continue to wait.
void entry::replan_waiting(const group_id& group, bool all, instant now, action_list& out) {
    const auto waiting = m_waiting.find(group);
    if (waiting == m_waiting.end()) {
        return;
    }
    const std::vector<std::uint64_t> serials{waiting->second.begin(), waiting->second.end()};
    for (const std::uint64_t serial : serials) {
        pending& p = m_pending.at(serial);
        const bool wants_view = p.wait_reason == reason::no_primary ||
                                p.wait_reason == reason::session_term_unknown ||
                                p.wait_reason == reason::no_endpoint_fresh_enough;
        if (all || wants_view) {
            plan(p, now, out);
        }
    }
}

// ---- Completion ------------------------------------------------------------------------------

void entry::tick(instant now, action_list& out) {
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        pending& p = m_pending.at(m_timers.begin()->second);
        if (now >= p.deadline) {
            expire(p, now, out);
        } else {
            plan(p, now, out);
        }
    }
}

std::optional<instant> entry::next_wakeup() const {
    return m_timers.empty() ? std::nullopt : std::optional{m_timers.begin()->first};
}

void entry::expire(pending& p, instant now, action_list& out) {
    if (p.attempt) {
        m_router.on_error(p.attempt->endpoint, now);
        end_attempt(p);
        finish(p, unknown_outcome{reason::deadline, ""}, out);
        return;
    }
    const reason why = p.wait_reason == reason::none ? reason::deadline : p.wait_reason;
    finish(p, not_run{why, "deadline"}, out);
}

void entry::finish(pending& p, outcome result, action_list& out, const endpoint_id& endpoint,
                   std::string transaction) {
    // An earlier attempt may have run even when the last one was refused.
    if (p.unknown && std::holds_alternative<not_run>(result)) {
        result = unknown_outcome{*p.unknown, std::get<not_run>(result).detail};
    }
    const bool refused = std::holds_alternative<not_run>(result);
    check(promise::not_run_truth, !refused || (!p.unknown && !p.attempt));
    const std::string_view why = to_string(reason_of(result));
    if (std::holds_alternative<done>(result)) {
        out.emplace_back(count{"done", to_string(p.request.kind)});
        add_trace_step(p, "done");
    } else {
        out.emplace_back(count{refused ? "not_run" : "unknown", why});
        add_trace_step(p, join(refused ? "not run: " : "unknown: ", why));
    }
    if (refused) {
        out.emplace_back(count{"refusal", why});
    }
    out.emplace_back(caller_reply{p.request.id, std::move(result),
                                  p.has_session ? m_tokens.encode(p.session) : std::string{},
                                  std::move(transaction), endpoint});
    if (m_traces.size() == trace_capacity) {
        m_traces.pop_front();
    }
    m_traces.push_back(std::move(p.trace));
    remove_waiter(p);
    m_timers.erase({p.timer, p.serial});
    m_pending.erase(p.serial);
}

bool entry::check(promise which, bool holds) {
    return m_context.checks == nullptr ? holds : m_context.checks->check(which, holds);
}

void entry::set_timer(pending& p, instant at) {
    m_timers.erase({p.timer, p.serial});
    p.timer = at;
    m_timers.insert({at, p.serial});
}

void entry::add_trace_step(pending& p, std::string step) {
    p.trace.steps.push_back(std::move(step));
}

std::vector<entry::trace> entry::explain(std::uint64_t session) const {
    std::vector<trace> found;
    for (const trace& each : m_traces) {
        if (each.session == session) {
            found.push_back(each);
        }
    }
    for (const auto& [serial, p] : m_pending) {
        if (p.trace.session == session) {
            found.push_back(p.trace);
        }
    }
    return found;
}

}  // namespace jasminelead
