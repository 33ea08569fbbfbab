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

endpoint_pool::endpoint_pool(daemon::worker& home, wait_list& changed, listed_endpoint endpoint)
    : m_home{home}, m_changed{changed}, m_endpoint{std::move(endpoint)} {
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
    turn->bound = bound;
    const std::uint64_t number = m_next_number++;
    const admission_request entry{number, request.lane, request.share, request.start_deadline,
                                  bound};
    const auto verdict = m_queue.push(entry, window(), boot_now());
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

bool endpoint_pool::dispatch_next() {
    const instant now = boot_now();
    const connection_id ready = unbound_waiting() > 0 ? take_usable_connection() : no_connection;
    const auto next = m_queue.pop(ready != no_connection, any_lane);
    const waiter_ptr turn = next ? m_waiters.extract(next->number).mapped() : nullptr;
    if (ready != no_connection && (!turn || turn->bound)) {
        m_connections.put_back(ready, now);
    }
    if (!turn) {
        return false;
    }
    turn->slot = run_slot{turn->lane, turn->kind, next->charged, now};
    if (!turn->bound) {
        turn->connection = held_connection{m_links.at(ready), ready};
    }
    if (m_running++ == 0) {
        m_unanswered_since = now;
    }
    turn->wake({});
    return true;
}

/// Closes idle connections that are no longer usable. Returns `no_connection` when none is left.
connection_id endpoint_pool::take_usable_connection() {
    const instant now = boot_now();
    while (const auto id = m_connections.take(any_user, now)) {
        if (m_links.at(*id)->is_usable()) {
            return *id;
        }
        m_links.at(*id)->close();
        m_links.erase(*id);
        m_connections.remove(*id, now);
    }
    return no_connection;
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
    const std::uint32_t demand = std::min(unbound_waiting(), window());
    if (demand == 0) {
        return;
    }
    const std::uint32_t missing = m_connections.missing(demand, m_share.allowed(now), now);
    for (std::uint32_t i = 0; i < missing; ++i) {
        open_new_connection();
    }
}

void endpoint_pool::open_new_connection() {
    const connection_id id = m_next_number++;
    m_connections.add_opening(id);
    m_links.emplace(id, std::make_shared<endpoint_connection>(m_home.io()));
    m_home.spawn([self = shared_from_this(), id] { self->connect_to_endpoint(id); });
}

void endpoint_pool::connect_to_endpoint(connection_id id) {
    const auto link = m_links.at(id);
    const auto result = link->open(m_endpoint.entry, to_steady(boot_now() + open_timeout));
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
    m_links.erase(id);
    m_connections.remove(id, now);
    m_is_limit_reached = why == reason::connection_limit;
    if (m_is_limit_reached) {
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
    std::vector<std::uint64_t> failed;
    for (const auto& [number, turn] : m_waiters) {
        if (!turn->bound) {
            failed.push_back(number);
        }
    }
    for (const std::uint64_t number : failed) {
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
        open_new_connection();
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
        connection.link->close();
        m_links.erase(connection.id);
        m_connections.remove(connection.id, now);
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
        open_new_connection();
    }
}

void endpoint_pool::check_silence() {
    const instant now = boot_now();
    const bool silent = m_running > 0 && m_unanswered_since + max_response_gap <= now;
    if (silent && m_health.is_reachable() && m_connections.opening() == 0 && !m_retired) {
        m_unanswered_since = now;
        open_new_connection();
    }
}

void endpoint_pool::update(const listed_endpoint& endpoint, std::uint32_t max_connections,
                           std::uint32_t hosts) {
    m_endpoint = endpoint;
    m_limit.set_max_allowed(endpoint.slots);
    m_share.set_limit(max_connections, hosts);
}

void endpoint_pool::retire() {
    if (m_retired) {
        return;
    }
    m_retired = true;
    refuse_unbound_waiters(reason::endpoint_leaving);
    const instant now = boot_now();
    while (const auto id = m_connections.take(any_user, now)) {
        m_links.at(*id)->close();
        m_links.erase(*id);
        m_connections.remove(*id, now);
    }
}

void endpoint_pool::trim() {
    const auto surplus = m_connections.take_idle_above(
        m_share.share(), connection_share::idle_timeout_above_share, boot_now());
    for (const connection_id id : surplus) {
        m_links.at(id)->close();
        m_links.erase(id);
    }
}

}  // namespace jasminelead::proxy
