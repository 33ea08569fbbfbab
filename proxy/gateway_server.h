#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "daemon/metrics.h"
#include "proxy/fleet_state.h"
#include "proxy/gateway_messages.h"
#include "proxy/statement_router.h"

namespace jasminelead::proxy {

/// Runs statements and transactions for sessions of other hosts.
class gateway_server {
public:
    gateway_server(fleet_state& fleet, statement_router& router, daemon::metrics& counters);

    void start();
    /// Runs one request and returns its encoded answer; suspends the calling fiber. Returns nothing
    /// for a malformed request.
    std::optional<std::string> answer(std::string_view text);
    /// From now on only statements of open transactions are accepted.
    void begin_stop() { m_stopping = true; }
    /// Rolls back open transactions, except those with a statement in progress: for these it has to
    /// be called again.
    void end_transactions();
    /// True when no request is in progress and no transaction is open.
    [[nodiscard]] bool is_idle() const { return m_running == 0 && m_transactions.empty(); }
    void stop() { m_stopped = true; }

private:
    struct held_transaction {
        open_transaction open;
        instant used;
        bool is_busy = false;
        bool must_roll_back = false;  ///< When its statement in progress ends.
    };
    using transaction_map = std::map<std::string, std::shared_ptr<held_transaction>, std::less<>>;

    gateway_answer handle(gateway_request& request);
    gateway_answer begin(gateway_request& request);
    gateway_answer continue_transaction(gateway_request& request);
    gateway_answer step(gateway_request& request, const std::shared_ptr<held_transaction>& held);
    statement_router::step_outcome run_step(gateway_request& request, held_transaction& held);
    bool declines(const gateway_request& request) const;
    std::string store_transaction(open_transaction&& opened);
    void roll_back_abandoned();
    void roll_back_and_remove(const transaction_map::iterator& at);

    fleet_state& m_fleet;
    statement_router& m_router;
    daemon::metrics& m_counters;
    incarnation_number m_incarnation;
    std::uint64_t m_next_number = 1;
    transaction_map m_transactions;
    std::uint32_t m_running = 0;
    bool m_stopping = false;
    bool m_stopped = false;
};

}  // namespace jasminelead::proxy
