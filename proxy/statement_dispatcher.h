#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "daemon/metrics.h"
#include "proxy/fleet_state.h"
#include "proxy/gateway_client.h"
#include "proxy/statement_router.h"

/// Runs statements of this host's sessions locally or at a gateway of their group. A gateway is a
/// host that holds connections to the group's endpoints.
namespace jasminelead::proxy {

/// A transaction that is open at a gateway.
struct relayed_transaction {
    host_id gateway;
    std::string name;
    database_route route;
    bool wrote = false;
};

using session_transaction = std::variant<open_transaction, relayed_transaction>;

class statement_dispatcher {
public:
    statement_dispatcher(fleet_state& fleet, statement_router& router, gateway_client& gateways,
                         limit_exchange& limits, daemon::metrics& counters);

    /// Runs one statement outside a transaction.
    statement_outcome run(session_data& session, const database_route& route,
                          const forwarded_statement& statement);
    /// Outcome of the first statement of a transaction, and the transaction if it is still open.
    struct first_step {
        statement_outcome outcome;
        std::optional<session_transaction> transaction;
    };
    first_step begin(session_data& session, const database_route& route,
                     const forwarded_statement& first, bool read_only);
    /// Begins and commits a transaction that has no other statements.
    statement_outcome commit_empty(session_data& session, const database_route& route,
                                   const forwarded_statement& commit, bool read_only);
    statement_router::step_outcome step(session_transaction& transaction, session_data& session,
                                        const database_route& route,
                                        const forwarded_statement& statement);
    statement_outcome commit(session_transaction& transaction, session_data& session,
                             const database_route& route, const forwarded_statement& statement);
    void roll_back(session_transaction& transaction);

private:
    struct relayed_answer {
        host_id gateway;
        gateway_answer answer;
    };
    /// A gateway's answer, or a fault that tells whether the statement may have run.
    using relay_result = std::variant<relayed_answer, gateway_fault>;

    [[nodiscard]] bool runs_locally(const session_data& session, const database_route& route,
                                    bool needs_primary);
    std::optional<statement_outcome> refuse_at_known_limit(const session_data& session,
                                                           const database_route& route,
                                                           const forwarded_statement& statement);
    bool should_pass_on(const statement_outcome& outcome, const session_data& session,
                        const database_route& route, bool needs_primary);
    relay_result relay(gateway_request& request, session_data& session);
    gateway_request make_request(gateway_action action, const session_data& session,
                                 const database_route& route,
                                 const forwarded_statement& statement) const;
    first_step begin_locally(session_data& session, const database_route& route,
                             const forwarded_statement& first, bool read_only, when_full choice);
    statement_outcome commit_empty_locally(session_data& session, const database_route& route,
                                           const forwarded_statement& commit, bool read_only);
    statement_outcome report_gateway_lost(const forwarded_statement& statement,
                                          const host_id& gateway, statement_fault fault,
                                          std::string_view text);
    void log_relayed(const forwarded_statement& statement, const database_route& route,
                     const host_id& gateway, std::string_view outcome);

    fleet_state& m_fleet;
    statement_router& m_router;
    gateway_client& m_gateway_client;
    limit_exchange& m_limits;
    daemon::metrics& m_counters;
};

}  // namespace jasminelead::proxy
