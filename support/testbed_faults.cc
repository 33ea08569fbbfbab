#include <utility>

#include "testbed_nodes.h"

namespace jasminelead::support {

using namespace literals;

void testbed::crash_host(const host_id& host) {
    stop_kernel(node(host), true);
}

void testbed::lose_power(const host_id& host) {
    stop_kernel(node(host), false);
}

void testbed::stop_kernel(host_node& target, bool connections_closed) {
    const host_id& host = target.entry.id;
    if (!target.core) {
        return;
    }
    for (std::size_t i = 0; i < promise_count; ++i) {
        const auto which = static_cast<promise>(i);
        m_stopped_kernel_violations[std::string{to_string(which)}] +=
            target.core->checks().broken(which);
    }
    target.core.reset();
    target.inbox.clear();
    target.outstanding_calls.clear();
    for (auto& [connection, endpoint] : std::exchange(target.connections, {})) {
        const connection_id key = connection_key(target, target.generation, connection);
        endpoint_node& at = node(endpoint);
        at.clients.erase(key);
        if (connections_closed) {
            at.model->disconnect(key);
            at.running_statements.erase(key);
        }
    }
    ++target.generation;
    for (auto& [request, handler] : std::exchange(target.reply_handlers, {})) {
        schedule(m_sizes.client_latency, [handler = std::move(handler)] { handler(std::nullopt); });
    }
    for (auto& [id, other] : m_hosts) {
        if (id == host || !other->core || other->outstanding_calls[host].empty()) {
            continue;
        }
        other->outstanding_calls[host].clear();
        if (reachable(other->entry.data_centre, target.entry.data_centre)) {
            schedule(1_ms, [this, peer = id, generation = other->generation, host] {
                deliver(peer, generation, peer_failed{host, endpoint_error::reset});
            });
        }
    }
}

void testbed::restart_host(const host_id& host) {
    host_node& target = node(host);
    if (!target.core) {
        start_kernel(target);
    }
}

void testbed::pause_host(const host_id& host) {
    node(host).paused = true;
}

void testbed::resume_host(const host_id& host) {
    host_node& target = node(host);
    if (!target.paused) {
        return;
    }
    target.paused = false;
    for (event& input : std::exchange(target.inbox, {})) {
        if (target.core) {
            process(target, std::move(input));
        }
    }
}

void testbed::crash_endpoint(const endpoint_id& id) {
    endpoint_node& target = node(id);
    target.up = false;
    target.silent = false;
    target.silent_connections.clear();
    target.model->crash();
    target.running_statements.clear();
    report_closed_connections(target);
}

void testbed::restart_endpoint(const endpoint_id& id) {
    node(id).up = true;
}

void testbed::set_endpoint_silent(const endpoint_id& id, bool silent) {
    node(id).silent = silent;
}

void testbed::silence_connections(const endpoint_id& id) {
    endpoint_node& target = node(id);
    for (const auto& [connection, client] : target.clients) {
        target.silent_connections.insert(connection);
    }
}

void testbed::set_endpoint_stalled(const endpoint_id& id, bool stalled) {
    endpoint_node& target = node(id);
    target.stalled = stalled;
    if (!stalled) {
        for (const auto& statement : std::exchange(target.stalled_statements, {})) {
            statement();
        }
    }
}

void testbed::set_replication_stopped(const endpoint_id& id, bool stopped) {
    node(id).replication_stopped = stopped;
}

void testbed::set_partitioned(const data_centre_id& data_centre, bool cut) {
    if (cut) {
        m_partitioned_data_centres.insert(data_centre);
    } else {
        m_partitioned_data_centres.erase(data_centre);
    }
}

void testbed::set_member_state(const endpoint_id& id, member_state state) {
    for (endpoint_entry& entry : m_host_list.endpoints) {
        if (entry.id == id) {
            entry.state = state;
        }
    }
}

void testbed::switchover(const host_id& host, const group_id& group) {
    deliver(host, node(host).generation, switchover_requested{group, {}});
}

void testbed::drain(const host_id& host) {
    deliver(host, node(host).generation, drain_requested{});
}

void testbed::heal() {
    m_partitioned_data_centres.clear();
    m_store_available = true;
    m_store_responses_to_drop = 0;
    for (auto& [id, endpoint] : m_endpoints) {
        endpoint->up = true;
        endpoint->silent = false;
        endpoint->replication_stopped = false;
        set_endpoint_stalled(id, false);
    }
    for (auto& [id, host] : m_hosts) {
        resume_host(id);
        restart_host(id);
    }
}

}  // namespace jasminelead::support
