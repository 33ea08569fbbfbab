#include <boost/fiber/operations.hpp>
#include <string>

#include "proxy/clock.h"
#include "proxy/statement_router.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

constexpr duration rollback_timeout = 500_ms;

std::optional<revision_number> revision_of(const std::optional<primary_permit>& permit) {
    return permit ? std::optional{permit->revision} : std::nullopt;
}

}  // namespace

std::variant<statement_router::acquired_endpoint, statement_outcome>
statement_router::acquire_for_begin(statement_attempt& current, const session_data& session,
                                    bool may_use_replica) {
    if (may_use_replica) {
        return acquire_read_endpoint(current, session);
    }
    auto acquired = acquire_primary(current, true);
    if (auto* const refusal = std::get_if<statement_outcome>(&acquired)) {
        return *refusal;
    }
    const acquired_primary& used = std::get<acquired_primary>(acquired);
    return acquired_endpoint{used.pool, used.permit, used.run};
}

std::variant<open_transaction, statement_outcome> statement_router::begin(
    session_data& session, const database_route& route, const forwarded_statement& first,
    bool read_only, when_full choice) {
    statement_attempt current{session, route, first};
    current.may_pass_on = choice == when_full::refuse;
    const bool may_use_replica = read_only && route.policy != read_policy::primary;
    forwarded_statement begin_query;
    begin_query.id = platform::internal_statement_id();
    begin_query.text = platform::begin_text(read_only);
    for (;;) {
        if (auto refusal = count_operation(current)) {
            return *refusal;
        }
        const auto acquired = acquire_for_begin(current, session, may_use_replica);
        if (const auto* const refusal = std::get_if<statement_outcome>(&acquired)) {
            return *refusal;
        }
        const acquired_endpoint& used = std::get<acquired_endpoint>(acquired);
        current.record_revision = revision_of(used.permit);
        ++current.tries;
        const instant sent = boot_now();
        const auto answer = run_statement(*used.run.connection.link, session, begin_query,
                                          current.after, false, to_steady(current.give_up));
        const auto* const received = std::get_if<endpoint_answer>(&answer);
        if (received != nullptr && !received->fault) {
            used.pool->on_answer(received->point);
            record_mark(route.group, used.permit, sent, *received);
            open_transaction begun{used.pool, used.run.connection, used.permit, used.run.slot};
            begun.counted_at = current.counted_at;
            return begun;
        }
        used.pool->finish(used.run.slot);
        if (received == nullptr) {
            record_lost_answer(current, *used.pool, used.run.connection,
                               std::get<connection_fault>(answer));
        } else {
            used.pool->release_connection(used.run.connection, false);
            m_counters.count("retries", to_string(*received->fault));
            log_attempt(current, used.pool->endpoint().entry.id, to_string(*received->fault));
        }
        if (current.is_over()) {
            return make_fault(statement_fault::busy, "no endpoint of group " + route.group.str() +
                                                         " could begin the transaction; not run");
        }
        current.excluded.insert(used.pool->endpoint().entry.id);
        if (!may_use_replica) {
            boost::this_fiber::sleep_until(to_steady(boot_now() + retry_pause));
        }
    }
}

/// Returns the slot that the begin acquired if it is still unused, otherwise waits for a new one.
std::variant<run_slot, reason> statement_router::take_slot(open_transaction& transaction,
                                                           const statement_attempt& current) {
    if (m_fleet.check(current.caller) != caller_check::admitted) {
        return reason::key_removed;
    }
    if (transaction.slot) {
        const run_slot slot = *transaction.slot;
        transaction.slot.reset();
        return slot;
    }
    return transaction.pool->acquire_slot(current.work());
}

void statement_router::record_usage(open_transaction& transaction,
                                    const statement_attempt& current) {
    m_usage.on_statement(current.caller.identity.account, !transaction.has_run_statement);
    transaction.has_run_statement = true;
}

/// Counts the transaction again if its first statement starts long after it was counted.
std::optional<statement_outcome> statement_router::count_transaction(open_transaction& transaction,
                                                                     statement_attempt& current) {
    if (!transaction.counted_at) {
        return std::nullopt;
    }
    current.counted_at = transaction.counted_at;
    auto refusal = count_operation(current);
    transaction.counted_at = current.counted_at;
    if (refusal) {
        refusal->fault = statement_fault::aborted;
    }
    return refusal;
}

statement_outcome statement_router::abort(open_transaction& transaction,
                                          const statement_attempt& current,
                                          std::string_view counted, std::string_view text) {
    m_counters.count("aborted_transactions", counted);
    log_attempt(current, transaction.pool->endpoint().entry.id, counted);
    roll_back(transaction);
    return make_fault(statement_fault::aborted, text);
}

/// Returns true, after the retry pause, when the endpoint did not run the statement and a
/// repetition may succeed.
bool statement_router::wait_for_retry(const statement_attempt& current,
                                      const endpoint_answer& answer) {
    const bool again = answer.state == transaction_state::open && is_known_not_run(*answer.fault) &&
                       *answer.fault != statement_fault::read_only && !current.is_over();
    if (again) {
        m_counters.count("retries", to_string(*answer.fault));
        boost::this_fiber::sleep_until(to_steady(boot_now() + retry_pause));
    }
    return again;
}

