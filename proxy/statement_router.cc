#include "proxy/statement_router.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <vector>

#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

// A read that has no answer by then is tried elsewhere; an answer that takes longer than several
// statements usually do is likely lost.
constexpr duration least_read_patience = 400_ms;
constexpr double read_patience_in_means = 10;
// Between two tries when nothing better is known than to try again.
constexpr duration retry_pause = 10_ms;
// Leases end and begin without a change of the fleet's state.
constexpr duration change_poll = 100_ms;
// Connections that were idle for longer are checked before statements that must not be repeated.
constexpr duration unchecked_idle = 1_s;
constexpr duration check_timeout = 150_ms;
constexpr duration rollback_timeout = 500_ms;
// An attempt after the goal has passed still gets this time to start.
constexpr duration least_start_time = 50_ms;
constexpr std::uint32_t highest_share = 4;

std::uint32_t share_of(std::uint32_t priority) {
    return std::max<std::uint32_t>(highest_share >> std::min<std::uint32_t>(priority, 2), 1);
}

}  // namespace

/// One statement on its way, over all its tries.
struct statement_router::attempt {
    const database_route& route;
    const forwarded_statement& statement;
    instant give_up;
    std::set<endpoint_id> excluded;
    std::optional<log_point> after;
    duration point_age;
    std::uint32_t tries = 0;
    reason last_reason = reason::none;

    attempt(const database_route& route_used, const forwarded_statement& run)
        : route{route_used}, statement{run}, give_up{run.arrived + route_used.statement_timeout} {}

    [[nodiscard]] bool is_over() const { return boot_now() >= give_up; }
    [[nodiscard]] work_request work() const {
        const instant now = boot_now();
        const instant goal = statement.arrived + route.latency_goal;
        return {service_id{route.database}, share_of(route.priority),
                std::max(goal, now + least_start_time), give_up};
    }
};

statement_router::statement_router(fleet_state& fleet, daemon::metrics& counters)
    : m_fleet{fleet}, m_counters{counters}, m_outages{fleet.lease.length()} {}

statement_outcome statement_router::run(session_data& session, const database_route& route,
                                        const forwarded_statement& statement) {
    const bool any_endpoint =
        statement.kind == access::read && route.policy != read_policy::primary;
    return any_endpoint ? run_read(session, route, statement)
                        : run_on_primary(session, route, statement);
}

std::shared_ptr<endpoint_pool> statement_router::choose_reader(attempt& current) {
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
        candidate.is_reachable = pool->health().is_reachable();
        candidate.is_excluded = current.excluded.contains(endpoint.entry.id);
        // Without a required point only the primary answers, and only while it surely leads.
        if (candidate.is_primary && !current.after && !has_permit) {
            candidate.is_excluded = true;
        }
        if (endpoint.entry.state == member_state::leaving && !candidate.is_primary) {
            candidate.is_excluded = true;
        }
        candidate.slots = endpoint.slots;
        candidate.running = pool->running();
        candidate.waiting = pool->waiting();
        candidate.mean_time = pool->mean_time();
        candidate.point = pool->point();
        candidate.lag = pool->point() ? bounds.lag(*pool->point(), pool->point_at()) : duration{};
        candidate.answer_age = now - pool->point_at();
        candidates.push_back(candidate);
    }
    const auto chosen =
        choose_read_endpoint(candidates, read_need{current.after, current.point_age});
    return chosen ? pools[*chosen] : nullptr;
}

/// Waits for a change, or for a moment in which tried endpoints may have recovered.
std::optional<statement_outcome> statement_router::wait_for_endpoint(attempt& current) {
    if (current.last_reason == reason::overloaded) {
        m_counters.count("refusals", "overloaded");
        return make_fault(statement_fault::busy, "all endpoints are at their limit; not run");
    }
    if (current.is_over() || m_is_isolated) {
        m_counters.count("refusals", m_is_isolated ? "isolated" : "no_endpoint");
        return make_fault(statement_fault::busy, "no endpoint can answer now; not run");
    }
    m_fleet.changed.wait(to_steady(std::min(boot_now() + retry_pause, current.give_up)));
    current.excluded.clear();
    return std::nullopt;
}

