#include "proxy/fleet_state.h"

#include <algorithm>
#include <utility>

#include "daemon/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

// Long enough for one lost answer of the store and one round of peer requests. An unreachable
// daemon delays a failover by this time.
constexpr duration primary_lease_length = 900_ms;
// A leaving primary serves until it is replaced. The limit stops its use before its process ends.
constexpr duration max_leaving_use = 5_s;
// Share of a replica's connections for a gateway of its data centre, relative to one elsewhere.
constexpr std::uint32_t local_gateway_weight = 3;

}  // namespace

fleet_state::fleet_state(daemon::worker& home, host_placement self, daemon::metrics& counters)
    : lease{primary_lease_length},
      changed{home.io()},
      m_home{home},
      m_counters{counters},
      m_self{std::move(self)},
      m_hosts{m_self} {}

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
    // A restarted or moved process, or one of another service, has none of the old connections.
    const bool is_same_process = pool && pool->endpoint().started_ms == endpoint.started_ms &&
                                 pool->endpoint().entry.address == endpoint.entry.address &&
                                 pool->endpoint().entry.group == endpoint.entry.group;
    // A pool that was retired while the endpoint was leaving is not used again.
    const bool has_returned =
        pool && pool->is_retired() && endpoint.entry.state == member_state::live;
    if (pool && (!is_same_process || has_returned)) {
        pool->retire();
        pool = nullptr;
    }
    if (!pool) {
        pool = std::make_shared<endpoint_pool>(m_home, changed, m_counters, endpoint);
    }
    m_gateways.erase(endpoint.entry.group);
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
        .with("role", to_string(endpoint.role))
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
        if (!leads || since + max_leaving_use <= now) {
            pool->retire();
        }
    }
}

endpoint_capacity fleet_state::capacity(const group_id& group) const {
    endpoint_capacity result;
    result.max_connections = config.current() ? config.current()->max_connections(group) : 1;
    for (const auto& pool : pools(group)) {
        result.slots = std::max(result.slots, pool->endpoint().slots);
    }
    return result;
}

bool fleet_state::uses_accounts() const {
    return config.current() && !config.current()->accounts.empty();
}

caller_check fleet_state::check(const authenticated_caller& caller) const {
    if (caller.identity.account.empty() || !config.current()) {
        return caller_check::admitted;
    }
    if (!config.current()->still_admits(caller)) {
        return caller_check::key_removed;
    }
    return trusts_accounts(daemon::boot_now()) ? caller_check::admitted : caller_check::unconfirmed;
}

bool fleet_state::trusts_accounts(instant now) const {
    return !uses_accounts() || trust.allows(config_age(now));
}

const fleet_state::group_gateways& fleet_state::known_gateways(const group_id& group) {
    const auto known = m_gateways.find(group);
    if (known != m_gateways.end()) {
        return known->second;
    }
    group_gateways gateways;
    gateways.chosen = choose_gateways(group, m_hosts, capacity(group));
    gateways.ordered = order_gateways(group, gateways.chosen, m_self);
    return m_gateways.emplace(group, std::move(gateways)).first->second;
}

std::vector<host_id> fleet_state::gateways(const group_id& group, const account_id& account) {
    const group_gateways& known = known_gateways(group);
    return account.empty()
               ? known.ordered
               : order_gateways_for_account(group, account, known.chosen, m_self.data_centre);
}

bool fleet_state::is_gateway(const group_id& group, const account_id& account) {
    // When this host is a gateway of the group, it comes first, unless the account has another one.
    const auto is_first = [this](const std::vector<host_id>& hosts) {
        return hosts.empty() || hosts.front() == m_self.host;
    };
    return account.empty() ? is_first(known_gateways(group).ordered)
                           : is_first(gateways(group, account));
}

/// Reads run in the data centre of the caller while its replica is recent enough, so that most
/// statements for a replica come from there. Those for a primary come from all hosts.
connection_limits fleet_state::limits_for(const listed_endpoint& endpoint) {
    const group_id& group = endpoint.entry.group;
    connection_limits limits;
    limits.max_connections = config.current() ? config.current()->max_connections(group) : 1;
    const bool keeps_some = is_gateway(group);
    const auto& gateways = known_gateways(group).chosen;
    limits.hosts = keeps_some ? static_cast<std::uint32_t>(gateways.size()) : 0;
    limits.by_account = uses_accounts();
    const auto weight_in = [&](const data_centre_id& data_centre) -> std::uint32_t {
        const bool is_local = data_centre == endpoint.entry.data_centre;
        return endpoint.role == endpoint_role::replica && is_local ? local_gateway_weight : 1;
    };
    for (const host_placement& gateway : gateways) {
        limits.total_weight += weight_in(gateway.data_centre);
    }
    limits.weight = keeps_some ? weight_in(m_self.data_centre) : 0;
    return limits;
}

void fleet_state::update_pool(endpoint_pool& pool, const listed_endpoint& endpoint) {
    const listed_endpoint present = endpoint;
    pool.update(present, limits_for(present));
}

void fleet_state::update_pools() {
    m_gateways.clear();
    for (const auto& [id, pool] : m_pools) {
        update_pool(*pool, pool->endpoint());
    }
}

void fleet_state::set_hosts(std::vector<host_placement> hosts) {
    const bool has_self = std::any_of(hosts.begin(), hosts.end(), [this](const auto& place) {
        return place.host == m_self.host;
    });
    if (!has_self) {
        hosts.push_back(m_self);
    }
    if (hosts != m_hosts) {
        m_hosts = std::move(hosts);
        m_store_readers = choose_store_readers(m_hosts, m_self);
        update_pools();
    }
}

void fleet_state::on_config() {
    update_pools();
    for (const auto& [id, pool] : m_pools) {
        pool->refuse_removed_callers(*config.current());
    }
    changed.notify_all();
}

}  // namespace jasminelead::proxy
