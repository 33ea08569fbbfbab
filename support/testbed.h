#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "endpoint_model.h"
#include "jasminelead/kernel.h"
#include "jasminelead/table_edit.h"
#include "platform_model.h"

/// Deterministic simulation of several kernels, model endpoints and a model platform that are
/// connected by a simulated network in virtual time. The same seed and calls give the same run.
namespace jasminelead::support {

/// Size, limits and latencies of an installation.
struct deployment {
    std::string name;
    duration data_centre_latency;  ///< One way.
    duration client_latency;       ///< One way.
    std::size_t groups = 3;
    std::size_t daemons = 6;
    endpoint_limits limits;
    duration connect_time;
    duration service_time;  ///< Mean execution time of a statement on an endpoint.
};
deployment cascadia();
deployment cooperative();

struct testbed_options {
    std::uint64_t seed = 1;
    std::string routing_policy = "default";
    std::string failover_policy = "default";
    mechanisms enabled;
    bool strict = true;
};

class testbed {
public:
    using reply_handler = std::function<void(const std::optional<caller_reply>&)>;

    testbed(deployment sizes, testbed_options options);
    ~testbed();
    testbed(const testbed&) = delete;
    testbed& operator=(const testbed&) = delete;

    [[nodiscard]] instant now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }
    [[nodiscard]] const deployment& sizes() const { return m_sizes; }
    void run_until(instant end);
    void run_for(duration span) { run_until(m_now + span); }
    void schedule(duration delay, std::function<void()> step);

    // Topology. The order of hosts and groups is fixed.
    [[nodiscard]] const std::vector<host_id>& hosts() const { return m_host_names; }
    [[nodiscard]] const std::vector<group_id>& groups() const { return m_group_names; }
    [[nodiscard]] std::vector<endpoint_id> endpoints_of(const group_id& group) const;
    [[nodiscard]] data_centre_id data_centre(std::size_t index) const;
    [[nodiscard]] const endpoint_model& endpoint(const endpoint_id& id) const;
    /// The endpoint with the primary role at the highest term; empty when the group has none.
    [[nodiscard]] endpoint_id primary_of(const group_id& group) const;
    [[nodiscard]] bool is_up(const host_id& host) const;
    [[nodiscard]] kernel* kernel_of(const host_id& host);
    platform_model& store() { return m_store; }
    /// Applies an operator's edit to the store immediately.
    edit_outcome edit_table(std::vector<cell_edit> edits);

    /// Sends a caller's request. The handler receives nullopt when the daemon is down, drained or
    /// stops before it replies.
    void submit(const host_id& host, caller_request request, reply_handler handler);
    void switchover(const host_id& host, const group_id& group);
    void drain(const host_id& host);

    // Faults.
    void crash_host(const host_id& host);
    /// Like crash_host(), but endpoints keep the connections of the host open.
    void lose_power(const host_id& host);
    void restart_host(const host_id& host);
    void pause_host(const host_id& host);
    void resume_host(const host_id& host);
    void crash_endpoint(const endpoint_id& id);
    void restart_endpoint(const endpoint_id& id);
    void set_endpoint_silent(const endpoint_id& id, bool silent);
    /// A stalled endpoint accepts statements and runs them when the stall ends.
    void set_endpoint_stalled(const endpoint_id& id, bool stalled);
    /// Connections that are open now stop responding; new ones work.
    void silence_connections(const endpoint_id& id);
    void set_replication_stopped(const endpoint_id& id, bool stopped);
    void set_partitioned(const data_centre_id& data_centre, bool cut);
    void set_store_available(bool available) { m_store_available = available; }
    /// Drops the next `answers` store responses after the store has applied the requests.
    void lose_store_answers(std::size_t answers) { m_store_responses_to_drop = answers; }
    void set_member_state(const endpoint_id& id, member_state state);
    void heal();