statement_outcome statement_router::run_read(session_data& session, const database_route& route,
                                             const forwarded_statement& statement) {
    attempt current{route, statement};
    for (;;) {
        const group_id& group = route.group;
        const session_writes own =
            session.written_group == group ? session.writes : session_writes{};
        const bool own_counts = route.policy == read_policy::read_your_writes;
        current.after = m_fleet.bounds(group).required(statement.arrived, route.max_stale,
                                                       own_counts ? own : session_writes{});
        current.point_age = route.max_stale;
        if (current.after) {
            current.point_age = m_fleet.bounds(group).lag(*current.after, boot_now());
        }
        const auto pool = choose_reader(current);
        if (!pool) {
            if (const auto refusal = wait_for_endpoint(current)) {
                return *refusal;
            }
            continue;
        }
        const endpoint_id endpoint = pool->endpoint().entry.id;
        auto acquired = pool->acquire(current.work());
        if (const auto* const why = std::get_if<reason>(&acquired)) {
            m_counters.count("retries", to_string(*why));
            current.last_reason = *why;
            current.excluded.insert(endpoint);
            continue;
        }
        const auto permit = m_fleet.lease.permit(group, boot_now());
        const bool leads = permit && permit->primary == endpoint;
        acquired_run& run = std::get<acquired_run>(acquired);
        if (!current.after && !leads) {
            pool->finish(run.slot);
            pool->give_back(run.connection, true);
            continue;
        }
        ++current.tries;
        const instant sent = boot_now();
        const duration patience =
            std::max(least_read_patience, pool->mean_time() * read_patience_in_means);
        const instant deadline = std::min(current.give_up, sent + patience);
        const auto answer = run_statement(*run.connection.link, session, statement, current.after,
                                          false, to_steady(deadline));
        pool->finish(run.slot);
        if (const auto* const fault = std::get_if<link_fault>(&answer)) {
            pool->give_back(run.connection, false);
            pool->on_answer_missing();
            m_counters.count("retries", to_string(*fault));
            log_attempt(current, endpoint, to_string(*fault));
            if (current.is_over()) {
                return make_fault(statement_fault::timeout, "no answer within the timeout");
            }
            current.excluded.insert(endpoint);
            continue;
        }
        const auto& received = std::get<endpoint_answer>(answer);
        pool->give_back(run.connection, received.state == transaction_state::idle);
        pool->on_answer(received.point);
        if (leads) {
            note_mark(group, permit, sent, received);
        }
        if (!received.fault) {
            log_attempt(current, endpoint, "done");
            return {std::nullopt, {}, received.rows, received.signature};
        }
        m_counters.count("retries", to_string(*received.fault));
        log_attempt(current, endpoint, to_string(*received.fault));
        const bool repeatable = excludes_run(*received.fault);
        if (!repeatable || current.is_over()) {
            return make_fault(repeatable ? statement_fault::busy : *received.fault,
                              received.fault_text);
        }
        if (*received.fault != statement_fault::unknown_prepared) {
            current.excluded.insert(endpoint);
        }
        current.last_reason = *received.fault == statement_fault::busy
                                  ? reason::overloaded
                                  : reason::no_endpoint_fresh_enough;
    }
}

std::variant<statement_router::primary_run, statement_outcome> statement_router::acquire_primary(
    attempt& current, bool needs_live_link) {
    const group_id& group = current.route.group;
    for (;;) {
        if (current.is_over()) {
            m_counters.count("refusals", "no_primary");
            return make_fault(statement_fault::busy, "no primary can be reached; not run");
        }
        const auto permit = m_fleet.lease.permit(group, boot_now());
        const auto pool = permit ? m_fleet.pool(permit->primary) : nullptr;
        if (!pool || pool->is_retired() || !pool->health().is_reachable()) {
            const auto choice = m_outages.on_unavailable(group, m_fleet.lease.record(group),
                                                         boot_now(), current.give_up);
            if (m_is_isolated || choice == outage_choice::refuse) {
                m_counters.count("refusals", m_is_isolated ? "isolated" : "primary_outage");
                return make_fault(statement_fault::busy, "the primary is away; not run");
            }
            m_fleet.changed.wait(to_steady(std::min(boot_now() + change_poll, current.give_up)));
            continue;
        }
        m_outages.on_available(group);
        auto acquired = pool->acquire(current.work());
        if (const auto* const why = std::get_if<reason>(&acquired)) {
            if (*why == reason::overloaded || *why == reason::deadline) {
                m_counters.count("refusals", to_string(*why));
                return make_fault(statement_fault::busy, "the primary is at its limit; not run");
            }
            m_counters.count("retries", to_string(*why));
            boost::this_fiber::sleep_until(to_steady(boot_now() + retry_pause));
            continue;
        }
        acquired_run& run = std::get<acquired_run>(acquired);
        endpoint_connection& link = *run.connection.link;
        const bool check = needs_live_link && link.last_answer() + unchecked_idle < boot_now();
        if (check && !is_alive(link, to_steady(boot_now() + check_timeout))) {
            pool->finish(run.slot);
            pool->give_back(run.connection, false);
            m_counters.count("retries", "idle_connection_lost");
            continue;
        }
        if (!m_fleet.lease.is_valid(group, *permit, boot_now())) {
            pool->finish(run.slot);
            pool->give_back(run.connection, true);
            continue;
        }
        return primary_run{pool, *permit, run};
    }
}

