#include "jasminelead/owner.h"

#include <algorithm>
#include <random>

namespace jasminelead {
namespace {

using namespace literals;

/// A daemon that hands an endpoint over finishes its work in this time.
constexpr duration handover_limit = 10_s;
/// A transaction without a statement for this long holds a connection for nobody.
constexpr duration transaction_idle_limit = 30_s;
/// The same while other calls wait for a connection. Callers that gave up must not block the rest.
constexpr duration contended_idle_limit = 5_s;
constexpr duration lost_transaction_memory = 60_s;
constexpr std::size_t most_lost_transactions = 1024;
constexpr duration leaving_limit = 3_s;
/// Held writes are looked at this often in case a hold ends without a change of the view.
constexpr duration held_poll = 50_ms;

using place = detail::pending_call::place;

}  // namespace

namespace detail {

void lost_transactions::add(std::uint64_t number, instant now) {
    if (m_items.size() >= most_lost_transactions) {
        m_numbers.erase(m_items.front().number);
        m_items.pop_front();
    }
    m_items.push_back({number, now});
    m_numbers.insert(number);
}

void lost_transactions::expire(instant now) {
    while (!m_items.empty() && m_items.front().lost_at + lost_transaction_memory <= now) {
        m_numbers.erase(m_items.front().number);
        m_items.pop_front();
    }
}

}  // namespace detail

owner::owner(core_context& context, group_authority& groups, write_confirmation& confirmations)
    : m_context{context}, m_groups{groups}, m_confirmations{confirmations} {}

// ---- Look-ups ----

owner::endpoint* owner::find(const endpoint_id& id) {
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

const owner::endpoint* owner::find(const endpoint_id& id) const {
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

const service_row* owner::service(const service_id& id) const {
    if (m_context.config == nullptr) {
        return nullptr;
    }
    const auto found = m_context.config->services.find(id);
    return found == m_context.config->services.end() ? nullptr : &found->second;
}

endpoint_row owner::limits(const endpoint& at) const {
    if (m_context.config == nullptr) {
        return {};
    }
    const auto found = m_context.config->endpoints.find(at.id);
    return found == m_context.config->endpoints.end() ? endpoint_row{} : found->second;
}

std::uint32_t owner::service_share(const endpoint& at, const service_id& id) const {
    const service_row* row = service(id);
    const auto members = m_context.fleet->endpoints_of(at.group);
    const auto member = std::find_if(members.begin(), members.end(),
                                     [&at](const endpoint_entry& e) { return e.id == at.id; });
    if (row == nullptr || member == members.end()) {
        return 0;
    }
    return service_connection_share(*row, static_cast<std::size_t>(member - members.begin()),
                                    members.size());
}

bool owner::check(promise which, bool holds) {
    return m_context.checks == nullptr ? holds : m_context.checks->check(which, holds);
}

// ---- Connections and control calls ----

void owner::on_opened(const connection_opened& opened, instant now, action_list& out) {
    m_groups.on_stamp(opened.endpoint, opened.stamp, now, out);
    endpoint* at = find(opened.endpoint);
    if (at == nullptr || !at->pool.set_open(opened.connection, now)) {
        if (at == nullptr || at->pool.find(opened.connection) == nullptr) {
            out.emplace_back(close_connection{opened.endpoint, opened.connection});
        }
        return;
    }
    at->open_backoff = duration{};
    step(*at, now, out);
}

void owner::on_failed(const connection_failed& failed, instant now, action_list& out) {
    endpoint* at = find(failed.endpoint);
    if (at == nullptr || !at->pool.remove(failed.connection, now)) {
        return;
    }
    if (failed.error == endpoint_error::stale_epoch) {
        displaced(*at, now, out);
        return;
    }
    constexpr duration first_backoff = 50_ms;
    constexpr duration longest_backoff = 1_s;
    at->open_backoff = std::clamp(at->open_backoff * 2, first_backoff, longest_backoff);
    std::uniform_real_distribution<double> jitter{0.5, 1.0};
    at->next_open = now + at->open_backoff * jitter(m_context.random);
    if (failed.error != endpoint_error::limit) {
        m_groups.on_connection_error(failed.endpoint, failed.error, now, out);
        refuse_waiting_reads(*at, now, out);
    }
    step(*at, now, out);
}

void owner::on_lost(const connection_lost& lost, instant now, action_list& out) {
    endpoint* at = find(lost.endpoint);
    if (at == nullptr || at->pool.find(lost.connection) == nullptr) {
        return;
    }
    if (lost.error == endpoint_error::stale_epoch) {
        displaced(*at, now, out);
        return;
    }
    lose_connection(*at, lost.connection, reason::connection_lost, now, out);
    m_groups.on_connection_error(lost.endpoint, lost.error, now, out);
    // An endpoint closes connections when another daemon claims it.
    at->claim.verify();
    step(*at, now, out);
}

void owner::on_control(const control_answered& answered, instant now, action_list& out) {
    if (const auto* result = std::get_if<control_result>(&answered.answer)) {
        m_groups.on_stamp(answered.endpoint, result->state.stamp, now, out);
    }
    endpoint* at = find(answered.endpoint);
    if (at == nullptr) {
        return;
    }
    switch (at->claim.on_answer(m_context, answered, now)) {
        case endpoint_claim::change::acquired:
            out.emplace_back(log_state{"claimed " + at->id.str() + " at epoch " +
                                       std::to_string(at->claim.epoch())});
            break;
        case endpoint_claim::change::displaced:
            drop_connections(*at, now, out);
            refuse_all_waiting(*at, reason::not_owner, now, out);
            out.emplace_back(log_state{"displaced from " + at->id.str()});
            break;
        case endpoint_claim::change::unreachable:
            refuse_waiting_reads(*at, now, out);
            break;
        case endpoint_claim::change::none:
            break;
    }
    step(*at, now, out);
    forget_finished(now);
}

void owner::displaced(endpoint& at, instant now, action_list& out) {
    at.claim.displace(now);
    drop_connections(at, now, out);
    refuse_all_waiting(at, reason::not_owner, now, out);
    out.emplace_back(log_state{"displaced from " + at.id.str()});
    step(at, now, out);
}

void owner::drop_connections(endpoint& at, instant now, action_list& out) {
    std::vector<std::uint64_t> running;
    for (const auto& [number, pending] : at.calls) {
        if (pending.where == place::running) {
            running.push_back(number);
        }
    }
    for (const auto& [number, transaction] : std::exchange(at.transactions, {})) {
        m_lost.add(number, now);
    }
    for (const std::uint64_t number : running) {
        const pending_call pending = take_running(at, number, now);
        reply(pending, unknown_outcome{reason::connection_lost, ""}, std::nullopt, out);
    }
    for (const connection_id connection : at.pool.take_all()) {
        out.emplace_back(close_connection{at.id, connection});
    }
}

void owner::refuse_all_waiting(endpoint& at, reason why, instant now, action_list& out) {
    std::vector<std::uint64_t> waiting;
    for (const auto& [number, pending] : at.calls) {
        if (pending.where != place::running) {
            waiting.push_back(number);
        }
    }
    for (const std::uint64_t number : waiting) {
        const bool lost = at.calls.at(number).transaction != 0;
        refuse_waiting(at, number, lost ? reason::transaction_lost : why, now, out);
    }
}

// ---- Changes around the endpoints ----

void owner::on_view_changed(const group_id& group, instant now, action_list& out) {
    for (auto& [id, at] : m_endpoints) {
        if (at.group == group) {
            step(at, now, out);
        }
    }
}

void owner::on_peer_failed(const peer_failed& /*failed*/, instant now, action_list& out) {
    // A transaction handle works through any entry, so its transaction outlives the entry that
    // began it and ends by its idle time.
    step_all(now, out);
}

void owner::on_fleet_changed(instant now, action_list& out) {
    for (const endpoint_entry& entry : m_context.fleet->endpoints()) {
        const host_id* holder = m_context.fleet->owner_of(entry.id);
        const bool known = m_endpoints.contains(entry.id);
        if (!known && holder != nullptr && *holder == m_context.self) {
            m_endpoints.emplace(entry.id, endpoint{.id = entry.id,
                                                   .group = entry.group,
                                                   .claim = endpoint_claim{entry.id},
                                                   .pool = {},
                                                   .queue = {},
                                                   .calls = {},
                                                   .transactions = {},
                                                   .handover_until = {},
                                                   .leaving_since = {},
                                                   .open_backoff = {},
                                                   .next_open = {}});
        }
    }
    step_all(now, out);
}

void owner::on_config_changed(instant now, action_list& out) {
    for (auto& [id, at] : m_endpoints) {
        std::vector<std::uint64_t> removed;
        for (const auto& [number, pending] : at.calls) {
            const bool waits = pending.where != place::running && pending.transaction == 0;
            if (waits && service(pending.call.service) == nullptr) {
                removed.push_back(number);
            }
        }
        for (const std::uint64_t number : removed) {
            refuse_waiting(at, number, reason::unknown_service, now, out);
        }
    }
    step_all(now, out);
}

void owner::drain(instant now, action_list& out) {
    m_draining = true;
    step_all(now, out);
}

bool owner::drained() const {
    return m_draining && m_confirming.empty() && m_endpoints.empty();
}

// ---- Time ----

void owner::tick(instant now, action_list& out) {
    m_lost.expire(now);
    expire_confirming(now, out);
    step_all(now, out);
}

void owner::step_all(instant now, action_list& out) {
    m_now = now;
    for (auto& [id, at] : m_endpoints) {
        step(at, now, out);
    }
    forget_finished(now);
}

void owner::forget_finished(instant now) {
    std::erase_if(m_endpoints, [this, now](const auto& item) {
        const endpoint& at = item.second;
        // The hold-down must outlast a fleet that changes back and forth.
        const bool settled = m_draining || !at.claim.in_hold_down(now);
        return !at.wanted && settled && at.claim.inactive() && at.calls.empty();
    });
}

void owner::step(endpoint& at, instant now, action_list& out) {
    m_now = now;
    refresh(at, now);
    expire(at, now, out);
    recheck_waiting(at, now, out);
    update_handover(at, now, out);
    at.claim.advance(m_context, at.wanted, m_last_control, now, out);
    close_surplus(at, now, out);
    dispatch(at, now, out);
}

void owner::refresh(endpoint& at, instant now) {
    const host_id* holder = m_context.fleet->owner_of(at.id);
    at.wanted = !m_draining && holder != nullptr && *holder == m_context.self;
    const endpoint_entry* entry = m_context.fleet->endpoint(at.id);
    if (entry == nullptr || entry->state != member_state::leaving) {
        at.leaving_since.reset();
    } else if (!at.leaving_since) {
        at.leaving_since = now;
    }
}

void owner::update_handover(endpoint& at, instant now, action_list& out) {
    if (at.wanted) {
        at.handover_until.reset();
        return;
    }
    if (!at.claim.held()) {
        at.handover_until.reset();
        refuse_all_waiting(at, reason::not_owner, now, out);
        return;
    }
    if (!at.handover_until) {
        at.handover_until = now + handover_limit;
    }
    const bool finished = at.calls.empty() && at.transactions.empty();
    if (!finished && now < *at.handover_until) {
        return;
    }
    drop_connections(at, now, out);
    refuse_all_waiting(at, reason::not_owner, now, out);
    at.claim.release(m_context, now);
    at.handover_until.reset();
    out.emplace_back(log_state{"released " + at.id.str()});
}

void owner::expire(endpoint& at, instant now, action_list& out) {
    for (const std::uint64_t number : at.queue.take_expired(now)) {
        refuse_waiting(at, number, reason::deadline, now, out);
    }
    std::vector<std::uint64_t> expired;
    for (const auto& [number, pending] : at.calls) {
        if (pending.where == place::held && pending.deadline <= now) {
            expired.push_back(number);
        }
    }
    for (const std::uint64_t number : expired) {
        refuse_waiting(at, number, reason::no_primary, now, out);
    }
    expire_running(at, now, out);
    expire_transactions(at, now, out);
}

void owner::expire_running(endpoint& at, instant now, action_list& out) {
    std::vector<std::uint64_t> silent;
    bool late = false;
    for (auto& [number, pending] : at.calls) {
        if (pending.where != place::running) {
            continue;
        }
        if (pending.silent_at <= now) {
            silent.push_back(number);
        } else if (pending.late_at <= now) {
            pending.late_at = instant::max();
            late = true;
        }
    }
    if (late) {
        // The statement goes on. A status call on a new connection tells slow from silent.
        m_groups.on_connection_error(at.id, endpoint_error::timeout, now, out);
    }
    for (const std::uint64_t number : silent) {
        const connection_id connection = at.calls.at(number).connection;
        if (m_context.enabled.connection_discard) {
            close(at, connection, reason::connection_silent, now, out);
        } else {
            const pending_call pending = take_running(at, number, now);
            reply(pending, unknown_outcome{reason::connection_silent, ""}, std::nullopt, out);
            if (!at.transactions.contains(pending.transaction)) {
                at.pool.put_back(connection, now);
            }
        }
        m_groups.on_connection_error(at.id, endpoint_error::timeout, now, out);
    }
}

duration owner::idle_limit_of(const endpoint& at) const {
    // With a free slot, what waits in the queue waits for a connection.
    const bool contended = at.queue.size() > 0 && at.running < limits(at).slots;
    return contended ? contended_idle_limit : transaction_idle_limit;
}

void owner::expire_transactions(endpoint& at, instant now, action_list& out) {
    if (at.transactions.empty()) {
        return;
    }
    const group_view view = m_groups.view(at.group);
    const bool moved = !view.primary.empty() && view.primary != at.id;
    const duration idle_limit = idle_limit_of(at);
    std::vector<std::uint64_t> ended;
    for (const auto& [number, transaction] : at.transactions) {
        // A statement that runs is left to its answer: only the endpoint knows its outcome.
        const pooled_connection* connection = at.pool.find(transaction.connection);
        const bool runs = connection != nullptr && connection->call != 0;
        const bool idle = transaction.call == 0 && transaction.last_used + idle_limit <= now;
        if (idle || (!runs && (moved || transaction.term != view.term))) {
            ended.push_back(number);
        }
    }
    for (const std::uint64_t number : ended) {
        // Closing the connection rolls the transaction back.
        lose_transaction(at, number, now, out);
    }
}

void owner::expire_confirming(instant now, action_list& out) {
    for (auto item = m_confirming.begin(); item != m_confirming.end();) {
        if (now < item->second.pending.deadline) {
            ++item;
            continue;
        }
        reply(item->second.pending, unknown_outcome{reason::unconfirmed, ""}, item->second.stamp,
              out);
        item = m_confirming.erase(item);
    }
}

std::optional<instant> owner::next_wakeup() const {
    std::optional<instant> next;
    const auto consider = [&next](std::optional<instant> at) {
        if (at && (!next || *at < *next)) {
            next = at;
        }
    };
    for (const auto& [id, at] : m_endpoints) {
        consider(next_wakeup(at));
    }
    for (const auto& [ticket, confirming] : m_confirming) {
        consider(confirming.pending.deadline);
    }
    return next;
}

std::optional<instant> owner::next_wakeup(const endpoint& at) const {
    std::optional<instant> next = at.claim.next_wakeup(at.wanted);
    const auto consider = [&next](std::optional<instant> time) {
        if (time && (!next || *time < *next)) {
            next = time;
        }
    };
    consider(at.queue.next_deadline());
    for (const auto& [number, pending] : at.calls) {
        if (pending.where == place::running) {
            consider(std::min(pending.late_at, pending.silent_at));
        } else if (pending.where == place::held) {
            consider(std::min(pending.deadline, m_now + held_poll));
        }
    }
    for (const auto& [number, transaction] : at.transactions) {
        if (transaction.call == 0) {
            consider(transaction.last_used + idle_limit_of(at));
        }
    }
    consider(at.handover_until);
    if (at.leaving_since && m_now < *at.leaving_since + leaving_limit) {
        consider(*at.leaving_since + leaving_limit);
    }
    if (at.claim.held() && m_now < at.next_open) {
        consider(at.next_open);
    }
    consider(at.pool.next_surplus(m_now));
    if (!at.wanted && at.claim.in_hold_down(m_now)) {
        // The record of the displacement is dropped after the hold-down.
        consider(m_now + 1_s);
    }
    return next;
}

std::vector<owner::endpoint_status> owner::status() const {
    std::vector<endpoint_status> all;
    for (const auto& [id, at] : m_endpoints) {
        all.push_back({id, at.claim.epoch(), at.claim.held(), at.pool.size(), at.running,
                       at.queue.size() + at.held});
    }
    return all;
}

std::size_t owner::writes_in_progress(const group_id& group) const {
    std::size_t writes = 0;
    for (const auto& [id, at] : m_endpoints) {
        if (at.group != group) {
            continue;
        }
        for (const auto& [number, pending] : at.calls) {
            const bool plain_read =
                pending.call.kind == request_kind::statement && pending.call.read;
            writes += pending.where == place::running && !plain_read ? 1 : 0;
        }
    }
    for (const auto& [ticket, confirming] : m_confirming) {
        const statement_call& call = confirming.pending.call;
        writes += call.group == group && !call.read ? 1 : 0;
    }
    return writes;
}

std::size_t owner::open_transactions(const group_id& group) const {
    std::size_t open = 0;
    for (const auto& [id, at] : m_endpoints) {
        open += at.group == group ? at.transactions.size() : 0;
    }
    return open;
}

}  // namespace jasminelead
