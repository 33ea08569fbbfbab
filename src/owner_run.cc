#include <algorithm>

#include "jasminelead/owner.h"

namespace jasminelead {
namespace {

using namespace literals;

/// A read without an answer is given up after this time, before its deadline, because it can be
/// retried at another endpoint.
constexpr duration read_answer_timeout = 2_s;
constexpr duration leaving_grace_period = 3_s;
/// An endpoint that has not answered a statement for this long is probed.
constexpr duration slow_statement_threshold = 150_ms;
/// Upper bound of a caller's timeout, so that no peer can make this daemon keep a call for longer.
constexpr duration max_caller_timeout = 60_s;

using place = detail::pending_call::place;
using detail::needs_confirmation;

/// True for the requests that need an open transaction.
bool in_transaction(request_kind kind) {
    return kind == request_kind::execute || kind == request_kind::commit ||
           kind == request_kind::rollback;
}

/// True if any endpoint of the group may answer the call.
bool is_plain_read(const statement_call& call) {
    return call.kind == request_kind::statement && call.read && !call.confirm;
}

bool needs_primary(const statement_call& call) {
    return needs_confirmation(call) || call.kind == request_kind::begin ||
           call.kind == request_kind::execute;
}

bool needs_majority(const statement_call& call) {
    return needs_confirmation(call) || call.kind == request_kind::begin;
}

}  // namespace

// ---- Arrival ----

void owner::on_call(const host_id& from, statement_call call, instant now, action_list& out) {
    m_now = now;
    pending_call pending;
    pending.from = from;
    pending.deadline = now + std::min(call.remaining, max_caller_timeout);
    pending.transaction = in_transaction(call.kind) ? call.transaction.number : 0;
    pending.call = std::move(call);
    const reason why = check_arrival(pending, now);
    if (why != reason::none) {
        reply(pending, not_run{why, ""}, std::nullopt, out);
        return;
    }
    endpoint& owned = *find(pending.call.endpoint);
    const std::uint64_t number = ++m_last_call;
    if (pending.transaction != 0) {
        owned.transactions.at(pending.transaction).call = number;
    }
    owned.calls.emplace(number, std::move(pending));
    enqueue(owned, number, now, out);
    dispatch(owned, now, out);
}

reason owner::check_arrival(const pending_call& pending, instant now) const {
    const statement_call& call = pending.call;
    if (pending.deadline <= now) {
        return reason::deadline;
    }
    if (in_transaction(call.kind)) {
        return check_transaction(call);
    }
    if (m_context.config == nullptr) {
        return reason::no_table;
    }
    if (service(call.service) == nullptr) {
        return reason::unknown_service;
    }
    const endpoint* owned = find(call.endpoint);
    if (owned == nullptr || owned->group != call.group) {
        return reason::not_owner;
    }
    const host_id* holder = m_context.fleet->owner_of(owned->id);
    const bool ours = holder != nullptr && *holder == m_context.self;
    const bool holds = owned->claim.held() && (ours || !owned->handover_deadline);
    const bool will_hold = ours && !owned->claim.in_hold_down(now);
    if (m_draining || (!holds && !will_hold)) {
        return reason::not_owner;
    }
    // Refuse reads between connection attempts: another endpoint can answer them.
    const bool unreachable =
        owned->claim.held() && owned->pool.size() == 0 && now < owned->next_open;
    if (unreachable && is_plain_read(call)) {
        return reason::endpoint_unavailable;
    }
    return service_share(*owned, call.service) == 0 ? reason::connection_limit : reason::none;
}

reason owner::check_transaction(const statement_call& call) const {
    const transaction_ref& ref = call.transaction;
    if (ref.owner != m_context.self || ref.incarnation != m_context.incarnation) {
        return reason::transaction_unknown;
    }
    if (m_lost_transactions.contains(ref.number)) {
        return reason::transaction_lost;
    }
    const endpoint* owned = find(call.endpoint);
    if (owned == nullptr) {
        return reason::transaction_unknown;
    }
    const auto found = owned->transactions.find(ref.number);
    if (found == owned->transactions.end() || found->second.service != call.service) {
        return reason::transaction_unknown;
    }
    return found->second.call != 0 ? reason::overloaded : reason::none;
}

owner::start_decision owner::check_start(const endpoint& owned, const pending_call& pending,
                                         instant now) const {
    const bool new_work = pending.transaction == 0;
    if (owned.leaving_since && new_work) {
        const bool too_late = now - *owned.leaving_since > leaving_grace_period;
        if (too_late || !needs_primary(pending.call)) {
            return {false, reason::endpoint_leaving};
        }
    }
    return needs_primary(pending.call) ? check_primary_start(owned, pending, now)
                                       : start_decision{};
}

owner::start_decision owner::check_primary_start(const endpoint& owned, const pending_call& pending,
                                                 instant now) const {
    const group_view& view = m_groups.view(owned.group);
    const bool held = m_groups.writes_held(owned.group);
    const bool new_work = pending.transaction == 0;
    if (view.primary.empty() && held) {
        return {true, reason::none};
    }
    if (view.primary != owned.id) {
        const bool lost = !new_work && !view.primary.empty();
        return {false, lost ? reason::transaction_lost : reason::not_primary};
    }
    if (!new_work && owned.transactions.at(pending.transaction).term != view.term) {
        return {false, reason::transaction_lost};
    }
    // A hold delays only new writes; open transactions may finish.
    if (held && new_work && !(pending.call.kind == request_kind::statement && pending.call.read)) {
        return {true, reason::none};
    }
    if (needs_majority(pending.call) && !m_confirmations.has_majority(owned.group, now)) {
        return {false, reason::no_majority};
    }
    return {};
}

void owner::enqueue(endpoint& owned, std::uint64_t number, instant now, action_list& out) {
    pending_call& pending = owned.calls.at(number);
    const start_decision decision = check_start(owned, pending, now);
    if (decision.refuse != reason::none) {
        refuse_waiting(owned, number, decision.refuse, now, out);
        return;
    }
    if (decision.wait) {
        ++owned.held;
        pending.where = place::held;
        // Held writes have their own limit, so that they do not fill the queue and block reads.
        if (owned.held > admission::capacity) {
            refuse_waiting(owned, number, reason::overloaded, now, out);
        }
        return;
    }
    const service_row* row = service(pending.call.service);
    const admission_request request{number, pending.call.service, row == nullptr ? 1 : row->share,
                                    pending.deadline, pending.transaction != 0};
    const admission::verdict verdict = owned.queue.push(request, limits(owned).slots, now);
    if (verdict.evicted) {
        refuse_waiting(owned, *verdict.evicted, reason::overloaded, now, out);
    }
    if (verdict.refused) {
        refuse_waiting(owned, number, *verdict.refused, now, out);
    }
}

void owner::reevaluate_waiting_calls(endpoint& owned, instant now, action_list& out) {
    std::vector<std::uint64_t> waiting;
    for (const auto& [number, pending] : owned.calls) {
        if (pending.where != place::running) {
            waiting.push_back(number);
        }
    }
    for (const std::uint64_t number : waiting) {
        const auto found = owned.calls.find(number);
        if (found == owned.calls.end()) {
            continue;
        }
        pending_call& pending = found->second;
        const start_decision decision = check_start(owned, pending, now);
        if (decision.refuse != reason::none) {
            refuse_waiting(owned, number, decision.refuse, now, out);
        } else if (decision.wait && pending.where == place::queued) {
            owned.queue.remove(pending.call.service, number);
            pending.where = place::held;
            ++owned.held;
        } else if (!decision.wait && pending.where == place::held) {
            pending.where = place::queued;
            --owned.held;
            enqueue(owned, number, now, out);
        }
    }
}

void owner::refuse_waiting(endpoint& owned, std::uint64_t number, reason why, instant now,
                           action_list& out) {
    const auto found = owned.calls.find(number);
    if (found == owned.calls.end()) {
        return;
    }
    const pending_call pending = std::move(found->second);
    owned.calls.erase(found);
    if (pending.where == place::held) {
        --owned.held;
    } else {
        owned.queue.remove(pending.call.service, number);
    }
    const auto transaction = owned.transactions.find(pending.transaction);
    if (transaction != owned.transactions.end()) {
        transaction->second.call = 0;
        transaction->second.last_used = now;
    }
    reply(pending, not_run{why, ""}, std::nullopt, out);
    if (why == reason::transaction_lost) {
        // The caller was told that the transaction is lost, so a later commit must not succeed.
        lose_transaction(owned, pending.transaction, now, out);
    }
}

/// Refuses waiting reads if no connection is open, because other endpoints can answer them. Writes
/// keep waiting for the primary or its successor.
void owner::refuse_waiting_reads(endpoint& owned, instant now, action_list& out) {
    if (owned.pool.size() > owned.pool.opening()) {
        return;
    }
    std::vector<std::uint64_t> reads;
    for (const auto& [number, pending] : owned.calls) {
        if (is_plain_read(pending.call) && pending.where != place::running) {
            reads.push_back(number);
        }
    }
    for (const std::uint64_t number : reads) {
        refuse_waiting(owned, number, reason::endpoint_unavailable, now, out);
    }
}

// ---- Dispatch ----

void owner::dispatch(endpoint& owned, instant now, action_list& out) {
    const std::uint32_t slots = limits(owned).slots;
    const admission::service_predicate below_share = [this, &owned](const service_id& service) {
        return owned.pool.in_use(service) < service_share(owned, service);
    };
    // While the claim is verified after an unexpected close, the other connections are probably
    // closed too, and a statement sent on one of them would have an unknown outcome.
    while (owned.claim.held() && !owned.claim.verifying() && owned.running < slots) {
        const auto next = owned.queue.pop(owned.pool.idle() > 0, below_share);
        if (!next) {
            break;
        }
        start(owned, *next, now, out);
    }
    open_missing(owned, now, out);
}

void owner::start(endpoint& owned, const admission::dispatched& next, instant now,
                  action_list& out) {
    pending_call& pending = owned.calls.at(next.number);
    start_decision decision = check_start(owned, pending, now);
    if (pending.deadline <= now) {
        decision = {false, reason::deadline};
    }
    if (decision.wait) {
        owned.queue.refund(pending.call.service, next.charged);
        pending.where = place::held;
        ++owned.held;
        return;
    }
    if (decision.refuse == reason::none && !assign_connection(owned, pending, now)) {
        decision.refuse = reason::invariant_broken;
    }
    if (decision.refuse != reason::none) {
        owned.queue.refund(pending.call.service, next.charged);
        refuse_waiting(owned, next.number, decision.refuse, now, out);
        return;
    }
    pending.charged = next.charged;
    send_statement(owned, next.number, pending, now, out);
}

/// Assigns a connection to the call. Returns false if none is free or an invariant would be broken.
bool owner::assign_connection(endpoint& owned, pending_call& pending, instant now) {
    const bool leaving_late =
        owned.leaving_since && now - *owned.leaving_since > leaving_grace_period;
    const bool new_work = pending.transaction == 0;
    if (!check(promise::leaving_endpoint, !new_work || !leaving_late) ||
        !check(promise::connection_limit, owned.running < limits(owned).slots)) {
        return false;
    }
    if (!new_work) {
        const connection_id bound = owned.transactions.at(pending.transaction).connection;
        const pooled_connection* connection = owned.pool.find(bound);
        const bool isolated = connection != nullptr && connection->call == 0 &&
                              connection->transaction == pending.transaction;
        if (!check(promise::transaction_isolation, isolated)) {
            return false;
        }
        pending.connection = bound;
        return true;
    }
    const service_id& user = pending.call.service;
    const auto taken = owned.pool.take(user, now);
    if (!taken) {
        return false;
    }
    pooled_connection& connection = *owned.pool.find(*taken);
    const bool isolated = connection.transaction == 0 && connection.call == 0;
    if (!check(promise::connection_limit, owned.pool.in_use(user) <= service_share(owned, user)) ||
        !check(promise::transaction_isolation, isolated)) {
        owned.pool.put_back(*taken, now);
        return false;
    }
    if (pending.call.kind == request_kind::begin) {
        connection.transaction = ++m_last_transaction;
        pending.transaction = connection.transaction;
    }
    pending.connection = *taken;
    return true;
}

void owner::send_statement(endpoint& owned, std::uint64_t number, pending_call& pending,
                           instant now, action_list& out) {
    statement_call& call = pending.call;
    pooled_connection& connection = *owned.pool.find(pending.connection);
    connection.call = number;
    ++connection.sequence;
    ++owned.running;
    pending.where = place::running;
    pending.started = now;
    pending.slow_check_at = now + slow_statement_threshold;
    pending.answer_deadline =
        call.read ? std::min(pending.deadline, now + read_answer_timeout) : pending.deadline;
    const auto transaction = owned.transactions.find(pending.transaction);
    if (transaction != owned.transactions.end()) {
        pending.term = transaction->second.term;
    } else if (!call.read || call.kind == request_kind::begin) {
        pending.term = m_groups.view(owned.group).term;
    }
    const term_number term = call.read ? 0 : pending.term;
    out.emplace_back(run_statement{owned.id, pending.connection, connection.sequence, call.kind,
                                   std::move(call.text), call.read, term});
}

void owner::open_missing(endpoint& owned, instant now, action_list& out) {
    if (!owned.claim.held() || now < owned.next_open) {
        return;
    }
    const std::uint32_t demand = connection_demand(owned);
    if (demand == 0 && !owned.wanted) {
        return;
    }
    const std::uint32_t limit = limits(owned).max_connections;
    const std::uint32_t missing = owned.pool.missing(demand, limit, now);
    for (std::uint32_t i = 0; i < missing; ++i) {
        if (!check(promise::connection_limit, owned.pool.size() < limit)) {
            return;
        }
        const connection_id id = ++m_last_connection;
        owned.pool.add_opening(id);
        out.emplace_back(open_connection{owned.id, id, owned.claim.epoch()});
    }
}

std::uint32_t owner::connection_demand(const endpoint& owned) const {
    std::size_t demand = 0;
    owned.queue.visit_waiting([&](const service_id& service, std::size_t waiting) {
        const std::uint32_t share = service_share(owned, service);
        const std::uint32_t used = owned.pool.in_use(service);
        demand += std::min<std::size_t>(waiting, share > used ? share - used : 0);
    });
    const std::uint32_t slots = limits(owned).slots;
    const std::uint32_t free_slots = slots > owned.running ? slots - owned.running : 0;
    return static_cast<std::uint32_t>(std::min<std::size_t>(demand, free_slots));
}

void owner::close_surplus(endpoint& owned, instant now, action_list& out) {
    for (const connection_id id : owned.pool.take_surplus(limits(owned).max_connections, now)) {
        out.emplace_back(close_connection{owned.id, id});
    }
}

}  // namespace jasminelead
