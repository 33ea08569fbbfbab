#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>

#include "daemon/worker.h"
#include "jasminelead/admission.h"
#include "jasminelead/concurrency_limit.h"
#include "jasminelead/connection_pool.h"
#include "jasminelead/connection_share.h"
#include "jasminelead/endpoint_health.h"
#include "jasminelead/listed_endpoint.h"
#include "jasminelead/reason.h"
#include "proxy/endpoint_connection.h"
#include "proxy/wait_list.h"

namespace jasminelead::proxy {

/// A statement that waits for its turn at an endpoint.
struct work_request {
    service_id lane;          ///< Statements of one lane go by deadline, lanes share fairly.
    service_id kind;          ///< Statements of one kind take similar times.
    std::uint32_t share = 1;  ///< Weight of the lane.
    instant start_deadline;   ///< Refused at once when it cannot start by then.
    instant give_up;          ///< End of the wait.
};

/// A connection that one statement or transaction uses.
struct held_connection {
    std::shared_ptr<endpoint_connection> link;
    connection_id id = 0;
};

/// The right to run one statement.
struct run_slot {
    service_id lane;
    service_id kind;
    duration charged;
    instant since;
};

struct acquired_connection {
    held_connection connection;
    run_slot slot;
};

/// The connections of this daemon to one endpoint, and the statements that wait for them.
class endpoint_pool : public std::enable_shared_from_this<endpoint_pool> {
public:
    /// `changed` is notified when the endpoint becomes reachable or unreachable.
    endpoint_pool(daemon::worker& home, wait_list& changed, listed_endpoint endpoint);

    /// Waits for a connection and the right to run a statement on it.
    std::variant<acquired_connection, reason> acquire(const work_request& request);
    /// Waits for the right to run a statement on a connection that the caller holds.
    std::variant<run_slot, reason> acquire_slot(const work_request& request);
    /// The statement has ended.
    void finish(const run_slot& slot);
    /// Ends the use of a connection. Unless it is `clean`, it is closed.
    void release_connection(const held_connection& connection, bool clean);

    /// A complete answer arrived.
    void on_answer(const std::optional<log_point>& point);
    /// Tries a new connection when running statements have had no answer for long.
    void check_silence();
    /// An answer did not come; a new connection shows whether the endpoint is there.
    void on_answer_missing();

    /// `hosts` share the endpoint's connections.
    void update(const listed_endpoint& endpoint, std::uint32_t max_connections,
                std::uint32_t hosts);
    /// Takes no new work, and closes its connections as they become idle.
    void retire();
    /// Closes surplus idle connections.
    void trim();

    [[nodiscard]] const listed_endpoint& endpoint() const { return m_endpoint; }
    [[nodiscard]] const endpoint_health& health() const { return m_health; }
    [[nodiscard]] bool is_retired() const { return m_retired; }
    /// True while this host has no connection, because others fill the endpoint's limit.
    [[nodiscard]] bool is_connection_limit_exhausted() const;
    [[nodiscard]] std::uint32_t running() const { return m_running; }
    [[nodiscard]] std::size_t waiting() const { return m_queue.size(); }
    [[nodiscard]] duration mean_time() const { return m_queue.mean_time(); }
    [[nodiscard]] const std::optional<log_point>& point() const { return m_point; }
    /// When `point` was received.
    [[nodiscard]] instant point_received_at() const { return m_point_received_at; }
    [[nodiscard]] std::uint32_t connections() const { return m_connections.size(); }
    /// Statements that may run at once from this daemon.
    [[nodiscard]] std::uint32_t window() const { return m_limit.allowed(); }

private:
    struct waiter {
        service_id lane;
        service_id kind;
        bool bound = false;
        std::function<void(boost::system::error_code)> wake;
        std::optional<run_slot> slot;
        std::optional<held_connection> connection;
        std::optional<reason> refused;
    };
    using waiter_ptr = std::shared_ptr<waiter>;

    waiter_ptr enqueue_and_wait(const work_request& request, bool bound);
    void dispatch_waiting();
    bool dispatch_next();
    connection_id take_usable_connection();
    void open_missing_connections();
    void open_new_connection();
    void connect_to_endpoint(connection_id id);
    void on_opened(connection_id id);
    void on_open_failed(connection_id id, reason why);
    void refuse_unbound_waiters(reason why);
    void schedule_retry(instant at);
    void retry();
    [[nodiscard]] std::uint32_t unbound_waiting() const;

    daemon::worker& m_home;
    wait_list& m_changed;
    listed_endpoint m_endpoint;
    connection_share m_share;
    concurrency_limit m_limit;
    admission m_queue;
    connection_pool m_connections;
    std::map<connection_id, std::shared_ptr<endpoint_connection>> m_links;
    std::map<std::uint64_t, waiter_ptr> m_waiters;
    endpoint_health m_health;
    std::optional<log_point> m_point;
    instant m_point_received_at;
    std::uint32_t m_running = 0;
    std::uint64_t m_next_number = 1;
    bool m_retired = false;
    bool m_is_limit_reached = false;  ///< The last new connection was over the endpoint's limit.
    bool m_retry_scheduled = false;
    instant m_unanswered_since;  ///< Last answer, or begin of the oldest work without one.
};

}  // namespace jasminelead::proxy
