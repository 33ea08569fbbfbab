#include "proxy/statement_dispatcher.h"

#include <string>
#include <utility>
#include <vector>

#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

// When this many gateways could not serve a statement, a local wait is as likely to succeed.
constexpr int max_gateways_asked = 3;
constexpr duration rollback_timeout = 500_ms;

template <class... Visitors>
struct overloaded : Visitors... {
    using Visitors::operator()...;
};
template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

}  // namespace

statement_dispatcher::statement_dispatcher(fleet_state& fleet, statement_router& router,
                                           gateway_client& gateways, limit_exchange& limits,
                                           daemon::metrics& counters)
    : m_fleet{fleet},
      m_router{router},
      m_gateway_client{gateways},
      m_limits{limits},
      m_counters{counters} {}

/// In a partial network partition only some hosts reach a primary. A gateway that does not reach it
/// passes the statements that need the primary to another gateway.
bool statement_dispatcher::runs_locally(const session_data& session, const database_route& route,
                                        bool needs_primary) {
    if (m_router.is_unconfirmed()) {
        return true;
    }
    return m_fleet.is_gateway(route.group, session.caller.identity.account) &&
           !(needs_primary && m_router.is_primary_unavailable_here(route.group));
}

/// Saves the gateways the requests of callers that are known to be at their limit.
std::optional<statement_outcome> statement_dispatcher::refuse_at_known_limit(
    const session_data& session, const database_route& route,
    const forwarded_statement& statement) {
    const account_id& account = session.caller.identity.account;
    const auto refusal = m_limits.await_known_refusal(account, limit_wait_end(route, statement));
    if (!refusal) {
        return std::nullopt;
    }
    m_counters.count("refusals", "account_limit");
    return refuse_for_limit(account, *refusal);
}

/// The statement has not run, and the primary became unavailable to this host while it waited.
bool statement_dispatcher::should_pass_on(const statement_outcome& outcome,
                                          const session_data& session, const database_route& route,
                                          bool needs_primary) {
    const bool is_at_limit = outcome.retry_after > duration{};
    return outcome.fault == statement_fault::busy && !is_at_limit && needs_primary &&
           !runs_locally(session, route, needs_primary);
}

gateway_request statement_dispatcher::make_request(gateway_action action,
                                                   const session_data& session,
                                                   const database_route& route,
                                                   const forwarded_statement& statement) const {
    gateway_request request;
    request.action = action;
    request.route = route;
    request.statement = statement;
    request.session.values = session.values;
    request.session.caller = session.caller;
    record_write(request.session, route.group, last_write(session, route.group));
    return request;
}

/// Asks gateways until one answers. A statement that may have run is repeated only if that has no
/// lasting effect: reads, and begins of transactions.
statement_dispatcher::relay_result statement_dispatcher::relay(gateway_request& request,
                                                               session_data& session) {
    const instant give_up =
        m_router.wait_end(request.statement.arrived + request.route.statement_timeout);
    const bool repeatable =
        request.action == gateway_action::begin || request.statement.kind == access::read;
    request.may_decline = true;
    int asked = 0;
    const std::vector<host_id> gateways =
        m_fleet.gateways(request.route.group, session.caller.identity.account);
    for (const host_id& gateway : gateways) {
        const bool usable =
            gateway != m_fleet.host() && m_gateway_client.is_usable(gateway, request.route.group);
        if (!usable || asked >= max_gateways_asked) {
            continue;
        }
        ++asked;
        auto result = m_gateway_client.ask(gateway, request, give_up);
        if (const auto* const fault = std::get_if<gateway_fault>(&result)) {
            const bool may_have_run = *fault == gateway_fault::lost;
            log_relayed(request.statement, request.route, gateway,
                        may_have_run ? "gateway_lost" : "gateway_unreachable");
            if ((may_have_run && !repeatable) || boot_now() >= give_up) {
                return *fault;
            }
            continue;
        }
        auto& answer = std::get<gateway_answer>(result);
        if (answer.declined) {
            continue;
        }
        if (answer.outcome.retry_after > duration{}) {
            m_limits.record_refusal(session.caller.identity.account, answer.outcome.retry_after);
        }
        record_write(session, answer.written_group, answer.last_write);
        return relayed_answer{gateway, std::move(answer)};
    }
    return gateway_fault::not_sent;
}

