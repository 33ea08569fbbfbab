#include "proxy/fleet_state.h"

#include <utility>

#include "daemon/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

// Covers one lost answer of the store and a round of questions to the peers. A daemon that cannot
// be asked delays a failover by this time.
constexpr duration primary_lease_length = 1500_ms;
// A leaving primary serves until it is replaced, but not up to the moment when it ends.
constexpr duration longest_leaving_use = 5_s;

}  // namespace

fleet_state::fleet_state(daemon::worker& home, data_centre_id data_centre)
    : lease{primary_lease_length},
      changed{home.io()},
      m_home{home},
      m_data_centre{std::move(data_centre)} {}

std::shared_ptr<endpoint_pool> fleet_state::pool(const endpoint_id& endpoint) const {
    const auto found = m_pools.find(endpoint);
    return found == m_pools.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<endpoint_pool>> fleet_state::pools(const group_id& group) const {
    std::vector<std::shared_ptr<endpoint_pool>> result;
    for (const auto& [id, pool] : m_pools) {
        if (pool->endpoint().entry.group == group && !pool->is_retired()) {
            result.push_back(pool);
        }
    }
    return result;
}

void fleet_state::put_endpoint(const listed_endpoint& endpoint) {
    const endpoint_id& id = endpoint.entry.id;
    auto& pool = m_pools[id];
    if (pool && pool->endpoint() == endpoint) {
        return;
    }
    // A process that started again, or moved, has none of the old connections.
    const bool is_same_process = pool && pool->endpoint().started_ms == endpoint.started_ms &&
                                 pool->endpoint().entry.address == endpoint.entry.address;
    if (pool && !is_same_process) {
        pool->retire();
        pool = nullptr;
    }
    if (!pool) {
        pool = std::make_shared<endpoint_pool>(m_home, changed, endpoint);
    }
    update_pool(*pool, endpoint);
    if (endpoint.entry.state == member_state::leaving) {
        m_leaving_since.emplace(id, daemon::boot_now());
    } else {
        m_leaving_since.erase(id);
    }
    retire_leaving(daemon::boot_now());
    log_line{log_class::change, "endpoint_listed"}
        .with("endpoint", id)
        .with("group", endpoint.entry.group)
        .with("data_centre", endpoint.entry.data_centre)
        .with("state", endpoint.entry.state == member_state::live ? "live" : "leaving")
        .with("role", endpoint.role == endpoint_role::primary ? "primary" : "replica")
        .write();
    changed.notify_all();
}

void fleet_state::remove_endpoint(const endpoint_id& endpoint) {
    const auto found = m_pools.find(endpoint);
    if (found == m_pools.end()) {
        return;
    }
    found->second->retire();
    m_pools.erase(found);
    m_leaving_since.erase(endpoint);
    log_line{log_class::change, "endpoint_removed"}.with("endpoint", endpoint).write();
    changed.notify_all();
}

void fleet_state::retire_leaving(instant now) {
    for (const auto& [id, since] : m_leaving_since) {
        const auto& pool = m_pools.at(id);
        const group_record* const record = lease.record(pool->endpoint().entry.group);
        const bool leads = record != nullptr && record->primary == id;
        if (!leads || since + longest_leaving_use <= now) {
            pool->retire();
        }
    }
}

void fleet_state::update_pool(endpoint_pool& pool, const listed_endpoint& endpoint) const {
    const listed_endpoint present = endpoint;
    const std::uint32_t limit =
        config.current() ? config.current()->max_connections(present.entry.group) : 1;
    pool.update(present, limit, m_hosts);
}

void fleet_state::set_hosts(std::size_t hosts) {
    m_hosts = static_cast<std::uint32_t>(hosts);
    for (const auto& [id, pool] : m_pools) {
        update_pool(*pool, pool->endpoint());
    }
}

void fleet_state::on_config() {
    for (const auto& [id, pool] : m_pools) {
        update_pool(*pool, pool->endpoint());
    }
    changed.notify_all();
}

}  // namespace jasminelead::proxy
