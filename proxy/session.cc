#include "proxy/session.h"

#include <array>
#include <exception>
#include <type_traits>
#include <utility>

#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

constexpr std::size_t read_bytes = std::size_t{4} * 1024;
constexpr duration startup_timeout = 5_s;
// Callers abort a startup that takes 2 s, so that the refusal has to be sent earlier.
constexpr duration config_timeout = 1500_ms;
constexpr duration write_timeout = 5_s;

}  // namespace

std::string_view to_string(session_end reason) {
    switch (reason) {
        case session_end::closed_by_caller:
            return "by_caller";
        case session_end::stopping:
            return "stopping";
        case session_end::cut_off:
            return "cut_off";
        case session_end::grace_period_expired:
            return "grace_over";
        case session_end::key_removed:
            return "key_removed";
        case session_end::startup_refused:
            return "startup_refused";
        case session_end::too_large:
            return "too_large";
        case session_end::unexpected_error:
            return "unexpected_error";
    }
    return "by_caller";
}

session::session(fleet_state& fleet, statement_dispatcher& dispatcher, daemon::metrics& counters,
                 daemon::tcp::socket socket)
    : m_fleet{fleet},
      m_dispatcher{dispatcher},
      m_counters{counters},
      m_stream{fleet.home().io(), std::move(socket)} {}

void session::serve() {
    m_counters.add_connections(1);
    try {
        serve_statements();
        roll_back_transaction();
    } catch (const std::exception& error) {
        // The connection closes without an answer, since the outcome is unknown. Other sessions are
        // not affected.
        m_end = session_end::unexpected_error;
        log_line{log_class::change, "unexpected_error"}
            .with("request", m_last_request)
            .with("reason", error.what())
            .write();
    }
    log_end();
    m_stream.close();
    m_counters.add_connections(-1);
}

void session::serve_statements() {
    if (!start()) {
        return;
    }
    while (const auto line = read_line(idle_deadline())) {
        if (!handle(*line)) {
            return;
        }
    }
}

steady_time session::idle_deadline() const {
    const bool limited = m_transaction.has_value() && m_transaction_config;
    const duration limit = limited ? m_transaction_config->transaction_idle_limit : duration{};
    return limit > duration{} ? to_steady(boot_now() + limit) : daemon::no_deadline;
}

/// Returns nothing when the connection has ended.
std::optional<std::string> session::read_line(steady_time deadline) {
    std::array<char, read_bytes> bytes{};
    for (;;) {
        if (const auto line = m_received.next()) {
            m_arrived = boot_now();
            return std::string{*line};
        }
        if (m_received.overflowed()) {
            reply_fault(statement_fault::too_large, "the message exceeds the size limit");
            flush();
            m_end = session_end::too_large;
            return std::nullopt;
        }
        boost::system::error_code error;
        m_awaits_statement = m_last_answer != instant{} && m_received.empty();
        const std::size_t size = m_stream.read_some(boost::asio::buffer(bytes), deadline, error);
        m_awaits_statement = false;
        if (error == boost::asio::error::timed_out && m_transaction) {
            m_counters.count("aborted_transactions", "idle");
            fail_transaction();
            deadline = daemon::no_deadline;
            continue;
        }
        if (error) {
            return std::nullopt;
        }
        m_received.append({bytes.data(), size});
    }
}

bool session::start() {
    const auto line = read_line(to_steady(boot_now() + startup_timeout));
    if (!line) {
        return false;
    }
    const auto request = platform::decode_request(*line);
    const auto* const startup = std::get_if<platform::startup_request>(&request);
    m_end = session_end::startup_refused;
    if (startup == nullptr) {
        platform::encode_error(m_out, statement_fault::malformed,
                               "the first message must be STARTUP");
        flush();
        return false;
    }
    m_database = startup->database;
    m_key = key_digest::of(startup->key);
    const instant give_up = boot_now() + config_timeout;
    while (!m_fleet.config.current() && m_fleet.changed.wait(to_steady(give_up))) {
    }
    if (!m_fleet.config.current()) {
        m_counters.count("refusals", "no_configuration");
        platform::encode_error(m_out, statement_fault::busy,
                               "no routing configuration received yet; not run");
        flush();
        return false;
    }
    if (route() == nullptr) {
        refuse_startup(statement_fault::unknown_database, "unknown_database", m_database);
        return false;
    }
    if (!authenticate()) {
        refuse_startup(statement_fault::unauthorized, "unknown_key", "unknown key");
        return false;
    }
    platform::encode_ready(m_out, m_state);
    flush();
    m_end = session_end::closed_by_caller;
    m_last_answer = boot_now();
    return true;
}

void session::refuse_startup(statement_fault fault, std::string_view why, std::string_view text) {
    m_counters.count("refusals", why);
    log_line{log_class::refusal, "startup_refused"}
        .with("database", m_database)
        .with("reason", why)
        .with("config", m_fleet.config.version())
        .write();
    platform::encode_error(m_out, fault, text);
    flush();
}

