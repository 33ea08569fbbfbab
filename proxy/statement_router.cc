#include "proxy/statement_router.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <string>
#include <vector>

#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

// A read is retried on another endpoint when it takes longer than both: an answer that takes many
// times the mean is probably lost.
constexpr duration min_read_timeout = 400_ms;
constexpr double read_timeout_in_mean_times = 10;
// Polled because a lease can start or expire without a notification from the fleet's state.
constexpr duration lease_poll_interval = 100_ms;
// Connections that were idle for longer are checked before statements that must not be repeated,
// because a write that is sent on a dead connection has an unknown outcome.
constexpr duration max_unchecked_idle_time = 1_s;
constexpr duration liveness_check_timeout = 150_ms;
constexpr double ms_per_s = 1000;

}  // namespace

statement_router::statement_router(fleet_state& fleet, mark_exchange& marks, limit_exchange& limits,
                                   daemon::metrics& counters)
    : m_fleet{fleet},
      m_marks{marks},
      m_limits{limits},
      m_counters{counters},
      m_usage{counters},
      m_outages{fleet.lease.length()},
      // Hosts that draw the same numbers would choose the same endpoints.
      m_random{static_cast<random_source::result_type>(std::hash<host_id>{}(fleet.host()))} {}

statement_outcome statement_router::run(session_data& session, const database_route& route,
                                        const forwarded_statement& statement, when_full choice) {
    const bool may_use_replica =
        statement.kind == access::read && route.policy != read_policy::primary;
    return may_use_replica ? run_read(session, route, statement)
                           : run_on_primary(session, route, statement, choice);
}

std::shared_ptr<endpoint_pool> statement_router::choose_read_pool(statement_attempt& current) {
    const instant now = boot_now();
    const group_id& group = current.route.group;
    const group_record* const record = m_fleet.lease.record(group);
    const read_bounds& bounds = m_fleet.bounds(group);
    const bool has_permit = m_fleet.lease.permit(group, now).has_value();
    const auto pools = m_fleet.pools(group);
    std::vector<read_candidate> candidates;
    candidates.reserve(pools.size());
    for (const auto& pool : pools) {
        const listed_endpoint& endpoint = pool->endpoint();
        read_candidate candidate;
        candidate.id = endpoint.entry.id;
        candidate.is_primary = record != nullptr && record->primary == endpoint.entry.id;
        candidate.is_local = endpoint.entry.data_centre == m_fleet.data_centre();
        candidate.is_reachable =
            pool->health().is_reachable() && !pool->is_connection_limit_exhausted();
        if (!candidate.is_reachable) {
            current.skip_reasons[candidate.id] =
                pool->is_connection_limit_exhausted() ? "connection_limit" : "unreachable";
        } else if (!current.after && !candidate.is_primary) {
            current.skip_reasons[candidate.id] = "no_mark";
        }
        candidate.is_excluded = current.excluded.contains(endpoint.entry.id);
        // Without a required log point only the primary is fresh enough, and only under a lease.
        if (candidate.is_primary && !current.after && !has_permit) {
            candidate.is_excluded = true;
            current.skip_reasons[candidate.id] = "no_lease";
        }
        if (endpoint.entry.state == member_state::leaving && !candidate.is_primary) {
            candidate.is_excluded = true;
            current.skip_reasons[candidate.id] = "leaving";
        }
        candidate.slots = endpoint.slots;
        candidate.running = pool->running();
        candidate.waiting = pool->waiting();
        candidate.mean_time = pool->mean_time();
        candidate.point = pool->point();
        candidate.lag =
            pool->point() ? bounds.lag(*pool->point(), pool->point_received_at()) : duration{};
        candidate.answer_age = now - pool->point_received_at();
        candidates.push_back(candidate);
    }
    const read_constraint need{current.after, current.point_age};
    const auto chosen = m_balance == read_balance::random_choices
                            ? choose_balanced_read_endpoint(candidates, need, m_random)
                            : choose_read_endpoint(candidates, need);
    return chosen ? pools[*chosen] : nullptr;
}

