#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "jasminelead/directory.h"
#include "jasminelead/kernel.h"
#include "platform_model.h"

/// Runs one kernel in virtual time against simulated peers, endpoints and store, to measure a
/// daemon in a fleet of any size without running the other daemons.
namespace jasminelead::support {

/// Size of the host list and the table that the kernel receives.
struct fleet_shape {
    std::size_t hosts = 6;
    std::size_t data_centres = 3;
    std::size_t groups = 3;
    std::size_t endpoints_per_group = 3;
    std::size_t services = 2;
    /// Puts the daemon into a data centre of its own, where it owns only the endpoints below.
    bool has_own_data_centre = false;
    std::size_t owned_replicas = 0;   ///< One in each of the first groups.
    std::size_t owned_primaries = 0;  ///< One in each of the first groups.
    std::size_t self = 0;             ///< Index of the host whose kernel runs.
};

host_list make_fleet(const fleet_shape& shape);
host_id host_name(std::size_t index);
group_id group_name(std::size_t index);

enum class traffic_kind { membership, group_queries, heartbeats, table, totals, statements };
inline constexpr std::size_t traffic_kinds = 6;

struct traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};
struct traffic_totals {
    std::array<traffic, traffic_kinds> sent;
    std::array<traffic, traffic_kinds> received;
    std::uint64_t store_calls = 0;
};

/// CPU time of the kernel and of the peer codec, in ns.
struct processor_time {
    std::uint64_t kernel = 0;
    std::uint64_t codec = 0;
    std::uint64_t ticks = 0;
    std::uint64_t kernel_in_ticks = 0;
};

class idle_daemon {
public:
    /// Encodes and decodes a message as the daemon does; returns the bytes of its frame.
    using codec = std::function<std::size_t(const peer_message&)>;

    idle_daemon(const fleet_shape& shape, codec frame);

    void run_for(duration span);
    /// Passes one event to the kernel at the current virtual time.
    void handle(event input);
    void answer_statements(bool enabled) { m_answers_statements = enabled; }
    /// Resets the traffic and CPU time counters.
    void reset_counts();
    [[nodiscard]] const traffic_totals& counts() const { return m_counts; }
    [[nodiscard]] const processor_time& used() const { return m_used; }
    [[nodiscard]] kernel& core() { return *m_kernel; }
    [[nodiscard]] const directory& fleet() const { return m_fleet; }
    /// Destroys the kernel and frees its memory.
    void stop() { m_kernel.reset(); }

private:
    void simulate_peer_requests();
    void deliver(duration delay, event input);
    void receive(const host_id& from, peer_message message);
    void act(const send_peer& sent);
    void act(const control_call& call);
    void act(const store_call& call);
    void act(const open_connection& open);
    void act(const caller_reply& /*reply*/) {}
    void act(const close_connection& /*close*/) {}
    void act(const run_statement& /*run*/) {}
    void act(const log_state& /*line*/) {}
    void act(const count& /*counter*/) {}
    void act(const drain_finished& /*item*/) {}
    [[nodiscard]] group_report report_of(const host_id& owner, const group_id& group) const;
    [[nodiscard]] endpoint_state& state_of(const endpoint_id& id);

    fleet_shape m_shape;
    codec m_codec;
    host_id m_self;
    host_list m_hosts;
    directory m_fleet;
    platform_model m_store;
    std::map<endpoint_id, endpoint_state> m_states;
    std::unique_ptr<kernel> m_kernel;
    instant m_now = instant::from_ms(1000);
    instant m_next_peer_requests = instant::from_ms(1000);
    std::multimap<instant, event> m_queue;
    std::size_t m_next_peer = 0;
    std::uint64_t m_sequence = 1;
    bool m_answers_statements = false;
    traffic_totals m_counts;
    processor_time m_used;
};

}  // namespace jasminelead::support