statement_outcome statement_dispatcher::report_gateway_lost(const forwarded_statement& statement,
                                                            const host_id& gateway,
                                                            statement_fault fault,
                                                            std::string_view text) {
    m_counters.count(
        fault == statement_fault::unknown_outcome ? "unknown_outcomes" : "aborted_transactions",
        "gateway_lost");
    log_line{log_class::refusal, "gateway_lost"}
        .with("request", statement.id)
        .with("gateway", gateway)
        .with("outcome", to_string(fault))
        .with("took_ms", boot_now() - statement.arrived)
        .write();
    return make_fault(fault, text);
}

void statement_dispatcher::log_relayed(const forwarded_statement& statement,
                                       const database_route& route, const host_id& gateway,
                                       std::string_view outcome) {
    log_line{log_class::refusal, "relay"}
        .with("request", statement.id)
        .with("database", route.database)
        .with("group", route.group)
        .with("gateway", gateway)
        .with("outcome", outcome)
        .with("took_ms", boot_now() - statement.arrived)
        .write();
}

statement_outcome statement_dispatcher::run(session_data& session, const database_route& route,
                                            const forwarded_statement& statement) {
    const bool writes = statement.kind == access::write;
    const bool needs_primary = writes || route.policy == read_policy::primary;
    if (runs_locally(session, route, needs_primary)) {
        auto outcome = m_router.run(session, route, statement, when_full::refuse);
        if (!should_pass_on(outcome, session, route, needs_primary)) {
            return outcome;
        }
    }
    if (auto refusal = refuse_at_known_limit(session, route, statement)) {
        return *refusal;
    }
    auto request = make_request(gateway_action::run, session, route, statement);
    auto result = relay(request, session);
    if (auto* const relayed = std::get_if<relayed_answer>(&result)) {
        return std::move(relayed->answer.outcome);
    }
    if (std::get<gateway_fault>(result) == gateway_fault::lost) {
        return writes ? report_gateway_lost(statement, host_id{}, statement_fault::unknown_outcome,
                                            "no answer from the gateway; the write may have run")
                      : make_fault(statement_fault::timeout,
                                   "no answer within " +
                                       std::to_string(route.statement_timeout.us() / 1000) + " ms");
    }
    return m_router.run(session, route, statement);
}

statement_dispatcher::first_step statement_dispatcher::begin(session_data& session,
                                                             const database_route& route,
                                                             const forwarded_statement& first,
                                                             bool read_only) {
    const bool needs_primary = !read_only || route.policy == read_policy::primary;
    if (runs_locally(session, route, needs_primary)) {
        auto begun = begin_locally(session, route, first, read_only, when_full::refuse);
        if (begun.transaction || !should_pass_on(begun.outcome, session, route, needs_primary)) {
            return begun;
        }
    }
    if (auto refusal = refuse_at_known_limit(session, route, first)) {
        return {std::move(*refusal), std::nullopt};
    }
    auto request = make_request(gateway_action::begin, session, route, first);
    request.read_only = read_only;
    auto result = relay(request, session);
    if (std::holds_alternative<gateway_fault>(result)) {
        // A transaction that a lost gateway has begun is rolled back there as abandoned.
        return begin_locally(session, route, first, read_only, when_full::wait);
    }
    auto& relayed = std::get<relayed_answer>(result);
    first_step begun{std::move(relayed.answer.outcome), std::nullopt};
    if (relayed.answer.still_open) {
        begun.transaction = relayed_transaction{relayed.gateway, relayed.answer.transaction, route,
                                                first.kind == access::write};
    }
    return begun;
}

statement_dispatcher::first_step statement_dispatcher::begin_locally(
    session_data& session, const database_route& route, const forwarded_statement& first,
    bool read_only, when_full choice) {
    auto opened = m_router.begin(session, route, first, read_only, choice);
    if (auto* const refusal = std::get_if<statement_outcome>(&opened)) {
        return {std::move(*refusal), std::nullopt};
    }
    auto& transaction = std::get<open_transaction>(opened);
    auto result = m_router.step(transaction, session, route, first);
    first_step begun{std::move(result.outcome), std::nullopt};
    if (result.still_open) {
        begun.transaction = std::move(transaction);
    }
    return begun;
}