/// Waits for a change of the fleet's state or for the retry pause, after which endpoints that
/// failed before are tried again. Returns a refusal when waiting cannot help.
std::optional<statement_outcome> statement_router::wait_for_endpoint(statement_attempt& current) {
    if (current.last_reason == reason::overloaded) {
        return refuse(
            current, "overloaded",
            "all endpoints of group " + current.route.group.str() + " are overloaded; not run");
    }
    if (m_is_unconfirmed) {
        return refuse(current, "isolated",
                      "neither the store nor the peers confirm this host's leases; not run");
    }
    if (boot_now() >= wait_end(current.give_up)) {
        return refuse(
            current, "no_endpoint",
            "no endpoint of group " + current.route.group.str() + " can answer the read; not run");
    }
    m_fleet.changed.wait(to_steady(std::min(boot_now() + retry_pause, wait_end(current.give_up))));
    current.excluded.clear();
    return std::nullopt;
}

void statement_router::refuse_waiting() {
    for (const auto& [id, pool] : m_fleet.all_pools()) {
        pool->refuse_waiting();
    }
}

statement_outcome statement_router::refuse(const statement_attempt& current,
                                           std::string_view counted, std::string_view text) {
    m_counters.count("refusals", counted);
    log_attempt(current, endpoint_id{}, text);
    return make_fault(statement_fault::busy, text);
}

/// The key of the statement's caller may be removed while the statement waits.
std::optional<statement_outcome> statement_router::refuse_unless_admitted(
    const statement_attempt& current) {
    switch (m_fleet.check(current.caller)) {
        case caller_check::admitted:
            return std::nullopt;
        case caller_check::key_removed: {
            auto refusal = refuse(current, "key_removed", "the caller's key was removed; not run");
            refusal.fault = statement_fault::unauthorized;
            return refusal;
        }
        case caller_check::unconfirmed:
            return refuse(current, "accounts_unconfirmed",
                          "the accounts known to this host may be out of date; not run");
    }
    return std::nullopt;
}

bool statement_router::is_counted(const statement_attempt& current) const {
    return current.counted_at && boot_now() - *current.counted_at <= m_limits.max_token_age();
}

/// A count suspends the fiber, so that what was checked before may no longer hold.
bool statement_router::may_still_start(const statement_attempt& current,
                                       const std::optional<primary_permit>& permit) {
    const bool admitted = m_fleet.check(current.caller) == caller_check::admitted;
    return admitted &&
           (!permit || m_fleet.lease.is_valid(current.route.group, *permit, boot_now()));
}

/// Counts the operation against its account's limit. Call before the statement waits for an
/// endpoint, so that it is refused early, and again when it starts: an operation that has waited
/// for long since it was counted would start in another window.
std::optional<statement_outcome> statement_router::count_operation(statement_attempt& current) {
    if (is_counted(current)) {
        return std::nullopt;
    }
    const account_id& account = current.caller.identity.account;
    const instant wait_end = limit_wait_end(current.route, current.statement);
    const auto taken = m_limits.take(account, wait_end);
    if (const auto* const refusal = std::get_if<limit_refusal>(&taken)) {
        m_counters.count("refusals", refusal->is_limit_reached ? "account_limit" : "no_limiter");
        auto outcome = refuse_for_limit(account, *refusal);
        log_attempt(current, endpoint_id{}, outcome.text);
        return outcome;
    }
    current.counted_at = std::get<instant>(taken);
    return std::nullopt;
}

