#include "proxy/gateway_server.h"

#include <boost/fiber/operations.hpp>
#include <utility>
#include <vector>

#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

constexpr duration abandoned_check_interval = 250_ms;
// The requesting host rolls back idle transactions itself. This margin keeps the gateway from doing
// so first, unless that host has died.
constexpr duration abandoned_margin = 500_ms;
// Applies when the configuration sets no limit.
constexpr duration default_idle_limit = 30_s;

/// Counts a request in progress for the lifetime of the object, also when an exception ends it.
class running_count {
public:
    explicit running_count(std::uint32_t& count) : m_count{count} { ++m_count; }
    ~running_count() { --m_count; }
    running_count(const running_count&) = delete;
    running_count& operator=(const running_count&) = delete;
    running_count(running_count&&) = delete;
    running_count& operator=(running_count&&) = delete;

private:
    std::uint32_t& m_count;
};

void report_last_write(gateway_answer& answer, const gateway_request& request) {
    answer.written_group = request.route.group;
    answer.last_write = last_write(request.session, request.route.group);
}

/// Marks a transaction as busy for the lifetime of the object, also when an exception ends it.
class busy_scope {
public:
    explicit busy_scope(bool& is_busy) : m_is_busy{is_busy} { m_is_busy = true; }
    ~busy_scope() { m_is_busy = false; }
    busy_scope(const busy_scope&) = delete;
    busy_scope& operator=(const busy_scope&) = delete;
    busy_scope(busy_scope&&) = delete;
    busy_scope& operator=(busy_scope&&) = delete;

private:
    bool& m_is_busy;
};

}  // namespace

gateway_server::gateway_server(fleet_state& fleet, statement_router& router,
                               daemon::metrics& counters)
    : m_fleet{fleet},
      m_router{router},
      m_counters{counters},
      m_incarnation{daemon::wall_clock_incarnation()} {}

void gateway_server::start() {
    m_fleet.home().spawn([this] {
        while (!m_stopped) {
            roll_back_abandoned();
            boost::this_fiber::sleep_until(to_steady(boot_now() + abandoned_check_interval));
        }
    });
}

std::optional<std::string> gateway_server::answer(std::string_view text) {
    auto request = decode_gateway_request(text, boot_now());
    if (!request) {
        return std::nullopt;
    }
    const running_count counted{m_running};
    return encode_gateway_answer(handle(*request));
}

gateway_answer gateway_server::handle(gateway_request& request) {
    const bool is_new =
        request.action == gateway_action::run || request.action == gateway_action::begin;
    if (!is_new) {
        return continue_transaction(request);
    }
    if (declines(request)) {
        m_counters.count("gateway_requests", "declined");
        gateway_answer refusal;
        refusal.declined = true;
        return refusal;
    }
    m_counters.count("gateway_requests", "taken");
    if (request.action == gateway_action::begin) {
        return begin(request);
    }
    gateway_answer result;
    result.outcome = m_router.run(request.session, request.route, request.statement);
    // It has waited here until the stop: another gateway can still run it.
    result.declined = m_stopping && result.outcome.fault == statement_fault::busy;
    report_last_write(result, request);
    return result;
}

bool gateway_server::declines(const gateway_request& request) const {
    if (m_stopping) {
        return true;
    }
    const bool reads = request.action == gateway_action::begin
                           ? request.read_only
                           : request.statement.kind == access::read;
    const bool needs_primary = !reads || request.route.policy == read_policy::primary;
    return request.may_decline && needs_primary &&
           m_router.is_primary_unavailable_here(request.route.group);
}

gateway_answer gateway_server::begin(gateway_request& request) {
    gateway_answer result;
    auto opened =
        m_router.begin(request.session, request.route, request.statement, request.read_only);
    if (auto* const refusal = std::get_if<statement_outcome>(&opened)) {
        result.outcome = std::move(*refusal);
        result.declined = m_stopping && result.outcome.fault == statement_fault::busy;
        return result;
    }
    auto& transaction = std::get<open_transaction>(opened);
    if (request.commits) {
        result.outcome =
            m_router.commit(transaction, request.session, request.route, request.statement);
        return result;
    }
    const auto first =
        m_router.step(transaction, request.session, request.route, request.statement);
    result.outcome = first.outcome;
    result.still_open = first.still_open;
    if (first.still_open) {
        result.transaction = store_transaction(std::move(transaction));
    }
    return result;
}