    // Observations of the run, independent of the kernels.
    [[nodiscard]] const std::map<std::string, int>& executed() const { return m_executed; }
    [[nodiscard]] std::uint64_t store_calls() const { return m_store_calls; }
    [[nodiscard]] std::uint64_t control_bytes() const { return m_control_bytes; }
    [[nodiscard]] const std::map<std::string, std::uint64_t>& counters() const {
        return m_counters;
    }
    [[nodiscard]] std::uint64_t invariant_violations() const;
    [[nodiscard]] std::map<std::string, std::uint64_t> violations_by_invariant() const;
    [[nodiscard]] bool drained(const host_id& host) const;
    /// True when an endpoint ever ran more statements than its slots or had more connections than
    /// its limit.
    [[nodiscard]] bool has_exceeded_limits() const;

private:
    struct host_node;
    struct endpoint_node;
    struct scheduled {
        instant at;
        std::uint64_t order = 0;
        std::function<void()> step;
        bool operator>(const scheduled& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void build_fleet();
    void write_initial_table();
    void start_kernel(host_node& host);
    void stop_kernel(host_node& host, bool connections_closed);
    host_node& node(const host_id& host) { return *m_hosts.at(host); }
    endpoint_node& node(const endpoint_id& id) { return *m_endpoints.at(id); }
    void deliver(const host_id& host, std::uint64_t generation, event input);
    void process(host_node& host, event input);
    void schedule_wakeup(host_node& host);
    void poll_hosts(const host_id& host, std::uint64_t generation);
    void perform_action(host_node& host, action item);
    void act(host_node& from, caller_reply reply);
    void act(host_node& from, send_peer message);
    void act(host_node& from, const open_connection& open);
    void act(host_node& from, const close_connection& close);
    void act(host_node& from, run_statement run);
    void act(host_node& from, const control_call& call);
    void act(host_node& from, const store_call& call);
    void act(host_node& from, const count& counter);
    void act(host_node& /*from*/, const log_state& /*line*/) {}
    void act(host_node& from, const drain_finished& /*item*/);
    void start_statement(const host_id& from, std::uint64_t generation, run_statement run);
    void finish_statement(const host_id& from, std::uint64_t generation, const run_statement& run);
    [[nodiscard]] static connection_id connection_key(const host_node& client,
                                                      std::uint64_t generation,
                                                      connection_id connection);
    void report_closed_connections(endpoint_node& target);
    void report_peer_failure(host_node& from, const host_id& to, endpoint_error error,
                             std::optional<call_id> unsent);
    void schedule_link_timeout(const host_id& from, const host_id& to);
    void replicate(const endpoint_id& id);
    [[nodiscard]] duration latency(const data_centre_id& a, const data_centre_id& b);
    [[nodiscard]] bool reachable(const data_centre_id& a, const data_centre_id& b) const;
    [[nodiscard]] std::optional<instant> arrival(const std::string& link, duration delay);

    deployment m_sizes;
    testbed_options m_options;
    std::mt19937_64 m_random;
    instant m_now = instant::from_ms(1000);
    std::uint64_t m_next_order = 0;
    std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>> m_queue;
    std::vector<host_id> m_host_names;
    std::vector<group_id> m_group_names;
    std::map<host_id, std::unique_ptr<host_node>> m_hosts;
    std::map<endpoint_id, std::unique_ptr<endpoint_node>> m_endpoints;
    std::map<std::string, instant> m_last_arrival;
    host_list m_host_list;
    platform_model m_store;
    bool m_store_available = true;
    std::size_t m_store_responses_to_drop = 0;
    std::set<data_centre_id> m_partitioned_data_centres;
    request_id m_next_request = 1;
    std::map<std::string, int> m_executed;
    std::uint64_t m_edits = 0;
    std::uint64_t m_store_calls = 0;
    std::uint64_t m_control_bytes = 0;
    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, std::uint64_t> m_stopped_kernel_violations;
};

}  // namespace jasminelead::support