/// Sets the log point that the read must see, and the age of that point on the primary.
void statement_router::update_bound(statement_attempt& current, const session_data& session) {
    const database_route& route = current.route;
    const bool sees_own_writes = route.policy == read_policy::read_your_writes;
    const session_writes own =
        sees_own_writes ? last_write(session, route.group) : session_writes{};
    const read_bounds& bounds = m_fleet.bounds(route.group);
    current.after = bounds.required(current.statement.arrived, route.max_stale, own);
    current.point_age = current.after ? bounds.lag(*current.after, boot_now()) : route.max_stale;
}

/// Requests marks from other hosts unless this host's primary connections are free to run the read:
/// then the answer itself carries the next mark.
void statement_router::request_marks_if_needed(const group_id& group) {
    const auto permit = m_fleet.lease.permit(group, boot_now());
    const auto pool = permit ? m_fleet.pool(permit->primary) : nullptr;
    if (!pool || !pool->health().is_reachable() || pool->is_connection_limit_exhausted() ||
        pool->waiting() > 0) {
        m_marks.want(group);
    }
}

std::variant<statement_router::acquired_endpoint, statement_outcome>
statement_router::acquire_read_endpoint(statement_attempt& current, const session_data& session) {
    for (;;) {
        if (auto refusal = refuse_unless_admitted(current)) {
            return *refusal;
        }
        update_bound(current, session);
        if (!current.after) {
            request_marks_if_needed(current.route.group);
        }
        const auto pool = choose_read_pool(current);
        if (!pool) {
            if (const auto refusal = wait_for_endpoint(current)) {
                return *refusal;
            }
            continue;
        }
        const endpoint_id endpoint = pool->endpoint().entry.id;
        const auto acquired = pool->acquire(current.work());
        if (const auto* const why = std::get_if<reason>(&acquired)) {
            m_counters.count("retries", to_string(*why));
            current.last_reason = *why;
            current.exclude(endpoint, to_string(*why));
            continue;
        }
        const acquired_connection& run = std::get<acquired_connection>(acquired);
        auto permit = m_fleet.lease.permit(current.route.group, boot_now());
        if (permit && permit->primary != endpoint) {
            permit.reset();
        }
        const bool admitted = m_fleet.check(current.caller) == caller_check::admitted;
        if (admitted && (current.after || permit)) {
            return acquired_endpoint{pool, permit, run};
        }
        // Without a log point only the primary may answer, and its lease expired during the wait.
        pool->finish(run.slot);
        pool->release_connection(run.connection, true);
    }
}

statement_outcome statement_router::run_read(session_data& session, const database_route& route,
                                             const forwarded_statement& statement) {
    statement_attempt current{session, route, statement};
    for (;;) {
        if (auto refusal = count_operation(current)) {
            return *refusal;
        }
        const auto acquired = acquire_read_endpoint(current, session);
        if (const auto* const refusal = std::get_if<statement_outcome>(&acquired)) {
            return *refusal;
        }
        const auto& used = std::get<acquired_endpoint>(acquired);
        if (!is_counted(current)) {
            const auto refusal = count_operation(current);
            // Without a log point only the primary may answer, under its lease.
            const auto required = current.after ? std::nullopt : used.permit;
            const bool may_start = !refusal && may_still_start(current, required);
            if (!may_start) {
                used.pool->finish(used.run.slot);
                used.pool->release_connection(used.run.connection, true);
            }
            if (refusal) {
                return *refusal;
            }
            if (!may_start) {
                continue;
            }
        }
        const auto outcome = try_read(current, session, used);
        if (outcome) {
            return *outcome;
        }
    }
}

