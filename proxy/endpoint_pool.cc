#include "proxy/endpoint_pool.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <utility>

#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

// Several handshake times, because an endpoint under load accepts connections one by one.
constexpr duration open_timeout = 350_ms;
// Several times the duration of a usual statement.
constexpr duration max_response_gap = 200_ms;
// Connection ids begin at 1.
constexpr connection_id no_connection = 0;
// One user for all connections: the queue, not the pool, shares them between lanes.
const service_id any_user{"any"};

bool any_lane(const service_id&) {
    return true;
}

}  // namespace

endpoint_pool::endpoint_pool(daemon::worker& home, wait_list& changed, daemon::metrics& counters,
                             listed_endpoint endpoint)
    : m_home{home}, m_changed{changed}, m_counters{counters}, m_endpoint{std::move(endpoint)} {
    m_limit.set_max_allowed(m_endpoint.slots);
}

std::variant<acquired_connection, reason> endpoint_pool::acquire(const work_request& request) {
    if (m_retired) {
        return reason::endpoint_leaving;
    }
    const waiter_ptr turn = enqueue_and_wait(request, false);
    if (turn->refused) {
        return *turn->refused;
    }
    return acquired_connection{*turn->connection, *turn->slot};
}

std::variant<run_slot, reason> endpoint_pool::acquire_slot(const work_request& request) {
    const waiter_ptr turn = enqueue_and_wait(request, true);
    if (turn->refused) {
        return *turn->refused;
    }
    return *turn->slot;
}

endpoint_pool::waiter_ptr endpoint_pool::enqueue_and_wait(const work_request& request, bool bound) {
    const auto turn = std::make_shared<waiter>();
    turn->lane = request.lane;
    turn->kind = request.kind;
    turn->caller = request.caller;
    turn->bound = bound;
    const std::uint64_t number = m_next_number++;
    const instant now = boot_now();
    const admission_request entry{number,        request.lane,
                                  request.share, request.start_deadline,
                                  bound,         request.caller.identity.account};
    if (m_by_account && !bound) {
        m_accounts.on_request(entry.account, now);
    }
    const auto verdict = m_queue.push(entry, window(), now);
    if (verdict.refused) {
        turn->refused = verdict.refused;
        return turn;
    }
    m_waiters.emplace(number, turn);
    if (verdict.evicted) {
        const auto evicted = m_waiters.extract(*verdict.evicted);
        evicted.mapped()->refused = reason::overloaded;
        evicted.mapped()->wake({});
    }
    const auto keep_alive = shared_from_this();
    daemon::await_operation(m_home.io(), to_steady(request.give_up), [&](auto handler) {
        turn->wake = std::move(handler);
        dispatch_waiting();
    });
    if (!turn->slot && !turn->refused) {
        m_queue.remove(request.lane, number);
        m_waiters.erase(number);
        turn->refused = reason::deadline;
    }
    return turn;
}

void endpoint_pool::dispatch_waiting() {
    while (m_running < window() && dispatch_next()) {
    }
    open_missing_connections();
}

std::optional<admission::dispatched> endpoint_pool::next_waiting() {
    if (m_by_account) {
        return m_queue.pop_for_account(
            [this](const account_id& account) { return has_usable_connection(account); });
    }
    if (unbound_waiting() > 0) {
        drop_unusable_connections();
    }
    return m_queue.pop(m_connections.idle() > 0, any_lane);
}

bool endpoint_pool::dispatch_next() {
    const instant now = boot_now();
    const auto next = next_waiting();
    if (!next) {
        return false;
    }
    const waiter_ptr turn = m_waiters.extract(next->number).mapped();
    turn->slot = run_slot{turn->lane, turn->kind, next->charged, now};
    if (!turn->bound) {
        const connection_id id = take_connection(*turn);
        turn->connection = held_connection{m_links.at(id), id};
    }
    if (m_running++ == 0) {
        m_unanswered_since = now;
    }
    turn->wake({});
    return true;
}

/// Call when a usable connection is idle.
connection_id endpoint_pool::take_connection(const waiter& turn) {
    const instant now = boot_now();
    const auto taken =
        m_by_account ? m_connections.take_of_account(turn.caller.identity.account, any_user, now)
                     : m_connections.take(any_user, now);
    return taken.value_or(no_connection);
}

/// Closes idle connections that the endpoint has closed, until the next one to take is usable.
void endpoint_pool::drop_unusable_connections() {
    while (const auto id = m_connections.most_recent_idle()) {
        if (m_links.at(*id)->is_usable()) {
            return;
        }
        discard(*id);
    }
}

bool endpoint_pool::has_usable_connection(const account_id& account) {
    while (const auto id = m_connections.idle_of_account(account)) {
        if (m_links.at(*id)->is_usable()) {
            return true;
        }
        discard(*id);
    }
    return false;
}

