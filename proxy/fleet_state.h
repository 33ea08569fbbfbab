#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "daemon/metrics.h"
#include "daemon/worker.h"
#include "jasminelead/gateway.h"
#include "jasminelead/listed_endpoint.h"
#include "jasminelead/primary_lease.h"
#include "jasminelead/read_bounds.h"
#include "jasminelead/routing_config.h"
#include "jasminelead/store_reader.h"
#include "proxy/endpoint_pool.h"
#include "proxy/wait_list.h"

namespace jasminelead::proxy {

/// Whether a host may serve a caller.
enum class caller_check {
    admitted,
    key_removed,
    unconfirmed,  ///< The host's copy of the accounts may be out of date.
};

/// Configuration, endpoint pools, primaries and gateways known to the daemon. Used on one worker
/// thread only.
class fleet_state {
public:
    fleet_state(daemon::worker& home, host_placement self, daemon::metrics& counters);

    config_holder config;
    primary_lease lease;
    /// Notified when the configuration, a primary or an endpoint changes.
    wait_list changed;
    key_trust trust;
    /// Time since the store last confirmed the configuration that is known here.
    std::function<duration(instant)> config_age = [](instant) { return duration{}; };

    /// Checks a caller that was authenticated before, here or on another host.
    [[nodiscard]] caller_check check(const authenticated_caller& caller) const;
    /// False when callers with keys are refused because the accounts may be out of date.
    [[nodiscard]] bool trusts_accounts(instant now) const;

    read_bounds& bounds(const group_id& group) { return m_bounds[group]; }
    /// Null for an endpoint that is not listed.
    std::shared_ptr<endpoint_pool> pool(const endpoint_id& endpoint) const;
    /// Pools of the group's endpoints that are not retired.
    std::vector<std::shared_ptr<endpoint_pool>> pools(const group_id& group) const;
    [[nodiscard]] const std::map<endpoint_id, std::shared_ptr<endpoint_pool>>& all_pools() const {
        return m_pools;
    }

    void put_endpoint(const listed_endpoint& endpoint);
    void remove_endpoint(const endpoint_id& endpoint);
    /// Applies a new configuration to the endpoints.
    void on_config();
    /// Sets the hosts from which the gateways of groups are chosen.
    void set_hosts(std::vector<host_placement> hosts);
    /// Gateways of the group in the order in which this host tries them for the account.
    std::vector<host_id> gateways(const group_id& group, const account_id& account = account_id{});
    /// Hosts that read the store for this one; empty when it reads the store itself.
    [[nodiscard]] const std::vector<host_id>& store_readers() const { return m_store_readers; }
    /// All hosts that read the store.
    [[nodiscard]] std::vector<host_id> all_readers() const { return all_store_readers(m_hosts); }
    /// True when this host sends the account's statements to the group's endpoints itself.
    bool is_gateway(const group_id& group, const account_id& account = account_id{});
    /// Retires the pools of leaving endpoints that are not a primary or have been leaving for too
    /// long.
    void retire_leaving(instant now);

    [[nodiscard]] daemon::worker& home() const { return m_home; }
    [[nodiscard]] const data_centre_id& data_centre() const { return m_self.data_centre; }
    [[nodiscard]] const host_id& host() const { return m_self.host; }

private:
    struct group_gateways {
        std::vector<host_placement> chosen;
        std::vector<host_id> ordered;  ///< As this host tries them when connections are shared.
    };

    void update_pool(endpoint_pool& pool, const listed_endpoint& endpoint);
    [[nodiscard]] connection_limits limits_for(const listed_endpoint& endpoint);
    [[nodiscard]] bool uses_accounts() const;
    const group_gateways& known_gateways(const group_id& group);
    void update_pools();
    [[nodiscard]] endpoint_capacity capacity(const group_id& group) const;

    daemon::worker& m_home;
    daemon::metrics& m_counters;
    host_placement m_self;
    std::map<endpoint_id, std::shared_ptr<endpoint_pool>> m_pools;
    std::vector<host_placement> m_hosts;
    std::vector<host_id> m_store_readers;
    std::map<group_id, group_gateways> m_gateways;  ///< Cached on first use.
    std::map<endpoint_id, instant> m_leaving_since;
    std::map<group_id, read_bounds> m_bounds;
};

}  // namespace jasminelead::proxy