/// Authenticates again after each change of the configuration: the route may have become public, or
/// the key may belong to another account. Within a transaction the account stays the same.
bool session::authenticate() {
    const auto& config = m_fleet.config.current();
    if (config->version == m_data.caller.version) {
        return true;
    }
    const database_route* const current_route = config->find(m_database);
    if (m_transaction_begun || current_route == nullptr) {
        return config->still_admits(m_data.caller);
    }
    const auto identity = config->authenticate(*current_route, m_key);
    if (identity) {
        m_data.caller = {*identity, config->version};
    }
    return identity.has_value();
}

/// Answers the statement and returns true if its caller may not be served.
bool session::refuse_unless_admitted(bool ends_transaction) {
    const bool has_key = authenticate();
    if (has_key && m_fleet.check(m_data.caller) == caller_check::admitted) {
        return false;
    }
    m_counters.count("refusals", has_key ? "accounts_unconfirmed" : "key_removed");
    const bool was_begun = m_transaction_begun;
    if (was_begun) {
        fail_transaction();
    }
    if (!has_key) {
        m_key_removed = true;
        m_end = session_end::key_removed;
        m_transaction_begun = false;
        m_state = transaction_state::idle;
        reply_fault(statement_fault::unauthorized, "the key was removed; not run");
        return true;
    }
    if (ends_transaction) {
        return false;
    }
    reply_fault(was_begun ? statement_fault::aborted : statement_fault::busy,
                "the accounts known to this host may be out of date; not run");
    return true;
}

void session::end_if_key_removed() {
    if (!m_stream.is_open() || m_data.caller.identity.account.empty() ||
        m_fleet.config.current()->still_admits(m_data.caller)) {
        return;
    }
    if (m_awaits_statement && m_stream.is_connected_and_idle()) {
        end(session_end::key_removed);
    } else {
        m_close_when_idle = true;
    }
}

const database_route* session::route() {
    if (!m_transaction_begun || !m_transaction_config) {
        m_transaction_config = m_fleet.config.current();
    }
    return m_transaction_config->find(m_database);
}

bool session::handle(const std::string& line) {
    const auto request = platform::decode_request(line);
    if (std::holds_alternative<platform::terminate_request>(request)) {
        return false;
    }
    if (const auto* const query = std::get_if<platform::query_request>(&request)) {
        m_last_request = query->id;
        ++m_statements;
        answer(*query);
    } else {
        reply_fault(statement_fault::malformed, "unexpected or malformed message");
    }
    flush();
    m_last_answer = boot_now();
    if (m_key_removed) {
        return false;
    }
    // Closing right after the answer tells the caller before it sends its next statement.
    const bool ends_here = m_close_when_idle && m_received.empty() && !m_transaction_begun;
    if (ends_here && m_stream.is_connected_and_idle()) {
        return false;
    }
    return m_stream.is_open();
}

void session::answer(const platform::query_request& query) {
    const caller_statement decoded = platform::decode_statement(query.text);
    const bool ends = std::holds_alternative<commit_statement>(decoded) ||
                      std::holds_alternative<rollback_statement>(decoded);
    if (refuse_unless_admitted(ends && m_transaction_begun)) {
        return;
    }
    if (m_abort_transaction && m_transaction_begun) {
        m_counters.count("aborted_transactions", "stopping");
        fail_transaction();
        if (!ends) {
            reply_fault(statement_fault::aborted, "the daemon is shutting down; rolled back");
            return;
        }
    }
    if (m_state == transaction_state::failed && !ends) {
        reply_fault(statement_fault::malformed,
                    "the transaction has failed; end it with COMMIT or ROLLBACK");
        return;
    }
    std::visit(
        [&](const auto& item) {
            using type = std::decay_t<decltype(item)>;
            if constexpr (std::is_same_v<type, begin_statement>) {
                on_begin(item);
            } else if constexpr (std::is_same_v<type, commit_statement>) {
                on_transaction_end(query, true);
            } else if constexpr (std::is_same_v<type, rollback_statement>) {
                on_transaction_end(query, false);
            } else if constexpr (std::is_same_v<type, item_statement>) {
                on_forwarded(query, item.kind, std::nullopt, {});
            } else if constexpr (std::is_same_v<type, execute_statement>) {
                on_execute(query, item);
            } else if constexpr (std::is_same_v<type, set_statement>) {
                m_data.values[item.name] = item.value;
                reply_done();
            } else if constexpr (std::is_same_v<type, prepare_statement>) {
                m_data.prepared[item.name] = prepared_statement{item.kind, item.shape};
                reply_done();
            } else if constexpr (std::is_same_v<type, deallocate_statement>) {
                m_data.prepared.erase(item.name);
                reply_done();
            } else {
                reply_fault(statement_fault::malformed, "unknown or malformed statement");
            }
        },
        decoded);
}

void session::on_begin(const begin_statement& statement) {
    if (m_transaction_begun) {
        reply_fault(statement_fault::malformed, "a transaction is already open");
        return;
    }
    m_transaction_config = m_fleet.config.current();
    m_transaction_begun = true;
    m_read_only = statement.read_only;
    m_state = transaction_state::open;
    reply_done();
}