/// Closes and forgets a connection.
void endpoint_pool::discard(connection_id id) {
    const auto link = m_links.extract(id);
    if (!link.empty()) {
        link.mapped()->close();
    }
    if (const auto removed = m_connections.remove(id, boot_now())) {
        m_accounts.on_closed(removed->account);
    }
}

std::uint32_t endpoint_pool::unbound_waiting() const {
    std::size_t count = 0;
    m_queue.visit_waiting([&count](const service_id&, std::size_t size) { count += size; });
    return static_cast<std::uint32_t>(count);
}

void endpoint_pool::open_missing_connections() {
    const instant now = boot_now();
    if (m_retired || !m_health.is_reachable()) {
        return;
    }
    if (m_by_account) {
        open_connections_of_accounts();
        return;
    }
    const std::uint32_t demand = std::min(unbound_waiting(), window());
    if (demand == 0) {
        return;
    }
    const std::uint32_t missing = m_connections.missing(demand, m_share.allowed(now), now);
    for (std::uint32_t i = 0; i < missing; ++i) {
        open_new_connection(account_id{});
    }
}

/// A new connection occupies a slot of the endpoint, so that no more are opened at a time than
/// statements may run.
void endpoint_pool::open_connections_of_accounts() {
    const std::uint32_t limit = m_share.allowed(boot_now());
    for (const account_demand& demand : m_queue.waiting_accounts()) {
        if (m_connections.opening() >= window()) {
            return;
        }
        const account_id& account = demand.account;
        if (m_connections.opening(account) + m_connections.idle(account) >= demand.waiting) {
            continue;
        }
        const bool has_room = m_connections.size() < limit;
        if (has_room || close_idle_connection_for(account, limit)) {
            m_counters.count("connections_opened", has_room ? "below_share" : "replacing");
            open_new_connection(account);
        }
    }
}

/// Returns false if the account has to wait for its own connections.
bool endpoint_pool::close_idle_connection_for(const account_id& account, std::uint32_t limit) {
    std::vector<idle_connection> idle;
    m_connections.visit_idle([&idle](connection_id id, const pooled_connection& connection) {
        idle.push_back({id, connection.account, connection.idle_since});
    });
    const instant now = boot_now();
    const auto evicted = m_accounts.choose_evicted(account, idle, limit, now);
    if (!evicted) {
        m_counters.count("connection_waits", idle.empty() ? "none_idle" : "in_use_by_others");
        return false;
    }
    const bool was_spare =
        m_connections.find(*evicted)->idle_since + account_connections::reuse_horizon <= now;
    m_counters.count("connections_evicted", was_spare ? "unused" : "less_used");
    discard(*evicted);
    m_accounts.forget_inactive(now);
    return true;
}

void endpoint_pool::open_new_connection(const account_id& account) {
    const connection_id id = m_next_number++;
    m_connections.add_opening(id, account);
    m_accounts.on_opened(account);
    m_links.emplace(id, std::make_shared<endpoint_connection>(m_home.io()));
    m_home.spawn([self = shared_from_this(), id] { self->connect_to_endpoint(id); });
}

void endpoint_pool::connect_to_endpoint(connection_id id) {
    const auto link = m_links.at(id);
    const account_id account = m_connections.find(id)->account;
    const auto result = link->open(m_endpoint.entry, account, to_steady(boot_now() + open_timeout));
    if (const auto* const point = std::get_if<std::optional<log_point>>(&result)) {
        on_answer(*point);
        on_opened(id);
        return;
    }
    if (const auto* const fault = std::get_if<statement_fault>(&result)) {
        const bool full = *fault == statement_fault::connection_limit;
        on_open_failed(id, full ? reason::connection_limit : reason::endpoint_unavailable);
        return;
    }
    // An endpoint at its limit may close the connection before its refusal is received.
    const bool was_closed = std::get<connection_fault>(result) == connection_fault::lost;
    on_open_failed(id, was_closed ? reason::connection_limit : reason::endpoint_unavailable);
}

void endpoint_pool::on_opened(connection_id id) {
    m_is_limit_reached = false;
    m_connections.set_open(id, boot_now());
    dispatch_waiting();
}

void endpoint_pool::on_open_failed(connection_id id, reason why) {
    const instant now = boot_now();
    discard(id);
    m_is_limit_reached = why == reason::connection_limit;
    if (m_is_limit_reached) {
        m_counters.count("connections_refused", to_string(why));
        log_line{log_class::refusal, "connection_refused"}
            .with("endpoint", m_endpoint.entry.id)
            .with("group", m_endpoint.entry.group)
            .with("open", connections())
            .with("share", m_share.share())
            .with("waiting", std::uint64_t{m_queue.size()})
            .write();
        m_share.on_refused(m_connections.size(), now);
        if (m_connections.size() == 0) {
            // Another endpoint or another host may serve them sooner.
            refuse_unbound_waiters(why);
        }
        schedule_retry(m_share.retry_at());
        return;
    }
    const bool was_reachable = m_health.is_reachable();
    m_health.on_connect_failed(now);
    if (was_reachable) {
        log_line{log_class::change, "endpoint_unreachable"}
            .with("endpoint", m_endpoint.entry.id)
            .with("group", m_endpoint.entry.group)
            .with("reason", to_string(why))
            .write();
        m_changed.notify_all();
    }
    refuse_unbound_waiters(why);
    schedule_retry(m_health.retry_at());
}

