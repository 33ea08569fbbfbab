#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "daemon/http_pool.h"
#include "daemon/metrics.h"
#include "jasminelead/limit_shares.h"
#include "proxy/fleet_state.h"
#include "proxy/limit_messages.h"
#include "proxy/session_data.h"
#include "proxy/settings.h"
#include "proxy/store_sync.h"
#include "proxy/wait_list.h"

namespace jasminelead::proxy {

/// Why an operation of an account may not start now.
struct limit_refusal {
    duration retry_after;
    bool is_limit_reached = true;  ///< False if no host that counts the account answers.
};

/// Keeps the limits of accounts together with the other hosts: asks the host that counts an
/// account's operations, counts those of some accounts, and lends and borrows shares of limits.
class limit_exchange {
public:
    limit_exchange(fleet_state& fleet, store_sync& sync, daemon::metrics& counters,
                   const settings& options);

    void start();
    void stop();

    /// Counts one operation that is about to start, for an account with a limit. May wait until
    /// `wait_end` for the next operation that the limit allows. Suspends the calling fiber. Returns
    /// a time at or before which it was counted.
    std::variant<instant, limit_refusal> take(const account_id& account, instant wait_end);
    /// An operation that was counted for longer ago than this is counted again.
    [[nodiscard]] duration max_token_age() const { return m_tolerance.max_token_age(); }
    /// Set while operations of the account are refused without asking another host, beyond
    /// `wait_end`. Waits for the end of an earlier one; suspends the calling fiber.
    [[nodiscard]] std::optional<limit_refusal> await_known_refusal(const account_id& account,
                                                                   instant wait_end);
    /// Call when another host has refused an operation of the account.
    void record_refusal(const account_id& account, duration retry_after);

    /// Responses to other hosts; empty when the request is malformed.
    std::optional<std::string> answer_take(std::string_view request);
    std::optional<std::string> answer_loans(std::string_view request);

private:
    struct waiting_take {
        account_id account;
        bool is_done = false;
        instant sent;  ///< When the request was sent.
        std::optional<limit_refusal> refusal;
        bool is_failed = false;  ///< The asked host did not answer.
    };
    struct silence {
        instant since;     ///< Of the last request.
        duration backoff;  ///< Until the next one.
    };
    using waiting_take_ptr = std::shared_ptr<waiting_take>;
    struct take_queue {
        std::vector<waiting_take_ptr> waiting;
        bool is_sending = false;
    };
    /// Requests to all owners, sent together.
    struct loan_round {
        instant sent;
        std::size_t pending = 0;
    };

    void run();
    [[nodiscard]] std::optional<limit_refusal> known_refusal(const account_id& account) const;
    [[nodiscard]] std::optional<bucket_limit> limit_of(const account_id& account) const;
    [[nodiscard]] bool is_limited(const account_id& account) const;
    [[nodiscard]] bool may_ask(const host_id& limiter) const;
    void record_answer(const host_id& limiter, bool is_answered);
    [[nodiscard]] std::vector<host_placement> owners() const;
    const std::vector<host_id>& limiters(const account_id& account);
    [[nodiscard]] std::optional<std::string> address_of(const host_id& host) const;
    void refresh_ownership();

    std::variant<instant, limit_refusal> take_once(const account_id& account);
    account_limiter::decision count_here(const account_id& account, const bucket_limit& limit,
                                         std::uint32_t wanted);
    waiting_take_ptr ask(const host_id& limiter, const account_id& account);
    void send_queued(const host_id& limiter);
    bool send_batch(const host_id& limiter, const std::vector<waiting_take_ptr>& batch);
    static void apply_answer(const std::vector<take_answer>& rows,
                             const std::vector<waiting_take_ptr>& batch);

    std::shared_ptr<loan_round> borrow(const std::vector<loan_request>& wanted);
    void borrow_from(const host_id& owner, const std::string& request,
                     const std::shared_ptr<loan_round>& round);
    void apply_loans(const host_id& owner, const std::vector<loan_answer>& loans, instant sent);
    std::vector<loan_answer> lend(const loans_request& request);

    fleet_state& m_fleet;
    store_sync& m_sync;
    daemon::metrics& m_counters;
    limit_tolerance m_tolerance;
    share_ownership m_ownership;
    share_lender m_lender;
    account_limiter m_limiter;
    daemon::http_pool m_pool;
    wait_list m_answered;
    std::map<host_id, take_queue> m_queues;
    std::map<host_id, silence> m_silent;  ///< Hosts that left their last request unanswered.
    std::map<account_id, instant> m_refused_until;
    std::map<account_id, instant> m_first_loans;  ///< When the account's first loans were asked.
    std::map<account_id, std::vector<host_id>> m_limiters;  ///< Cached on first use.
    /// Of the granters and the hosts, when `m_limiters` was filled.
    std::pair<revision_number, std::uint64_t> m_limiters_versions;
    bool m_stopped = false;
};

/// The answer to a statement that its account's limit does not allow.
statement_outcome refuse_for_limit(const account_id& account, const limit_refusal& refusal);
/// Latest time until which a statement waits for its account's limit. Short against the route's
/// latency goal, so that callers learn soon that they are at their limit.
instant limit_wait_end(const database_route& route, const forwarded_statement& statement);

}  // namespace jasminelead::proxy