/// Returns nothing when the read should be tried on another endpoint.
std::optional<statement_outcome> statement_router::try_read(statement_attempt& current,
                                                            const session_data& session,
                                                            const acquired_endpoint& used) {
    const endpoint_id endpoint = used.pool->endpoint().entry.id;
    ++current.tries;
    const instant sent = boot_now();
    const duration read_timeout =
        std::max(min_read_timeout, used.pool->mean_time() * read_timeout_in_mean_times);
    const instant deadline = std::min(current.give_up, sent + read_timeout);
    m_usage.on_statement(current.caller.identity.account, current.tries == 1);
    const auto answer = run_statement(*used.run.connection.link, session, current.statement,
                                      current.after, false, to_steady(deadline));
    used.pool->finish(used.run.slot);
    if (const auto* const fault = std::get_if<connection_fault>(&answer)) {
        record_lost_answer(current, *used.pool, used.run.connection, *fault);
        if (current.is_over()) {
            return make_fault(statement_fault::timeout,
                              "no answer within " +
                                  std::to_string(current.route.statement_timeout.us() / 1000) +
                                  " ms");
        }
        current.exclude(endpoint, to_string(*fault));
        current.counted_at.reset();
        return std::nullopt;
    }
    const auto& received = std::get<endpoint_answer>(answer);
    used.pool->release_connection(used.run.connection, received.state == transaction_state::idle);
    used.pool->on_answer(received.point);
    record_mark(current.route.group, used.permit, sent, received);
    if (!received.fault) {
        log_attempt(current, endpoint, "done");
        return statement_outcome{std::nullopt, {}, received.rows, received.signature};
    }
    m_counters.count("retries", to_string(*received.fault));
    log_attempt(current, endpoint, to_string(*received.fault));
    const bool repeatable = is_known_not_run(*received.fault);
    if (!repeatable || current.is_over()) {
        return make_fault(repeatable ? statement_fault::busy : *received.fault,
                          received.fault_text);
    }
    if (*received.fault != statement_fault::unknown_prepared) {
        current.exclude(endpoint, to_string(*received.fault));
    }
    current.last_reason = *received.fault == statement_fault::busy
                              ? reason::overloaded
                              : reason::no_endpoint_fresh_enough;
    return std::nullopt;
}

void statement_router::record_lost_answer(const statement_attempt& current, endpoint_pool& pool,
                                          const held_connection& connection,
                                          connection_fault fault) {
    pool.release_connection(connection, false);
    pool.on_answer_missing();
    m_counters.count("lost_answers", to_string(fault));
    log_attempt(current, pool.endpoint().entry.id, to_string(fault));
}

/// During a failover the result is false: no host can use the primary, so that passing statements
/// on to another host would not help.
bool statement_router::is_primary_unavailable_here(const group_id& group) const {
    const group_record* const record = m_fleet.lease.record(group);
    const bool is_failover = record == nullptr || record->phase != leadership_phase::led ||
                             m_fleet.lease.is_outdated(*record);
    if (is_failover) {
        return false;
    }
    const auto permit = m_fleet.lease.permit(group, boot_now());
    const auto pool = permit ? m_fleet.pool(permit->primary) : nullptr;
    return !pool || pool->is_retired() || !pool->health().is_reachable() ||
           pool->is_connection_limit_exhausted();
}