/// Names contain the incarnation of the process, so that they are not reused after a restart.
std::string gateway_server::store_transaction(open_transaction&& opened) {
    std::string name = std::to_string(m_incarnation) + "-" + std::to_string(m_next_number++);
    auto held = std::make_shared<held_transaction>();
    held->open = std::move(opened);
    held->used = boot_now();
    m_transactions.emplace(name, std::move(held));
    return name;
}

gateway_answer gateway_server::continue_transaction(gateway_request& request) {
    gateway_answer result;
    const auto found = m_transactions.find(request.transaction);
    if (found == m_transactions.end()) {
        m_counters.count("gateway_requests", "transaction_unknown");
        result.outcome = make_fault(statement_fault::aborted, "the transaction was rolled back");
        return result;
    }
    if (found->second->is_busy) {
        // The requesting host has given up on the statement in progress. The answer is true because
        // the transaction ends with that statement.
        found->second->must_roll_back = true;
        m_counters.count("gateway_requests", "transaction_busy");
        result.outcome = make_fault(statement_fault::aborted, "the transaction is rolled back");
        return result;
    }
    if (request.action == gateway_action::roll_back) {
        roll_back_and_remove(found);
        return result;
    }
    const auto held = found->second;
    if (request.action == gateway_action::step) {
        return step(request, held);
    }
    m_transactions.erase(found);
    result.outcome = m_router.commit(held->open, request.session, request.route, request.statement);
    report_last_write(result, request);
    return result;
}

gateway_answer gateway_server::step(gateway_request& request,
                                    const std::shared_ptr<held_transaction>& held) {
    const auto next = run_step(request, *held);
    held->used = boot_now();
    gateway_answer result;
    result.outcome = next.outcome;
    result.still_open = next.still_open;
    if (!next.still_open) {
        m_transactions.erase(request.transaction);
    } else if (held->must_roll_back) {
        m_counters.count("aborted_transactions", "given_up");
        result.still_open = false;
        result.outcome = make_fault(statement_fault::aborted, "the transaction was rolled back");
        roll_back_and_remove(m_transactions.find(request.transaction));
    }
    return result;
}

statement_router::step_outcome gateway_server::run_step(gateway_request& request,
                                                        held_transaction& held) {
    const busy_scope busy{held.is_busy};
    return m_router.step(held.open, request.session, request.route, request.statement);
}

void gateway_server::roll_back_and_remove(const transaction_map::iterator& at) {
    const auto held = at->second;
    m_transactions.erase(at);
    const running_count counted{m_running};
    m_router.roll_back(held->open);
}

void gateway_server::end_transactions() {
    std::vector<std::string> open;
    for (const auto& [name, held] : m_transactions) {
        if (!held->is_busy) {
            open.push_back(name);
        }
    }
    for (const std::string& name : open) {
        const auto found = m_transactions.find(name);
        if (found != m_transactions.end() && !found->second->is_busy) {
            m_counters.count("aborted_transactions", "stopping");
            roll_back_and_remove(found);
        }
    }
}

/// When a host dies, transactions of its sessions stay open here. Without this check they would
/// keep their connections until the endpoint's idle limit closes them.
void gateway_server::roll_back_abandoned() {
    const auto config = m_fleet.config.current();
    const duration limit = config && config->transaction_idle_limit > duration{}
                               ? config->transaction_idle_limit + abandoned_margin
                               : default_idle_limit;
    const instant now = boot_now();
    std::vector<std::string> abandoned;
    for (const auto& [name, held] : m_transactions) {
        if (!held->is_busy && held->used + limit <= now) {
            abandoned.push_back(name);
        }
    }
    for (const std::string& name : abandoned) {
        const auto found = m_transactions.find(name);
        if (found != m_transactions.end() && !found->second->is_busy) {
            m_counters.count("aborted_transactions", "abandoned");
            log_line{log_class::change, "transaction_abandoned"}
                .with("transaction", name)
                .with("idle_ms", now - found->second->used)
                .write();
            roll_back_and_remove(found);
        }
    }
}

}  // namespace jasminelead::proxy