statement_router::step_outcome statement_router::step(open_transaction& transaction,
                                                      session_data& session,
                                                      const database_route& route,
                                                      const forwarded_statement& statement) {
    statement_attempt current{session, route, statement};
    current.record_revision = revision_of(transaction.permit);
    const endpoint_id endpoint = transaction.pool->endpoint().entry.id;
    for (;;) {
        const auto slot = take_slot(transaction, current);
        if (const auto* const why = std::get_if<reason>(&slot)) {
            return {abort(transaction, current, to_string(*why),
                          "no free slot at endpoint " + endpoint.str() + " in time; rolled back"),
                    false};
        }
        if (auto refusal = count_transaction(transaction, current)) {
            transaction.pool->finish(std::get<run_slot>(slot));
            roll_back(transaction);
            return {*refusal, false};
        }
        ++current.tries;
        record_usage(transaction, current);
        const auto answer = run_statement(*transaction.connection.link, session, statement,
                                          std::nullopt, true, to_steady(current.give_up));
        transaction.pool->finish(std::get<run_slot>(slot));
        if (const auto* const fault = std::get_if<connection_fault>(&answer)) {
            record_lost_answer(current, *transaction.pool, transaction.connection, *fault);
            m_counters.count("aborted_transactions", to_string(*fault));
            return {make_fault(statement_fault::aborted, "the connection was lost; rolled back"),
                    false};
        }
        const auto& received = std::get<endpoint_answer>(answer);
        transaction.pool->on_answer(received.point);
        if (!received.fault || !is_known_not_run(*received.fault)) {
            transaction.counted_at.reset();
        }
        if (!received.fault) {
            transaction.wrote = transaction.wrote || statement.kind == access::write;
            log_attempt(current, endpoint, "done");
            return {{std::nullopt, {}, received.rows, received.signature}, true};
        }
        log_attempt(current, endpoint, to_string(*received.fault));
        if (wait_for_retry(current, received)) {
            continue;
        }
        m_counters.count("aborted_transactions", to_string(*received.fault));
        roll_back(transaction);
        // The outcome is certain even if the statement ran, because its effects are rolled back.
        return {make_fault(statement_fault::aborted, received.fault_text), false};
    }
}

statement_outcome statement_router::commit(open_transaction& transaction, session_data& session,
                                           const database_route& route,
                                           const forwarded_statement& statement) {
    statement_attempt current{session, route, statement};
    current.record_revision = revision_of(transaction.permit);
    const endpoint_id endpoint = transaction.pool->endpoint().entry.id;
    const bool needs_valid_lease = transaction.wrote && transaction.permit;
    for (;;) {
        if (needs_valid_lease &&
            !wait_for_valid_lease(route.group, *transaction.permit, current.give_up)) {
            return abort(transaction, current, "primary_replaced",
                         "primary " + endpoint.str() + " was replaced; rolled back");
        }
        const auto slot = take_slot(transaction, current);
        if (const auto* const why = std::get_if<reason>(&slot)) {
            return abort(transaction, current, to_string(*why),
                         "no free slot at endpoint " + endpoint.str() + " in time; rolled back");
        }
        if (auto refusal = count_transaction(transaction, current)) {
            transaction.pool->finish(std::get<run_slot>(slot));
            roll_back(transaction);
            return *refusal;
        }
        ++current.tries;
        record_usage(transaction, current);
        const instant sent = boot_now();
        const auto answer = run_statement(*transaction.connection.link, session, statement,
                                          std::nullopt, true, to_steady(current.give_up));
        transaction.pool->finish(std::get<run_slot>(slot));
        if (const auto* const fault = std::get_if<connection_fault>(&answer)) {
            record_lost_answer(current, *transaction.pool, transaction.connection, *fault);
            if (!transaction.wrote) {
                return make_fault(
                    statement_fault::aborted,
                    "the connection to endpoint " + endpoint.str() + " was lost during the commit");
            }
            m_counters.count("unknown_outcomes", to_string(*fault));
            return make_fault(
                statement_fault::unknown_outcome,
                "no answer from primary " + endpoint.str() + "; the commit may have run");
        }
        const auto& received = std::get<endpoint_answer>(answer);
        transaction.pool->on_answer(received.point);
        if (!received.fault || !is_known_not_run(*received.fault)) {
            transaction.counted_at.reset();
        }
        if (!received.fault) {
            transaction.pool->release_connection(transaction.connection,
                                                 received.state == transaction_state::idle);
            record_mark(route.group, transaction.permit, sent, received);
            if (transaction.wrote) {
                record_write(session, route.group, {received.point, transaction.permit->revision});
            }
            if (needs_valid_lease &&
                !wait_for_valid_lease(route.group, *transaction.permit, current.give_up)) {
                m_counters.count("unknown_outcomes", "unconfirmed");
                log_attempt(current, endpoint, "unconfirmed");
                return make_fault(statement_fault::unknown_outcome,
                                  "primary " + endpoint.str() +
                                      " may have been replaced before the commit was confirmed");
            }
            log_attempt(current, endpoint, "committed");
            return {std::nullopt, {}, received.rows, received.signature};
        }
        log_attempt(current, endpoint, to_string(*received.fault));
        if (wait_for_retry(current, received)) {
            continue;
        }
        const bool not_run = is_known_not_run(*received.fault);
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
    platform::encode_query(query, platform::internal_statement_id(), platform::rollback_text());
    const auto answer =
        transaction.connection.link->exchange(query, to_steady(boot_now() + rollback_timeout));
    const auto* const received = std::get_if<endpoint_answer>(&answer);
    const bool clean = received != nullptr && received->state == transaction_state::idle;
    transaction.pool->release_connection(transaction.connection, clean);
}

}  // namespace jasminelead::proxy