void session::on_execute(const platform::query_request& query, const execute_statement& statement) {
    const auto found = m_data.prepared.find(statement.name);
    if (found == m_data.prepared.end()) {
        reply_fault(statement_fault::unknown_prepared, statement.name);
        return;
    }
    on_forwarded(query, found->second.kind, found->second, statement.arguments);
}

void session::on_forwarded(const platform::query_request& query, access kind,
                           std::optional<prepared_statement> prepared, std::string arguments) {
    forwarded_statement statement;
    statement.id = query.id;
    statement.text = query.text;
    statement.kind = kind;
    statement.prepared = std::move(prepared);
    statement.arguments = std::move(arguments);
    statement.arrived = m_arrived;
    const database_route* const found = route();
    if (found == nullptr) {
        reply_fault(statement_fault::unknown_database, m_database);
        return;
    }
    const auto keep_config = m_transaction_config;
    if (m_transaction_begun) {
        run_in_transaction(statement, *found);
    } else {
        reply(m_dispatcher.run(m_data, *found, statement));
    }
}

void session::run_in_transaction(const forwarded_statement& statement, const database_route& used) {
    if (!m_transaction) {
        auto begun = m_dispatcher.begin(m_data, used, statement, m_read_only);
        m_transaction = std::move(begun.transaction);
        if (!m_transaction) {
            m_state = transaction_state::failed;
        }
        reply(begun.outcome);
        return;
    }
    const auto result = m_dispatcher.step(*m_transaction, m_data, used, statement);
    if (!result.still_open) {
        m_transaction.reset();
        m_state = transaction_state::failed;
    }
    reply(result.outcome);
}

void session::on_transaction_end(const platform::query_request& query, bool commits) {
    if (!m_transaction_begun) {
        reply_fault(statement_fault::malformed, "no transaction is open");
        return;
    }
    const bool failed = m_state == transaction_state::failed;
    const auto keep_config = m_transaction_config;
    const database_route* const used = route();
    m_state = transaction_state::idle;
    if (!commits || failed || used == nullptr) {
        m_transaction_begun = false;
        if (commits) {
            reply_fault(statement_fault::aborted, "the transaction was rolled back");
        } else {
            reply_done();
        }
        flush();
        roll_back_transaction();
        return;
    }
    forwarded_statement statement;
    statement.id = query.id;
    statement.text = query.text;
    statement.kind = access::write;
    statement.arrived = m_arrived;
    if (!m_transaction) {
        m_transaction_begun = false;
        reply(m_dispatcher.commit_empty(m_data, *used, statement, m_read_only));
        return;
    }
    const statement_outcome outcome = m_dispatcher.commit(*m_transaction, m_data, *used, statement);
    m_transaction.reset();
    m_transaction_begun = false;
    reply(outcome);
}

void session::reply(const statement_outcome& outcome) {
    if (outcome.fault) {
        reply_fault(*outcome.fault, outcome.text);
        return;
    }
    m_out.append(outcome.rows);
    platform::encode_done(m_out, outcome.signature);
    platform::encode_ready(m_out, m_state);
}

void session::reply_done() {
    platform::encode_done(m_out, platform::internal_signature());
    platform::encode_ready(m_out, m_state);
}

void session::reply_fault(statement_fault fault, std::string_view text) {
    m_counters.count("faults_answered", to_string(fault));
    platform::encode_error(m_out, fault, text);
    platform::encode_ready(m_out, m_state);
}

void session::fail_transaction() {
    roll_back_transaction();
    m_state = transaction_state::failed;
    m_abort_transaction = false;
}

/// Rolls back at the endpoint or gateway. The caller's transaction state is unchanged.
void session::roll_back_transaction() {
    if (m_transaction) {
        m_dispatcher.roll_back(*m_transaction);
        m_transaction.reset();
    }
}

void session::flush() {
    if (m_out.empty()) {
        return;
    }
    const auto error =
        m_stream.write(boost::asio::buffer(m_out), to_steady(boot_now() + write_timeout));
    m_out.clear();
    if (error) {
        m_stream.close();
    }
}

session_activity session::activity() {
    session_activity result;
    result.is_working = !m_awaits_statement || m_transaction_begun;
    result.has_unread_bytes = !m_stream.is_connected_and_idle();
    result.has_run_statement = m_statements > 0;
    result.last_answer = m_last_answer;
    return result;
}

bool session::close_if_idle(session_end reason) {
    if (!m_stream.is_open() || !may_end_session(activity(), boot_now())) {
        return false;
    }
    end(reason);
    return true;
}

void session::end(session_end reason) {
    m_end = reason;
    m_stream.close();
}

void session::log_end() {
    const bool expected = m_end == session_end::closed_by_caller && !m_transaction_begun;
    m_counters.count("sessions_ended", to_string(m_end));
    log_line{expected ? log_class::success : log_class::refusal, "session_ended"}
        .with("database", m_database)
        .with("reason", to_string(m_end))
        .with("last_request", m_last_request)
        .with("statements", m_statements)
        .with("in_transaction", m_transaction_begun ? "true" : "false")
        .write();
}

}  // namespace jasminelead::proxy
