#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>

#include "daemon/metrics.h"
#include "daemon/worker.h"
#include "jasminelead/account.h"
#include "jasminelead/account_connections.h"
#include "jasminelead/admission.h"
#include "jasminelead/concurrency_limit.h"
#include "jasminelead/connection_pool.h"
#include "jasminelead/connection_share.h"
#include "jasminelead/endpoint_health.h"
#include "jasminelead/listed_endpoint.h"
#include "jasminelead/reason.h"
#include "jasminelead/routing_config.h"
#include "proxy/endpoint_connection.h"
#include "proxy/wait_list.h"

namespace jasminelead::proxy {

/// Request of a statement for an endpoint's queue.
struct work_request {
    service_id lane;  ///< Deadline order within a lane, weighted fair sharing between lanes.
    service_id kind;  ///< Statements of one kind have similar run times.
    std::uint32_t share = 1;  ///< Weight of the lane.
    instant start_deadline;   ///< Refused at once when a start by then is not expected.
    instant give_up;          ///< End of the wait.
    authenticated_caller caller;
};

/// A connection in exclusive use by one statement or transaction.
struct held_connection {
    std::shared_ptr<endpoint_connection> link;
    connection_id id = 0;
};

/// How hosts divide the connections that an endpoint accepts.
struct connection_limits {
    std::uint32_t max_connections = 1;  ///< For all hosts together.
    std::uint32_t hosts = 0;            ///< That share them; 0 if this host keeps none.
    bool by_account = false;            ///< Each connection belongs to one account.
    std::uint32_t weight = 0;           ///< Of this host, with `by_account`.
    std::uint32_t total_weight = 0;     ///< Of all hosts, with `by_account`.
};

/// Permission to run one statement; counts towards the concurrency limit until `finish`.
struct run_slot {
    service_id lane;
    service_id kind;
    duration charged;  ///< Run time that the queue charged at the start.
    instant since;
};

struct acquired_connection {
    held_connection connection;
    run_slot slot;
};

/// This daemon's connections to one endpoint, and the queue of statements that wait for them.
class endpoint_pool : public std::enable_shared_from_this<endpoint_pool> {
public:
    /// `changed` is notified when the endpoint becomes reachable or unreachable.
    endpoint_pool(daemon::worker& home, wait_list& changed, daemon::metrics& counters,
                  listed_endpoint endpoint);

    /// Waits for a connection and a slot to run a statement on it.
    std::variant<acquired_connection, reason> acquire(const work_request& request);
    /// Waits for a slot to run a statement on a connection that the caller already holds.
    std::variant<run_slot, reason> acquire_slot(const work_request& request);
    /// Releases the slot of a statement that has ended.
    void finish(const run_slot& slot);
    /// Returns a connection to the pool. It is closed unless it is `clean`.
    void release_connection(const held_connection& connection, bool clean);

    /// Records a complete answer: the endpoint is reachable, with its log at `point`.
    void on_answer(const std::optional<log_point>& point);
    /// Opens a new connection as a probe when running statements had no answer for long.
    void check_silence();
    /// Opens a new connection as a probe after a statement had no answer.
    void on_answer_missing();

    void update(const listed_endpoint& endpoint, const connection_limits& limits);
    /// Refuses the waiting statements of callers that the configuration no longer admits.
    void refuse_removed_callers(const routing_config& config);
    /// Refuses all statements that wait for a slot or a connection.
    void refuse_waiting();
    /// Stops accepting statements and closes connections as they become idle.
    void retire();
    /// Closes idle connections above this host's share.
    void trim();

    [[nodiscard]] const listed_endpoint& endpoint() const { return m_endpoint; }
    [[nodiscard]] const endpoint_health& health() const { return m_health; }
    [[nodiscard]] bool is_retired() const { return m_retired; }
    /// True while this host has no connection because other hosts use up the endpoint's limit.
    [[nodiscard]] bool is_connection_limit_exhausted() const;
    [[nodiscard]] std::uint32_t running() const { return m_running; }
    [[nodiscard]] std::size_t waiting() const { return m_queue.size(); }
    [[nodiscard]] duration mean_time() const { return m_queue.mean_time(); }
    [[nodiscard]] const std::optional<log_point>& point() const { return m_point; }
    /// When `point` was received.
    [[nodiscard]] instant point_received_at() const { return m_point_received_at; }
    [[nodiscard]] std::uint32_t connections() const { return m_connections.size(); }
    /// Number of statements that this daemon may run concurrently.
    [[nodiscard]] std::uint32_t window() const { return m_limit.allowed(); }

private:
    struct waiter {
        service_id lane;
        service_id kind;
        authenticated_caller caller;
        bool bound = false;  ///< Has a connection already and waits for a slot only.
        std::function<void(boost::system::error_code)> wake;
        std::optional<run_slot> slot;
        std::optional<held_connection> connection;
        std::optional<reason> refused;
    };
    using waiter_ptr = std::shared_ptr<waiter>;
    using waiter_predicate = std::function<bool(const waiter&)>;

    waiter_ptr enqueue_and_wait(const work_request& request, bool bound);
    void dispatch_waiting();
    bool dispatch_next();
    std::optional<admission::dispatched> next_waiting();
    connection_id take_connection(const waiter& turn);
    void drop_unusable_connections();
    bool has_usable_connection(const account_id& account);
    void open_missing_connections();
    void open_connections_of_accounts();
    bool close_idle_connection_for(const account_id& account, std::uint32_t limit);
    void open_new_connection(const account_id& account);
    void discard(connection_id id);
    void connect_to_endpoint(connection_id id);
    void on_opened(connection_id id);
    void on_open_failed(connection_id id, reason why);
    void refuse_unbound_waiters(reason why);
    void refuse_waiters(const waiter_predicate& is_refused, reason why);
    void schedule_retry(instant at);
    void retry();
    [[nodiscard]] std::uint32_t unbound_waiting() const;

    daemon::worker& m_home;
    wait_list& m_changed;
    daemon::metrics& m_counters;
    listed_endpoint m_endpoint;
    connection_share m_share;
    concurrency_limit m_limit;
    admission m_queue;
    connection_pool m_connections;
    account_connections m_accounts;
    bool m_by_account = false;  ///< Each connection belongs to one account.
    std::map<connection_id, std::shared_ptr<endpoint_connection>> m_links;
    std::map<std::uint64_t, waiter_ptr> m_waiters;
    endpoint_health m_health;
    std::optional<log_point> m_point;
    instant m_point_received_at;
    std::uint32_t m_running = 0;
    std::uint64_t m_next_number = 1;
    bool m_retired = false;
    bool m_is_limit_reached = false;  ///< The last new connection exceeded the endpoint's limit.
    bool m_retry_scheduled = false;
    instant m_unanswered_since;  ///< Last answer, or start of work if that is later.
};

}  // namespace jasminelead::proxy