bool statement_router::confirm(const group_id& group, const primary_permit& permit,
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

void statement_router::note_mark(const group_id& group, const std::optional<primary_permit>& permit,
                                 instant sent, const endpoint_answer& answer) {
    if (permit && answer.point) {
        m_fleet.bounds(group).record({sent, *answer.point, permit->revision});
    }
}

void statement_router::note_write(session_data& session, const group_id& group,
                                  const primary_permit& permit, const endpoint_answer& answer) {
    session.writes = {answer.point, permit.revision};
    session.written_group = group;
}

statement_outcome statement_router::run_on_primary(session_data& session,
                                                   const database_route& route,
                                                   const forwarded_statement& statement) {
    attempt current{route, statement};
    const bool writes = statement.kind == access::write;
    for (;;) {
        auto acquired = acquire_primary(current, writes);
        if (auto* const refusal = std::get_if<statement_outcome>(&acquired)) {
            log_attempt(current, endpoint_id{}, refusal->text);
            return *refusal;
        }
        primary_run& used = std::get<primary_run>(acquired);
        const endpoint_id endpoint = used.permit.primary;
        ++current.tries;
        const instant sent = boot_now();
        const auto answer = run_statement(*used.run.connection.link, session, statement,
                                          std::nullopt, false, to_steady(current.give_up));
        used.pool->finish(used.run.slot);
        if (const auto* const fault = std::get_if<link_fault>(&answer)) {
            used.pool->give_back(used.run.connection, false);
            used.pool->on_answer_missing();
            m_counters.count(writes ? "unknown_outcomes" : "retries", to_string(*fault));
            log_attempt(current, endpoint, to_string(*fault));
            if (writes) {
                return make_fault(statement_fault::unknown_outcome, "the answer was lost");
            }
            if (current.is_over()) {
                return make_fault(statement_fault::timeout, "no answer within the timeout");
            }
            continue;
        }
        const auto& received = std::get<endpoint_answer>(answer);
        used.pool->give_back(used.run.connection, received.state == transaction_state::idle);
        used.pool->on_answer(received.point);
        note_mark(route.group, used.permit, sent, received);
        if (!received.fault) {
            if (!writes) {
                log_attempt(current, endpoint, "done");
                return {std::nullopt, {}, received.rows, received.signature};
            }
            note_write(session, route.group, used.permit, received);
            return confirmed(current, used, received);
        }
        log_attempt(current, endpoint, to_string(*received.fault));
        if (!excludes_run(*received.fault)) {
            return make_fault(*received.fault, received.fault_text);
        }
        m_counters.count("retries", to_string(*received.fault));
        if (current.is_over()) {
            return make_fault(statement_fault::busy, "the primary refused; not run");
        }
        if (*received.fault != statement_fault::unknown_prepared) {
            boost::this_fiber::sleep_until(to_steady(boot_now() + retry_pause));
        }
    }
}

/// A write that ran is acknowledged only when its primary was not superseded before.
statement_outcome statement_router::confirmed(attempt& current, const primary_run& used,
                                              const endpoint_answer& answer) {
    if (!confirm(current.route.group, used.permit, current.give_up)) {
        m_counters.count("unknown_outcomes", "unconfirmed");
        log_attempt(current, used.permit.primary, "unconfirmed");
        return make_fault(statement_fault::unknown_outcome, "the primary may have been replaced");
    }
    log_attempt(current, used.permit.primary, "done");
    return {std::nullopt, {}, answer.rows, answer.signature};
}

std::variant<open_transaction, statement_outcome> statement_router::begin(
    session_data& session, const database_route& route, const forwarded_statement& first,
    bool read_only) {
    attempt current{route, first};
    const bool any_endpoint = read_only && route.policy != read_policy::primary;
    for (;;) {
        open_transaction opened;
        std::optional<log_point> after;
        acquired_run run;
        if (any_endpoint) {
            const bool own_counts = route.policy == read_policy::read_your_writes &&
                                    session.written_group == route.group;
            current.after = m_fleet.bounds(route.group)
                                .required(first.arrived, route.max_stale,
                                          own_counts ? session.writes : session_writes{});
            const auto pool = choose_reader(current);
            if (!pool) {
                if (const auto refusal = wait_for_endpoint(current)) {
                    return *refusal;
                }
                continue;
            }
            auto acquired = pool->acquire(current.work());
            if (const auto* const why = std::get_if<reason>(&acquired)) {
                m_counters.count("retries", to_string(*why));
                current.last_reason = *why;
                current.excluded.insert(pool->endpoint().entry.id);
                continue;
            }
            run = std::get<acquired_run>(acquired);
            opened.pool = pool;
            after = current.after;
            const auto permit = m_fleet.lease.permit(route.group, boot_now());
            if (permit && permit->primary == pool->endpoint().entry.id) {
                opened.permit = permit;
            }
            if (!after && !opened.permit) {
                pool->finish(run.slot);
                pool->give_back(run.connection, true);
                continue;
            }
        } else {
            auto acquired = acquire_primary(current, true);
            if (auto* const refusal = std::get_if<statement_outcome>(&acquired)) {
                log_attempt(current, endpoint_id{}, refusal->text);
                return *refusal;
            }
            primary_run& used = std::get<primary_run>(acquired);
            run = used.run;
            opened.pool = used.pool;
            opened.permit = used.permit;
        }
        ++current.tries;
        const instant sent = boot_now();
        forwarded_statement begin_query;
        begin_query.id = platform::own_id();
        begin_query.text = platform::begin_text(read_only);
        const auto answer = run_statement(*run.connection.link, session, begin_query, after, false,
                                          to_steady(current.give_up));
        const endpoint_id endpoint = opened.pool->endpoint().entry.id;
        const auto* const received = std::get_if<endpoint_answer>(&answer);
        if (received != nullptr && !received->fault) {
            opened.pool->on_answer(received->point);
            note_mark(route.group, opened.permit, sent, *received);
            opened.connection = run.connection;
            opened.slot = run.slot;
            return opened;
        }
        opened.pool->finish(run.slot);
        opened.pool->give_back(run.connection, false);
        const std::string_view why = received == nullptr ? to_string(std::get<link_fault>(answer))
                                                         : to_string(*received->fault);
        if (received == nullptr) {
            opened.pool->on_answer_missing();
        }
        m_counters.count("retries", why);
        log_attempt(current, endpoint, why);
        if (current.is_over()) {
            return make_fault(statement_fault::busy, "the transaction could not begin; not run");
        }
        current.excluded.insert(endpoint);
        if (!any_endpoint) {
            boost::this_fiber::sleep_until(to_steady(boot_now() + retry_pause));
        }
    }
}

statement_router::step_outcome statement_router::step(open_transaction& transaction,
                                                      session_data& session,
                                                      const database_route& route,
                                                      const forwarded_statement& statement) {
    attempt current{route, statement};
    const endpoint_id endpoint = transaction.pool->endpoint().entry.id;
    for (;;) {
        run_slot slot;
        if (transaction.slot) {
            slot = *transaction.slot;
            transaction.slot.reset();
        } else {
            const auto acquired = transaction.pool->acquire_slot(current.work());
            if (const auto* const why = std::get_if<reason>(&acquired)) {
                m_counters.count("refusals", to_string(*why));
                log_attempt(current, endpoint, to_string(*why));
                roll_back(transaction);
                return {make_fault(statement_fault::aborted, "no turn in time; rolled back"),
                        false};
            }
            slot = std::get<run_slot>(acquired);
        }
        ++current.tries;
        const auto answer = run_statement(*transaction.connection.link, session, statement,
                                          std::nullopt, true, to_steady(current.give_up));
        transaction.pool->finish(slot);
        if (const auto* const fault = std::get_if<link_fault>(&answer)) {
            transaction.pool->give_back(transaction.connection, false);
            transaction.pool->on_answer_missing();
            m_counters.count("aborted_transactions", to_string(*fault));
            log_attempt(current, endpoint, to_string(*fault));
            return {make_fault(statement_fault::aborted, "the connection was lost; rolled back"),
                    false};
        }
        const auto& received = std::get<endpoint_answer>(answer);
        transaction.pool->on_answer(received.point);
        if (!received.fault) {
            transaction.wrote = transaction.wrote || statement.kind == access::write;
            log_attempt(current, endpoint, "done");
            return {{std::nullopt, {}, received.rows, received.signature}, true};
        }
        log_attempt(current, endpoint, to_string(*received.fault));
        const bool again = received.state == transaction_state::open &&
                           excludes_run(*received.fault) &&
                           *received.fault != statement_fault::read_only && !current.is_over();
        if (again) {
            m_counters.count("retries", to_string(*received.fault));
            boost::this_fiber::sleep_until(to_steady(boot_now() + retry_pause));
            continue;
        }
        m_counters.count("aborted_transactions", to_string(*received.fault));
        roll_back(transaction);
        // A transaction that is rolled back keeps nothing, whatever the statement did.
        return {make_fault(statement_fault::aborted, received.fault_text), false};
    }
}

statement_outcome statement_router::commit(open_transaction& transaction, session_data& session,
                                           const database_route& route,
                                           const forwarded_statement& statement) {
    attempt current{route, statement};
    const endpoint_id endpoint = transaction.pool->endpoint().entry.id;
    const bool must_lead = transaction.wrote && transaction.permit;
    for (;;) {
        if (must_lead && !confirm(route.group, *transaction.permit, current.give_up)) {
            m_counters.count("aborted_transactions", "primary_replaced");
            log_attempt(current, endpoint, "primary_replaced");
            roll_back(transaction);
            return make_fault(statement_fault::aborted, "the primary was replaced; rolled back");
        }
        run_slot slot;
        if (transaction.slot) {
            slot = *transaction.slot;
            transaction.slot.reset();
        } else {
            const auto acquired = transaction.pool->acquire_slot(current.work());
            if (const auto* const why = std::get_if<reason>(&acquired)) {
                m_counters.count("refusals", to_string(*why));
                log_attempt(current, endpoint, to_string(*why));
                roll_back(transaction);
                return make_fault(statement_fault::aborted, "no turn in time; rolled back");
            }
            slot = std::get<run_slot>(acquired);
        }
        ++current.tries;
        const instant sent = boot_now();
        const auto answer = run_statement(*transaction.connection.link, session, statement,
                                          std::nullopt, true, to_steady(current.give_up));
        transaction.pool->finish(slot);
        if (const auto* const fault = std::get_if<link_fault>(&answer)) {
            transaction.pool->give_back(transaction.connection, false);
            transaction.pool->on_answer_missing();
            m_counters.count("unknown_outcomes", to_string(*fault));
            log_attempt(current, endpoint, to_string(*fault));
            if (!transaction.wrote) {
                return make_fault(statement_fault::aborted, "the connection was lost");
            }
            return make_fault(statement_fault::unknown_outcome, "the answer was lost");
        }
        const auto& received = std::get<endpoint_answer>(answer);
        transaction.pool->on_answer(received.point);
        if (!received.fault) {
            transaction.pool->give_back(transaction.connection,
                                        received.state == transaction_state::idle);
            note_mark(route.group, transaction.permit, sent, received);
            if (transaction.wrote) {
                note_write(session, route.group, *transaction.permit, received);
            }
            if (must_lead && !confirm(route.group, *transaction.permit, current.give_up)) {
                m_counters.count("unknown_outcomes", "unconfirmed");
                log_attempt(current, endpoint, "unconfirmed");
                return make_fault(statement_fault::unknown_outcome,
                                  "the primary may have been replaced");
            }
            log_attempt(current, endpoint, "committed");
            return {std::nullopt, {}, received.rows, received.signature};
        }
        log_attempt(current, endpoint, to_string(*received.fault));
        const bool not_run = excludes_run(*received.fault);
        const bool again = not_run && received.state == transaction_state::open &&
                           *received.fault != statement_fault::read_only && !current.is_over();
        if (again) {
            m_counters.count("retries", to_string(*received.fault));
            boost::this_fiber::sleep_until(to_steady(boot_now() + retry_pause));
            continue;
        }
        roll_back(transaction);
        return make_fault(not_run ? statement_fault::aborted : *received.fault,
                          received.fault_text);
    }
}

void statement_router::roll_back(open_transaction& transaction) {
    if (transaction.slot) {
        transaction.pool->finish(*transaction.slot);
        transaction.slot.reset();
    }
    std::string query;
    platform::encode_query(query, platform::own_id(), platform::rollback_text());
    const auto answer =
        transaction.connection.link->exchange(query, to_steady(boot_now() + rollback_timeout));
    const auto* const received = std::get_if<endpoint_answer>(&answer);
    const bool clean = received != nullptr && received->state == transaction_state::idle;
    transaction.pool->give_back(transaction.connection, clean);
}

void statement_router::log_attempt(const attempt& current, const endpoint_id& endpoint,
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
    if (current.after) {
        line.with("after_term", current.after->term).with("after", current.after->position);
    }
    line.write();
}

}  // namespace jasminelead::proxy
