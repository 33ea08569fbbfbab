#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jasminelead/context.h"
#include "jasminelead/freshness.h"
#include "jasminelead/group_source.h"
#include "jasminelead/messages.h"
#include "jasminelead/retry.h"
#include "jasminelead/router.h"
#include "jasminelead/token.h"

/// Serves the requests of callers with calls to the owners of endpoints.
namespace jasminelead {

/// Steps of a request: where it was sent, and why it waited, was retried or ended.
struct request_trace {
    std::uint64_t session = 0;
    group_id group;
    request_kind kind = request_kind::statement;
    std::vector<std::string> steps;
    instant at;
};

namespace detail {

/// Time to wait for a term history before the loss of a session's write is accepted.
inline constexpr duration term_history_timeout = duration::from_ms(200);

/// How a retry uses the retry budget.
enum class budget_rule : std::uint8_t {
    exempt,  ///< The retry does not use the budget.
    wait,    ///< The retry waits for the budget until the deadline.
    refuse,  ///< The request ends when the budget is exhausted.
};

/// A call to the owner of an endpoint.
struct entry_attempt {
    std::uint64_t call = 0;
    host_id owner;
    endpoint_id endpoint;
    term_number term = 0;  ///< Term of the view when the call was sent.
    instant sent;
    bool confirm = false;
};

struct pending_request {
    std::uint64_t serial = 0;
    caller_request request;
    session_token session;
    std::optional<transaction_handle> handle;
    duration max_age;
    instant deadline;
    instant timer;  ///< Next time at which the request is planned again or expires.
    std::optional<entry_attempt> attempt;  ///< Call in flight.
    std::optional<entry_attempt> last;     ///< Last call that ended.
    reason wait_reason = reason::none;
    reason retry_reason = reason::none;
    outcome failure = not_run{};    ///< Result of the last attempt.
    std::optional<reason> unknown;  ///< Set when an attempt may have run.
    budget_rule budget = budget_rule::exempt;
    unsigned attempts = 0;
    bool has_session = false;          ///< False until the token was verified.
    bool avoid_last_endpoint = false;  ///< The next read should use another endpoint.
    bool waited_for_replica = false;
    bool expect = true;  ///< Route by expected states; false after a stale answer.
    request_trace trace;
};

bool is_read(const pending_request& p);
/// True when the answer acknowledges a write.
bool commits_write(const pending_request& p);
/// Running these twice changes no data. A transaction that is not used is rolled back.
bool has_no_lasting_effect(const pending_request& p);
reason reason_of(const outcome& result);

}  // namespace detail

/// Routes each request to an owner, retries it within its deadline and answers its caller.
class entry {
public:
    using trace = request_trace;

    /// The arguments must outlive this object.
    entry(core_context& context, group_source& groups, token_codec& tokens,
          std::string_view routing_policy = "default");

    /// Each request gets exactly one caller_reply.
    void on_request(caller_request request, instant now, action_list& out);
    void on_reply(const host_id& from, statement_reply reply, instant now, action_list& out);
    /// Calls in flight on the link may have run. Report unsent calls with `on_peer_call_unsent`
    /// first.
    void on_peer_failed(const peer_failed& failure, instant now, action_list& out);
    void on_peer_call_unsent(const peer_call_unsent& unsent, instant now, action_list& out);
    void on_report(const host_id& from, const group_report& report, instant now, action_list& out);
    void on_view_changed(const group_id& group, instant now, action_list& out);
    void tick(instant now, action_list& out);
    [[nodiscard]] std::optional<instant> next_wakeup() const;
    [[nodiscard]] std::size_t in_progress() const { return m_pending.size(); }
    /// The session's requests in progress and among the last 1,024, oldest first.
    [[nodiscard]] std::vector<trace> explain(std::uint64_t session) const;

private:
    using pending = detail::pending_request;

    // Admission.
    std::optional<reason> admit(pending& p) const;
    std::optional<reason> admit_transaction(pending& p) const;
    [[nodiscard]] duration default_max_age(const caller_request& request) const;

    // Planning: each plan function ends with a call, a wait or a reply.
    void plan(pending& p, instant now, action_list& out);
    void plan_read(pending& p, instant now, action_list& out);
    void plan_write(pending& p, instant now, action_list& out);
    bool check_session(pending& p, instant now, action_list& out);
    void dispatch(pending& p, const endpoint_id& endpoint, bool confirm, std::string_view cause,
                  instant now, action_list& out);
    bool allow_retry(pending& p, const detail::entry_attempt& next, instant now, action_list& out);
    void send(pending& p, detail::entry_attempt attempt, instant now, action_list& out);
    void wait(pending& p, reason why, instant until, action_list& out);
    void wait_for_view(pending& p, reason why, instant now, action_list& out);
    void remove_waiter(const pending& p);
    [[nodiscard]] const host_id* owner_for(const endpoint_id& endpoint, instant now) const;
    void query_group(const group_id& group, instant now, action_list& out);
    void replan_waiting(const group_id& group, bool all, instant now, action_list& out);

    // Replies.
    pending* find_call(std::uint64_t call);
    void record_reply(const pending& p, const statement_reply& reply, instant now,
                      action_list& out);
    void on_done(pending& p, statement_reply reply, instant now, action_list& out);
    void on_read_done(pending& p, statement_reply reply, instant now, action_list& out);
    void on_write_done(pending& p, statement_reply reply, instant now, action_list& out);
    void on_begin_done(pending& p, statement_reply reply, instant now, action_list& out);
    void on_execute_done(pending& p, statement_reply reply, instant now, action_list& out);
    void on_stale(pending& p, reason why, instant now, action_list& out);
    void on_failure(pending& p, outcome result, instant now, action_list& out);
    std::optional<reason> session_fault(pending& p, const position_stamp& stamp, instant now) const;
    [[nodiscard]] bool is_fresh_enough(const pending& p, const position_stamp& stamp,
                                       instant now) const;
    void end_attempt(pending& p);
    void abandon_transaction(const pending& p, const statement_reply& reply, action_list& out);

    // Completion.
    void expire(pending& p, instant now, action_list& out);
    void finish(pending& p, outcome result, action_list& out, const endpoint_id& endpoint = {},
                std::string transaction = {});
    bool check(promise which, bool holds);
    void set_timer(pending& p, instant at);
    static void add_trace_step(pending& p, std::string step);

    core_context& m_context;
    group_source& m_groups;
    token_codec& m_tokens;
    freshness m_marks;
    router m_router;
    struct owner_hint {
        host_id host;
        instant expires;
    };
    std::unordered_map<endpoint_id, owner_hint> m_owner_hints;  // From not_owner replies.
    retry_budget m_budget;
    std::map<std::uint64_t, pending> m_pending;  // In order of arrival.
    std::unordered_map<std::uint64_t, std::uint64_t> m_calls;
    std::set<std::pair<instant, std::uint64_t>> m_timers;
    std::map<group_id, std::set<std::uint64_t>> m_waiting;
    std::unordered_map<group_id, instant> m_last_query;
    std::deque<trace> m_traces;
    std::uint64_t m_next_serial = 1;
    std::uint64_t m_next_call = 1;
};

}  // namespace jasminelead