void endpoint_pool::refuse_unbound_waiters(reason why) {
    refuse_waiters([](const waiter& turn) { return !turn.bound; }, why);
}

void endpoint_pool::refuse_waiting() {
    refuse_waiters([](const waiter&) { return true; }, reason::deadline);
}

void endpoint_pool::refuse_removed_callers(const routing_config& config) {
    refuse_waiters([&config](const waiter& turn) { return !config.still_admits(turn.caller); },
                   reason::key_removed);
}

void endpoint_pool::refuse_waiters(const waiter_predicate& is_refused, reason why) {
    std::vector<std::uint64_t> refused;
    for (const auto& [number, turn] : m_waiters) {
        if (is_refused(*turn)) {
            refused.push_back(number);
        }
    }
    for (const std::uint64_t number : refused) {
        const waiter_ptr turn = m_waiters.extract(number).mapped();
        m_queue.remove(turn->lane, number);
        turn->refused = why;
        turn->wake({});
    }
}

void endpoint_pool::schedule_retry(instant at) {
    if (m_retry_scheduled || m_retired) {
        return;
    }
    m_retry_scheduled = true;
    m_home.spawn([self = shared_from_this(), at] {
        boost::this_fiber::sleep_until(to_steady(at));
        self->m_retry_scheduled = false;
        self->retry();
    });
}

bool endpoint_pool::is_connection_limit_exhausted() const {
    return m_is_limit_reached && m_connections.size() == m_connections.opening();
}

/// An endpoint without connections is probed even when no statement waits: statements are routed to
/// other endpoints until this one is reachable.
void endpoint_pool::retry() {
    const bool needs_connection = !m_health.is_reachable() || is_connection_limit_exhausted();
    if (!needs_connection) {
        dispatch_waiting();
    } else if (!m_retired && m_connections.opening() == 0) {
        open_new_connection(account_id{});
    }
}

void endpoint_pool::finish(const run_slot& slot) {
    --m_running;
    const duration taken = boot_now() - slot.since;
    m_queue.complete(slot.lane, slot.charged, taken);
    m_limit.on_finished(slot.kind, taken, m_queue.size() > 0);
    dispatch_waiting();
}

void endpoint_pool::release_connection(const held_connection& connection, bool clean) {
    const instant now = boot_now();
    if (clean && !m_retired) {
        m_connections.put_back(connection.id, now);
    } else {
        discard(connection.id);
    }
    dispatch_waiting();
}

void endpoint_pool::on_answer(const std::optional<log_point>& point) {
    if (!m_health.is_reachable()) {
        log_line{log_class::change, "endpoint_reachable"}
            .with("endpoint", m_endpoint.entry.id)
            .with("group", m_endpoint.entry.group)
            .with("unreachable_ms", boot_now() - *m_health.unreachable_since())
            .write();
        m_changed.notify_all();
    }
    m_health.on_answer();
    m_unanswered_since = boot_now();
    if (point) {
        m_point = point;
        m_point_received_at = boot_now();
    }
}

void endpoint_pool::on_answer_missing() {
    if (m_connections.opening() == 0 && !m_retired) {
        open_new_connection(account_id{});
    }
}

void endpoint_pool::check_silence() {
    const instant now = boot_now();
    const bool silent = m_running > 0 && m_unanswered_since + max_response_gap <= now;
    if (silent && m_health.is_reachable() && m_connections.opening() == 0 && !m_retired) {
        m_unanswered_since = now;
        open_new_connection(account_id{});
    }
}

void endpoint_pool::update(const listed_endpoint& endpoint, const connection_limits& limits) {
    m_endpoint = endpoint;
    m_limit.set_max_allowed(endpoint.slots);
    m_by_account = limits.by_account;
    if (m_by_account) {
        m_share.set_weighted_limit(limits.max_connections, limits.weight, limits.total_weight);
    } else {
        m_share.set_limit(limits.max_connections, limits.hosts);
    }
}

void endpoint_pool::retire() {
    if (m_retired) {
        return;
    }
    m_retired = true;
    refuse_unbound_waiters(reason::endpoint_leaving);
    while (const auto id = m_connections.most_recent_idle()) {
        discard(*id);
    }
}

void endpoint_pool::trim() {
    const auto surplus = m_connections.idle_above(
        m_share.share(), connection_share::idle_timeout_above_share, boot_now());
    for (const connection_id id : surplus) {
        discard(id);
    }
}

}  // namespace jasminelead::proxy
