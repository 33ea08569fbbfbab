#include "jasminelead/owner.h"

#include <algorithm>
#include <random>

namespace jasminelead {
namespace {

using namespace literals;

/// Work that is not finished this long after a handover starts is aborted.
constexpr duration handover_timeout = 10_s;
/// An idle transaction is closed after this time, since its caller has probably gone.
constexpr duration transaction_idle_limit = 30_s;
/// Idle limit while other calls wait for a connection, so that abandoned transactions do not block
/// them.
constexpr duration contended_transaction_idle_limit = 5_s;
constexpr duration lost_transaction_retention = 60_s;
constexpr std::size_t max_lost_transactions = 1024;
constexpr duration leaving_grace_period = 3_s;
/// Held writes are checked at this interval because a hold can end without a change of the view.
constexpr duration held_call_poll_interval = 50_ms;

using place = detail::pending_call::place;

}  // namespace

namespace detail {

void lost_transactions::add(std::uint64_t number, instant now) {
    if (m_items.size() >= max_lost_transactions) {
        m_numbers.erase(m_items.front().number);
        m_items.pop_front();
    }
    m_items.push_back({number, now});
    m_numbers.insert(number);
}

void lost_transactions::expire(instant now) {
    while (!m_items.empty() && m_items.front().lost_at + lost_transaction_retention <= now) {
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

endpoint_row owner::limits(const endpoint& owned) const {
    if (m_context.config == nullptr) {
        return {};
    }
    const auto found = m_context.config->endpoints.find(owned.id);
    return found == m_context.config->endpoints.end() ? endpoint_row{} : found->second;
}

std::uint32_t owner::service_share(const endpoint& owned, const service_id& id) const {
    const service_row* row = service(id);
    const auto members = m_context.fleet->endpoints_of(owned.group);
    const auto member =
        std::find_if(members.begin(), members.end(),
                     [&owned](const endpoint_entry& e) { return e.id == owned.id; });
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
    endpoint* owned = find(opened.endpoint);
    if (owned == nullptr || !owned->pool.set_open(opened.connection, now)) {
        if (owned == nullptr || owned->pool.find(opened.connection) == nullptr) {
            out.emplace_back(close_connection{opened.endpoint, opened.connection});
        }
        return;
    }
    owned->open_backoff = duration{};
    step(*owned, now, out);
}

void owner::on_failed(const connection_failed& failed, instant now, action_list& out) {
    endpoint* owned = find(failed.endpoint);
    if (owned == nullptr || !owned->pool.remove(failed.connection, now)) {
        return;
    }
    if (failed.error == endpoint_error::stale_epoch) {
        on_displaced(*owned, now, out);
        return;
    }
    constexpr duration first_backoff = 50_ms;
    constexpr duration longest_backoff = 1_s;
    owned->open_backoff = std::clamp(owned->open_backoff * 2, first_backoff, longest_backoff);
    std::uniform_real_distribution<double> jitter{0.5, 1.0};
    owned->next_open = now + owned->open_backoff * jitter(m_context.random);
    if (failed.error != endpoint_error::limit) {
        m_groups.on_connection_error(failed.endpoint, failed.error, now, out);
        refuse_waiting_reads(*owned, now, out);
    }
    step(*owned, now, out);
}

void owner::on_lost(const connection_lost& lost, instant now, action_list& out) {
    endpoint* owned = find(lost.endpoint);
    if (owned == nullptr || owned->pool.find(lost.connection) == nullptr) {
        return;
    }
    if (lost.error == endpoint_error::stale_epoch) {
        on_displaced(*owned, now, out);
        return;
    }
    lose_connection(*owned, lost.connection, reason::connection_lost, now, out);
    m_groups.on_connection_error(lost.endpoint, lost.error, now, out);
    // The endpoint may have closed the connection because another daemon claimed it.
    owned->claim.verify();
    step(*owned, now, out);
}

void owner::on_control(const control_answered& answered, instant now, action_list& out) {
    if (const auto* result = std::get_if<control_result>(&answered.answer)) {
        m_groups.on_stamp(answered.endpoint, result->state.stamp, now, out);
    }
    endpoint* owned = find(answered.endpoint);
    if (owned == nullptr) {
        return;
    }
    switch (owned->claim.on_answer(m_context, answered, now)) {
        case endpoint_claim::change::acquired:
            out.emplace_back(log_state{"claimed " + owned->id.str() + " at epoch " +
                                       std::to_string(owned->claim.epoch())});
            break;
        case endpoint_claim::change::displaced:
            drop_connections(*owned, now, out);
            refuse_all_waiting(*owned, reason::not_owner, now, out);
            out.emplace_back(log_state{"claim superseded by another daemon: " + owned->id.str()});
            break;
        case endpoint_claim::change::unreachable:
            refuse_waiting_reads(*owned, now, out);
            break;
        case endpoint_claim::change::none:
            break;
    }
    step(*owned, now, out);
    erase_finished_endpoints(now);
}

void owner::on_displaced(endpoint& owned, instant now, action_list& out) {
    owned.claim.displace(now);
    drop_connections(owned, now, out);
    refuse_all_waiting(owned, reason::not_owner, now, out);
    out.emplace_back(log_state{"claim superseded by another daemon: " + owned.id.str()});
    step(owned, now, out);
}

void owner::drop_connections(endpoint& owned, instant now, action_list& out) {
    std::vector<std::uint64_t> running;
    for (const auto& [number, pending] : owned.calls) {
        if (pending.where == place::running) {
            running.push_back(number);
        }
    }
    for (const auto& [number, transaction] : std::exchange(owned.transactions, {})) {
        m_lost_transactions.add(number, now);
    }
    for (const std::uint64_t number : running) {
        const pending_call pending = remove_running_call(owned, number, now);
        reply(pending, unknown_outcome{reason::connection_lost, ""}, std::nullopt, out);
    }
    for (const connection_id connection : owned.pool.take_all()) {
        out.emplace_back(close_connection{owned.id, connection});
    }
}

void owner::refuse_all_waiting(endpoint& owned, reason why, instant now, action_list& out) {
    std::vector<std::uint64_t> waiting;
    for (const auto& [number, pending] : owned.calls) {
        if (pending.where != place::running) {
            waiting.push_back(number);
        }
    }
    for (const std::uint64_t number : waiting) {
        const bool lost = owned.calls.at(number).transaction != 0;
        refuse_waiting(owned, number, lost ? reason::transaction_lost : why, now, out);
    }
}

// ---- Changes around the endpoints ----

void owner::on_view_changed(const group_id& group, instant now, action_list& out) {
    for (auto& [id, owned] : m_endpoints) {
        if (owned.group == group) {
            step(owned, now, out);
        }
    }
}

void owner::on_peer_failed(const peer_failed& /*failed*/, instant now, action_list& out) {
    // A transaction handle is valid at any entry, so the transaction outlives the entry that began
    // it and ends by its idle limit.
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
                                                   .handover_deadline = {},
                                                   .leaving_since = {},
                                                   .open_backoff = {},
                                                   .next_open = {}});
        }
    }
    step_all(now, out);
}