std::variant<statement_router::acquired_primary, statement_outcome>
statement_router::acquire_primary(statement_attempt& current, bool needs_live_link) {
    const group_id& group = current.route.group;
    for (;;) {
        if (auto refusal = refuse_unless_admitted(current)) {
            return *refusal;
        }
        if (current.is_over()) {
            return refuse(current, "no_primary",
                          "no usable primary of group " + group.str() + "; not run");
        }
        const auto permit = m_fleet.lease.permit(group, boot_now());
        const auto pool = permit ? m_fleet.pool(permit->primary) : nullptr;
        if (!pool || pool->is_retired() || !pool->health().is_reachable()) {
            const instant last_start = wait_end(current.give_up);
            const auto choice = m_outages.on_unavailable(group, m_fleet.lease.record(group),
                                                         boot_now(), last_start);
            const bool is_over = boot_now() >= last_start;
            if (m_is_unconfirmed || is_over || choice == outage_decision::refuse) {
                return refuse(current, m_is_unconfirmed ? "isolated" : "primary_outage",
                              "the primary of group " + group.str() + " is unavailable; not run");
            }
            m_fleet.changed.wait(to_steady(std::min(boot_now() + lease_poll_interval, last_start)));
            continue;
        }
        m_outages.on_available(group);
        auto acquired = pool->acquire(current.work());
        if (const auto* const why = std::get_if<reason>(&acquired)) {
            if (*why == reason::overloaded || *why == reason::deadline) {
                return refuse(current, to_string(*why), "the primary is at its limit; not run");
            }
            if (*why == reason::connection_limit && current.may_pass_on) {
                return refuse(current, to_string(*why),
                              "this host has no connection to the primary; not run");
            }
            m_counters.count("retries", to_string(*why));
            boost::this_fiber::sleep_until(to_steady(boot_now() + retry_pause));
            continue;
        }
        acquired_connection& run = std::get<acquired_connection>(acquired);
        endpoint_connection& link = *run.connection.link;
        const bool check =
            needs_live_link && link.last_answer() + max_unchecked_idle_time < boot_now();
        if (check && !is_alive(link, to_steady(boot_now() + liveness_check_timeout))) {
            pool->finish(run.slot);
            pool->release_connection(run.connection, false);
            m_counters.count("retries", "idle_connection_lost");
            continue;
        }
        const bool admitted = m_fleet.check(current.caller) == caller_check::admitted;
        if (!admitted || !m_fleet.lease.is_valid(group, *permit, boot_now())) {
            pool->finish(run.slot);
            pool->release_connection(run.connection, true);
            continue;
        }
        return acquired_primary{pool, *permit, run};
    }
}

bool statement_router::wait_for_valid_lease(const group_id& group, const primary_permit& permit,
                                            instant give_up) {
    while (!m_fleet.lease.is_valid(group, permit, boot_now())) {
        const group_record* const record = m_fleet.lease.record(group);
        const bool unchanged = record != nullptr && record->revision == permit.revision;
        if (!unchanged || !m_fleet.changed.wait(to_steady(give_up))) {
            return false;
        }
    }
    return true;
}

void statement_router::record_mark(const group_id& group,
                                   const std::optional<primary_permit>& permit, instant sent,
                                   const endpoint_answer& answer) {
    if (!permit || !answer.point) {
        return;
    }
    const auto mark = mark_from({*permit, sent, boot_now(), *answer.point}, m_fleet.lease, group);
    if (!mark) {
        m_counters.count("ignored_positions", "permit_invalid");
        return;
    }
    m_fleet.bounds(group).record(*mark);
}

