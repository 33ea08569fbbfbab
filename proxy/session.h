#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "daemon/fiber_stream.h"
#include "daemon/metrics.h"
#include "jasminelead/session_drain.h"
#include "platform/wire.h"
#include "proxy/fleet_state.h"
#include "proxy/session_data.h"
#include "proxy/statement_dispatcher.h"

namespace jasminelead::proxy {

/// Why a session ended. Logged under the names that `to_string` returns.
enum class session_end {
    closed_by_caller,
    stopping,
    cut_off,
    grace_period_expired,
    key_removed,
    startup_refused,
    too_large,
    unexpected_error
};

std::string_view to_string(session_end reason);

/// Serves one caller's connection from its startup to its end.
class session {
public:
    session(fleet_state& fleet, statement_dispatcher& dispatcher, daemon::metrics& counters,
            daemon::tcp::socket socket);

    /// Serves the connection until it ends. Needs a fiber of its own.
    void serve();
    /// Ends the session together with the answer to its next statement.
    void close_after_answer() { m_close_when_idle = true; }
    /// Ends the session unless a statement may be in progress or in flight from the caller. True if
    /// it was ended.
    bool close_if_idle(session_end reason);
    /// Ends the session at once.
    void abort(session_end reason) { end(reason); }
    /// Ends the session if its caller's key was removed, unless a statement is in progress: that
    /// session ends with its next statement.
    void end_if_key_removed();
    /// Rolls an open transaction back at the caller's next statement, so that the session can end.
    void end_transaction() { m_abort_transaction = m_transaction_begun; }

private:
    void serve_statements();
    [[nodiscard]] session_activity activity();
    void end(session_end reason);
    void log_end();
    bool start();
    void refuse_startup(statement_fault fault, std::string_view why, std::string_view text);
    bool authenticate();
    bool refuse_unless_admitted(bool ends_transaction);
    std::optional<std::string> read_line(steady_time deadline);
    steady_time idle_deadline() const;
    bool handle(const std::string& line);
    void answer(const platform::query_request& query);
    void on_begin(const begin_statement& statement);
    void on_transaction_end(const platform::query_request& query, bool commits);
    void on_forwarded(const platform::query_request& query, access kind,
                      std::optional<prepared_statement> prepared, std::string arguments);
    void on_execute(const platform::query_request& query, const execute_statement& statement);
    void run_in_transaction(const forwarded_statement& statement, const database_route& route);
    const database_route* route();
    void reply(const statement_outcome& outcome);
    void reply_done();
    void reply_fault(statement_fault fault, std::string_view text);
    void fail_transaction();
    void roll_back_transaction();
    void flush();

    fleet_state& m_fleet;
    statement_dispatcher& m_dispatcher;
    daemon::metrics& m_counters;
    daemon::fiber_stream m_stream;
    platform::line_buffer m_received;
    std::string m_out;
    std::string m_database;
    key_digest m_key;
    session_data m_data;
    transaction_state m_state = transaction_state::idle;
    bool m_transaction_begun = false;  ///< Set by BEGIN, before an endpoint has begun it.
    bool m_read_only = false;
    std::shared_ptr<const routing_config> m_transaction_config;
    std::optional<session_transaction> m_transaction;
    instant m_arrived;
    std::string m_last_request;  ///< Id of the last received statement.
    std::uint64_t m_statements = 0;
    instant m_last_answer;
    session_end m_end = session_end::closed_by_caller;
    bool m_awaits_statement = false;  ///< Waits for the caller's next statement.
    bool m_close_when_idle = false;
    bool m_abort_transaction = false;
    bool m_key_removed = false;
};

}  // namespace jasminelead::proxy