void owner::on_config_changed(instant now, action_list& out) {
    for (auto& [id, owned] : m_endpoints) {
        std::vector<std::uint64_t> removed;
        for (const auto& [number, pending] : owned.calls) {
            const bool waits = pending.where != place::running && pending.transaction == 0;
            if (waits && service(pending.call.service) == nullptr) {
                removed.push_back(number);
            }
        }
        for (const std::uint64_t number : removed) {
            refuse_waiting(owned, number, reason::unknown_service, now, out);
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
    m_lost_transactions.expire(now);
    expire_confirming(now, out);
    step_all(now, out);
}

void owner::step_all(instant now, action_list& out) {
    m_now = now;
    for (auto& [id, owned] : m_endpoints) {
        step(owned, now, out);
    }
    erase_finished_endpoints(now);
}

void owner::erase_finished_endpoints(instant now) {
    std::erase_if(m_endpoints, [this, now](const auto& item) {
        const endpoint& owned = item.second;
        // Keep the hold-down, so that a fleet that changes back and forth does not reset it.
        const bool settled = m_draining || !owned.claim.in_hold_down(now);
        return !owned.wanted && settled && owned.claim.inactive() && owned.calls.empty();
    });
}

void owner::step(endpoint& owned, instant now, action_list& out) {
    m_now = now;
    refresh(owned, now);
    expire(owned, now, out);
    reevaluate_waiting_calls(owned, now, out);
    update_handover(owned, now, out);
    owned.claim.advance(m_context, owned.wanted, m_last_control, now, out);
    close_surplus(owned, now, out);
    dispatch(owned, now, out);
}

void owner::refresh(endpoint& owned, instant now) {
    const host_id* holder = m_context.fleet->owner_of(owned.id);
    owned.wanted = !m_draining && holder != nullptr && *holder == m_context.self;
    const endpoint_entry* entry = m_context.fleet->endpoint(owned.id);
    if (entry == nullptr || entry->state != member_state::leaving) {
        owned.leaving_since.reset();
    } else if (!owned.leaving_since) {
        owned.leaving_since = now;
    }
}

void owner::update_handover(endpoint& owned, instant now, action_list& out) {
    if (owned.wanted) {
        owned.handover_deadline.reset();
        return;
    }
    if (!owned.claim.held()) {
        owned.handover_deadline.reset();
        refuse_all_waiting(owned, reason::not_owner, now, out);
        return;
    }
    if (!owned.handover_deadline) {
        owned.handover_deadline = now + handover_timeout;
    }
    const bool finished = owned.calls.empty() && owned.transactions.empty();
    if (!finished && now < *owned.handover_deadline) {
        return;
    }
    drop_connections(owned, now, out);
    refuse_all_waiting(owned, reason::not_owner, now, out);
    owned.claim.release(m_context, now);
    owned.handover_deadline.reset();
    out.emplace_back(log_state{"released the claim on " + owned.id.str()});
}

void owner::expire(endpoint& owned, instant now, action_list& out) {
    for (const std::uint64_t number : owned.queue.take_expired(now)) {
        refuse_waiting(owned, number, reason::deadline, now, out);
    }
    std::vector<std::uint64_t> expired;
    for (const auto& [number, pending] : owned.calls) {
        if (pending.where == place::held && pending.deadline <= now) {
            expired.push_back(number);
        }
    }
    for (const std::uint64_t number : expired) {
        refuse_waiting(owned, number, reason::no_primary, now, out);
    }
    expire_running(owned, now, out);
    expire_transactions(owned, now, out);
}

void owner::expire_running(endpoint& owned, instant now, action_list& out) {
    std::vector<std::uint64_t> silent;
    bool late = false;
    for (auto& [number, pending] : owned.calls) {
        if (pending.where != place::running) {
            continue;
        }
        if (pending.answer_deadline <= now) {
            silent.push_back(number);
        } else if (pending.slow_check_at <= now) {
            pending.slow_check_at = instant::max();
            late = true;
        }
    }
    if (late) {
        // The statement continues. A status call on a new connection tells whether the endpoint is
        // slow or unreachable.
        m_groups.on_connection_error(owned.id, endpoint_error::timeout, now, out);
    }
    for (const std::uint64_t number : silent) {
        const connection_id connection = owned.calls.at(number).connection;
        if (m_context.enabled.connection_discard) {
            close(owned, connection, reason::connection_silent, now, out);
        } else {
            const pending_call pending = remove_running_call(owned, number, now);
            reply(pending, unknown_outcome{reason::connection_silent, ""}, std::nullopt, out);
            if (!owned.transactions.contains(pending.transaction)) {
                owned.pool.put_back(connection, now);
            }
        }
        m_groups.on_connection_error(owned.id, endpoint_error::timeout, now, out);
    }
}

duration owner::transaction_idle_limit_of(const endpoint& owned) const {
    // If a slot is free, queued calls can only be waiting for a connection.
    const bool contended = owned.queue.size() > 0 && owned.running < limits(owned).slots;
    return contended ? contended_transaction_idle_limit : transaction_idle_limit;
}

void owner::expire_transactions(endpoint& owned, instant now, action_list& out) {
    if (owned.transactions.empty()) {
        return;
    }
    const group_view view = m_groups.view(owned.group);
    const bool moved = !view.primary.empty() && view.primary != owned.id;
    const duration idle_limit = transaction_idle_limit_of(owned);
    std::vector<std::uint64_t> ended;
    for (const auto& [number, transaction] : owned.transactions) {
        // Wait for a running statement: only the endpoint knows its outcome.
        const pooled_connection* connection = owned.pool.find(transaction.connection);
        const bool runs = connection != nullptr && connection->call != 0;
        const bool idle = transaction.call == 0 && transaction.last_used + idle_limit <= now;
        if (idle || (!runs && (moved || transaction.term != view.term))) {
            ended.push_back(number);
        }
    }
    for (const std::uint64_t number : ended) {
        // Closes the connection, which rolls the transaction back.
        lose_transaction(owned, number, now, out);
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
    const auto consider = [&next](std::optional<instant> time) {
        if (time && (!next || *time < *next)) {
            next = time;
        }
    };
    for (const auto& [id, owned] : m_endpoints) {
        consider(next_wakeup(owned));
    }
    for (const auto& [ticket, confirming] : m_confirming) {
        consider(confirming.pending.deadline);
    }
    return next;
}

std::optional<instant> owner::next_wakeup(const endpoint& owned) const {
    std::optional<instant> next = owned.claim.next_wakeup(owned.wanted);
    const auto consider = [&next](std::optional<instant> time) {
        if (time && (!next || *time < *next)) {
            next = time;
        }
    };
    consider(owned.queue.next_deadline());
    for (const auto& [number, pending] : owned.calls) {
        if (pending.where == place::running) {
            consider(std::min(pending.slow_check_at, pending.answer_deadline));
        } else if (pending.where == place::held) {
            consider(std::min(pending.deadline, m_now + held_call_poll_interval));
        }
    }
    for (const auto& [number, transaction] : owned.transactions) {
        if (transaction.call == 0) {
            consider(transaction.last_used + transaction_idle_limit_of(owned));
        }
    }
    consider(owned.handover_deadline);
    if (owned.leaving_since && m_now < *owned.leaving_since + leaving_grace_period) {
        consider(*owned.leaving_since + leaving_grace_period);
    }
    if (owned.claim.held() && m_now < owned.next_open) {
        consider(owned.next_open);
    }
    consider(owned.pool.next_surplus(m_now));
    if (!owned.wanted && owned.claim.in_hold_down(m_now)) {
        // Wake up to erase the endpoint after its hold-down.
        consider(m_now + 1_s);
    }
    return next;
}

std::vector<owner::endpoint_status> owner::status() const {
    std::vector<endpoint_status> all;
    for (const auto& [id, owned] : m_endpoints) {
        all.push_back({id, owned.claim.epoch(), owned.claim.held(), owned.pool.size(),
                       owned.running, owned.queue.size() + owned.held});
    }
    return all;
}

std::size_t owner::open_transactions(const group_id& group) const {
    std::size_t open = 0;
    for (const auto& [id, owned] : m_endpoints) {
        open += owned.group == group ? owned.transactions.size() : 0;
    }
    return open;
}

}  // namespace jasminelead