statement_outcome statement_router::run_on_primary(session_data& session,
                                                   const database_route& route,
                                                   const forwarded_statement& statement,
                                                   when_full choice) {
    statement_attempt current{session, route, statement};
    current.may_pass_on = choice == when_full::refuse;
    const bool writes = statement.kind == access::write;
    for (;;) {
        if (auto refusal = count_operation(current)) {
            return *refusal;
        }
        auto acquired = acquire_primary(current, writes);
        if (auto* const refusal = std::get_if<statement_outcome>(&acquired)) {
            return *refusal;
        }
        acquired_primary& used = std::get<acquired_primary>(acquired);
        if (!is_counted(current)) {
            const auto refusal = count_operation(current);
            const bool may_start = !refusal && may_still_start(current, used.permit);
            if (!may_start) {
                used.pool->finish(used.run.slot);
                used.pool->release_connection(used.run.connection, true);
            }
            if (refusal) {
                return *refusal;
            }
            if (!may_start) {
                continue;
            }
        }
        const endpoint_id endpoint = used.permit.primary;
        current.record_revision = used.permit.revision;
        ++current.tries;
        m_usage.on_statement(current.caller.identity.account, current.tries == 1);
        const instant sent = boot_now();
        const auto answer = run_statement(*used.run.connection.link, session, statement,
                                          std::nullopt, false, to_steady(current.give_up));
        used.pool->finish(used.run.slot);
        if (const auto* const fault = std::get_if<connection_fault>(&answer)) {
            record_lost_answer(current, *used.pool, used.run.connection, *fault);
            if (writes) {
                m_counters.count("unknown_outcomes", to_string(*fault));
                return make_fault(
                    statement_fault::unknown_outcome,
                    "no answer from primary " + endpoint.str() + "; the write may have run");
            }
            if (current.is_over()) {
                return make_fault(statement_fault::timeout,
                                  "no answer within " +
                                      std::to_string(route.statement_timeout.us() / 1000) + " ms");
            }
            current.counted_at.reset();
            continue;
        }
        const auto& received = std::get<endpoint_answer>(answer);
        used.pool->release_connection(used.run.connection,
                                      received.state == transaction_state::idle);
        used.pool->on_answer(received.point);
        record_mark(route.group, used.permit, sent, received);
        if (!received.fault) {
            if (!writes) {
                log_attempt(current, endpoint, "done");
                return {std::nullopt, {}, received.rows, received.signature};
            }
            record_write(session, route.group, {received.point, used.permit.revision});
            return acknowledge_write(current, used, received);
        }
        log_attempt(current, endpoint, to_string(*received.fault));
        if (!is_known_not_run(*received.fault)) {
            return make_fault(*received.fault, received.fault_text);
        }
        m_counters.count("retries", to_string(*received.fault));
        if (current.is_over()) {
            return make_fault(statement_fault::busy,
                              "primary " + endpoint.str() + " refused the statement; not run");
        }
        if (*received.fault != statement_fault::unknown_prepared) {
            boost::this_fiber::sleep_until(to_steady(boot_now() + retry_pause));
        }
    }
}

/// Acknowledges a write only if its primary still held a valid lease after the write ran. Otherwise
/// a new primary may lack the write, and the outcome is unknown.
statement_outcome statement_router::acknowledge_write(statement_attempt& current,
                                                      const acquired_primary& used,
                                                      const endpoint_answer& answer) {
    if (!wait_for_valid_lease(current.route.group, used.permit, current.give_up)) {
        m_counters.count("unknown_outcomes", "unconfirmed");
        log_attempt(current, used.permit.primary, "unconfirmed");
        return make_fault(statement_fault::unknown_outcome,
                          "primary " + used.permit.primary.str() +
                              " may have been replaced before the write was confirmed");
    }
    log_attempt(current, used.permit.primary, "done");
    return {std::nullopt, {}, answer.rows, answer.signature};
}

void statement_router::log_attempt(const statement_attempt& current, const endpoint_id& endpoint,
                                   std::string_view outcome) {
    const instant now = boot_now();
    const bool success = outcome == "done" || outcome == "committed";
    log_line line{success ? log_class::success : log_class::refusal, "statement"};
    line.with("request", current.statement.id)
        .with("database", current.route.database)
        .with("group", current.route.group)
        .with("endpoint", endpoint)
        .with("outcome", outcome)
        .with("took_ms", now - current.statement.arrived)
        .with("tries", current.tries)
        .with("config", m_fleet.config.version())
        .with("lease_age_ms", m_fleet.lease.age(now));
    if (current.record_revision) {
        line.with_revision("record", *current.record_revision);
    }
    if (!success && !current.skip_reasons.empty()) {
        line.with("passed_over", current.skip_reasons_text());
    }
    if (current.after) {
        line.with("after_term", current.after->term).with("after", current.after->position);
    }
    const auto pool = m_fleet.pool(endpoint);
    if (pool && pool->point()) {
        line.with("log_end", pool->point()->position);
    }
    line.write();
    if (success) {
        m_counters.observe_seconds("statement", current.route.database,
                                   (now - current.statement.arrived).ms() / ms_per_s);
    }
}

}  // namespace jasminelead::proxy
