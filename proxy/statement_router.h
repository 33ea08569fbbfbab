#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <variant>

#include "daemon/metrics.h"
#include "jasminelead/primary_outage.h"
#include "jasminelead/read_selector.h"
#include "proxy/account_usage.h"
#include "proxy/fleet_state.h"
#include "proxy/limit_exchange.h"
#include "proxy/mark_exchange.h"
#include "proxy/session_data.h"
#include "proxy/statement_attempt.h"
#include "proxy/statement_exchange.h"

/// Routes statements and transactions of sessions to endpoints and runs them there.
namespace jasminelead::proxy {

/// A transaction that is open on a connection of this host.
struct open_transaction {
    std::shared_ptr<endpoint_pool> pool;
    held_connection connection;
    std::optional<primary_permit> permit;  ///< Empty for a read-only transaction on a replica.
    std::optional<run_slot> slot;          ///< Acquired by the begin; used by the next statement.
    bool has_run_statement = false;
    /// When the transaction was counted against its account's limit; empty once an endpoint has run
    /// one of its statements.
    std::optional<instant> counted_at{};
    bool wrote = false;
};

/// What a statement does that needs a primary with no connection left for this host.
enum class when_full {
    wait,    ///< Waits for a connection.
    refuse,  ///< Is refused as not run, so that another host can run it.
};

class statement_router {
public:
    statement_router(fleet_state& fleet, mark_exchange& marks, limit_exchange& limits,
                     daemon::metrics& counters);

    /// How reads are spread over endpoints that can all answer them.
    void set_read_balance(read_balance balance) { m_balance = balance; }
    /// While neither the store nor the peers confirm this host's leases, statements that would
    /// have to wait are refused at once.
    void set_unconfirmed(bool is_unconfirmed) { m_is_unconfirmed = is_unconfirmed; }
    [[nodiscard]] bool is_unconfirmed() const { return m_is_unconfirmed; }
    /// From now on a statement that waits is refused as not run at this time at the latest, and at
    /// once if it cannot start by then.
    void end_waits_at(instant limit) { m_wait_limit = limit; }
    /// Refuses the statements that wait for a slot or a connection of an endpoint.
    void refuse_waiting();
    /// Latest time until which the statement may wait.
    [[nodiscard]] instant wait_end(instant give_up) const {
        return m_wait_limit ? std::min(give_up, *m_wait_limit) : give_up;
    }
    /// True when this host cannot use the group's primary although other hosts may reach it.
    /// False during a failover, when no host can.
    [[nodiscard]] bool is_primary_unavailable_here(const group_id& group) const;

    /// Runs one statement outside a transaction.
    statement_outcome run(session_data& session, const database_route& route,
                          const forwarded_statement& statement, when_full choice = when_full::wait);
    /// Begins a transaction on an endpoint that can run its statements: the primary, or for
    /// read-only transactions any endpoint that is fresh enough.
    std::variant<open_transaction, statement_outcome> begin(session_data& session,
                                                            const database_route& route,
                                                            const forwarded_statement& first,
                                                            bool read_only,
                                                            when_full choice = when_full::wait);
    /// Result of one statement of a transaction. When `still_open` is false, the transaction has
    /// been rolled back.
    struct step_outcome {
        statement_outcome outcome;
        bool still_open = true;
    };
    step_outcome step(open_transaction& transaction, session_data& session,
                      const database_route& route, const forwarded_statement& statement);
    statement_outcome commit(open_transaction& transaction, session_data& session,
                             const database_route& route, const forwarded_statement& statement);
    /// Rolls back and returns the connection to its pool.
    void roll_back(open_transaction& transaction);
    /// Statements that were sent to endpoints, by account.
    [[nodiscard]] account_usage& usage() { return m_usage; }

private:
    struct acquired_primary {
        std::shared_ptr<endpoint_pool> pool;
        primary_permit permit;
        acquired_connection run;
    };

    /// An endpoint and a connection on which a read or a transaction may run.
    struct acquired_endpoint {
        std::shared_ptr<endpoint_pool> pool;
        std::optional<primary_permit> permit;  ///< Set if the endpoint is the leased primary.
        acquired_connection run;
    };

    statement_outcome run_read(session_data& session, const database_route& route,
                               const forwarded_statement& statement);
    std::variant<acquired_endpoint, statement_outcome> acquire_read_endpoint(
        statement_attempt& current, const session_data& session);
    void update_bound(statement_attempt& current, const session_data& session);
    void request_marks_if_needed(const group_id& group);
    std::shared_ptr<endpoint_pool> choose_read_pool(statement_attempt& current);
    std::optional<statement_outcome> wait_for_endpoint(statement_attempt& current);
    std::optional<statement_outcome> try_read(statement_attempt& current,
                                              const session_data& session,
                                              const acquired_endpoint& used);

    statement_outcome run_on_primary(session_data& session, const database_route& route,
                                     const forwarded_statement& statement, when_full choice);
    std::variant<acquired_primary, statement_outcome> acquire_primary(statement_attempt& current,
                                                                      bool needs_live_link);
    bool wait_for_valid_lease(const group_id& group, const primary_permit& permit, instant give_up);
    statement_outcome acknowledge_write(statement_attempt& current, const acquired_primary& used,
                                        const endpoint_answer& answer);

    std::variant<acquired_endpoint, statement_outcome> acquire_for_begin(
        statement_attempt& current, const session_data& session, bool may_use_replica);
    std::variant<run_slot, reason> take_slot(open_transaction& transaction,
                                             const statement_attempt& current);
    void record_usage(open_transaction& transaction, const statement_attempt& current);
    statement_outcome abort(open_transaction& transaction, const statement_attempt& current,
                            std::string_view counted, std::string_view text);
    bool wait_for_retry(const statement_attempt& current, const endpoint_answer& answer);

    statement_outcome refuse(const statement_attempt& current, std::string_view counted,
                             std::string_view text);
    std::optional<statement_outcome> refuse_unless_admitted(const statement_attempt& current);
    [[nodiscard]] bool is_counted(const statement_attempt& current) const;
    [[nodiscard]] bool may_still_start(const statement_attempt& current,
                                       const std::optional<primary_permit>& permit);
    std::optional<statement_outcome> count_operation(statement_attempt& current);
    std::optional<statement_outcome> count_transaction(open_transaction& transaction,
                                                       statement_attempt& current);
    void record_lost_answer(const statement_attempt& current, endpoint_pool& pool,
                            const held_connection& connection, connection_fault fault);
    void record_mark(const group_id& group, const std::optional<primary_permit>& permit,
                     instant sent, const endpoint_answer& answer);
    void log_attempt(const statement_attempt& current, const endpoint_id& endpoint,
                     std::string_view outcome);

    fleet_state& m_fleet;
    mark_exchange& m_marks;
    limit_exchange& m_limits;
    daemon::metrics& m_counters;
    account_usage m_usage;
    primary_outages m_outages;
    bool m_is_unconfirmed = false;
    std::optional<instant> m_wait_limit;
    read_balance m_balance = read_balance::lowest_cost;
    random_source m_random;
};

}  // namespace jasminelead::proxy