statement_outcome statement_dispatcher::commit_empty(session_data& session,
                                                     const database_route& route,
                                                     const forwarded_statement& commit,
                                                     bool read_only) {
    const bool needs_primary = !read_only || route.policy == read_policy::primary;
    if (runs_locally(session, route, needs_primary)) {
        return commit_empty_locally(session, route, commit, read_only);
    }
    if (auto refusal = refuse_at_known_limit(session, route, commit)) {
        return *refusal;
    }
    auto request = make_request(gateway_action::begin, session, route, commit);
    request.read_only = read_only;
    request.commits = true;
    auto result = relay(request, session);
    if (auto* const relayed = std::get_if<relayed_answer>(&result)) {
        return std::move(relayed->answer.outcome);
    }
    return commit_empty_locally(session, route, commit, read_only);
}

statement_outcome statement_dispatcher::commit_empty_locally(session_data& session,
                                                             const database_route& route,
                                                             const forwarded_statement& commit,
                                                             bool read_only) {
    auto opened = m_router.begin(session, route, commit, read_only);
    if (auto* const refusal = std::get_if<statement_outcome>(&opened)) {
        return std::move(*refusal);
    }
    return m_router.commit(std::get<open_transaction>(opened), session, route, commit);
}

statement_router::step_outcome statement_dispatcher::step(session_transaction& transaction,
                                                          session_data& session,
                                                          const database_route& route,
                                                          const forwarded_statement& statement) {
    const auto step_locally = [&](open_transaction& open) {
        return m_router.step(open, session, route, statement);
    };
    const auto step_at_gateway = [&](relayed_transaction& open) -> statement_router::step_outcome {
        auto request = make_request(gateway_action::step, session, route, statement);
        request.transaction = open.name;
        open.wrote = open.wrote || statement.kind == access::write;
        auto result = m_gateway_client.ask(open.gateway, request,
                                           statement.arrived + route.statement_timeout);
        if (auto* const answer = std::get_if<gateway_answer>(&result)) {
            return {std::move(answer->outcome), answer->still_open};
        }
        // Only this session could commit the transaction, so that it is certain to be rolled back.
        return {report_gateway_lost(statement, open.gateway, statement_fault::aborted,
                                    "gateway " + open.gateway.str() + " was lost; rolled back"),
                false};
    };
    return std::visit(overloaded{step_locally, step_at_gateway}, transaction);
}

statement_outcome statement_dispatcher::commit(session_transaction& transaction,
                                               session_data& session, const database_route& route,
                                               const forwarded_statement& statement) {
    const auto commit_locally = [&](open_transaction& open) {
        return m_router.commit(open, session, route, statement);
    };
    const auto commit_at_gateway = [&](relayed_transaction& open) -> statement_outcome {
        auto request = make_request(gateway_action::commit, session, route, statement);
        request.transaction = open.name;
        auto result = m_gateway_client.ask(open.gateway, request,
                                           statement.arrived + route.statement_timeout);
        if (auto* const answer = std::get_if<gateway_answer>(&result)) {
            record_write(session, answer->written_group, answer->last_write);
            return std::move(answer->outcome);
        }
        const bool unsent = std::get<gateway_fault>(result) == gateway_fault::not_sent;
        return unsent || !open.wrote
                   ? report_gateway_lost(statement, open.gateway, statement_fault::aborted,
                                         "gateway " + open.gateway.str() + " was lost; rolled back")
                   : report_gateway_lost(statement, open.gateway, statement_fault::unknown_outcome,
                                         "no answer from gateway " + open.gateway.str() +
                                             "; the commit may have run");
    };
    return std::visit(overloaded{commit_locally, commit_at_gateway}, transaction);
}

void statement_dispatcher::roll_back(session_transaction& transaction) {
    const auto roll_back_locally = [&](open_transaction& open) { m_router.roll_back(open); };
    const auto roll_back_at_gateway = [&](relayed_transaction& open) {
        forwarded_statement nothing;
        nothing.arrived = boot_now();
        auto request = make_request(gateway_action::roll_back, session_data{}, open.route, nothing);
        request.transaction = open.name;
        // If the request is lost, the gateway rolls the transaction back as abandoned.
        m_gateway_client.ask(open.gateway, request, boot_now() + rollback_timeout);
    };
    std::visit(overloaded{roll_back_locally, roll_back_at_gateway}, transaction);
}

}  // namespace jasminelead::proxy
