#pragma once

#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "daemon/worker.h"
#include "jasminelead/listed_endpoint.h"
#include "jasminelead/primary_lease.h"
#include "jasminelead/read_bounds.h"
#include "jasminelead/routing_config.h"
#include "proxy/endpoint_pool.h"
#include "proxy/wait_list.h"

namespace jasminelead::proxy {

/// What the daemon knows of configuration, endpoints and primaries. Belongs to one worker.
class fleet_state {
public:
    fleet_state(daemon::worker& home, data_centre_id data_centre);

    config_holder config;
    primary_lease lease;
    /// Notified when the configuration, a primary or an endpoint changed.
    wait_list changed;

    read_bounds& bounds(const group_id& group) { return m_bounds[group]; }
    /// Null for an endpoint that is not listed.
    std::shared_ptr<endpoint_pool> pool(const endpoint_id& endpoint) const;
    /// Endpoints of the group that take new work.
    std::vector<std::shared_ptr<endpoint_pool>> pools(const group_id& group) const;
    [[nodiscard]] const std::map<endpoint_id, std::shared_ptr<endpoint_pool>>& all_pools() const {
        return m_pools;
    }

    void put_endpoint(const listed_endpoint& endpoint);
    void remove_endpoint(const endpoint_id& endpoint);
    /// Applies a new configuration to the endpoints.
    void on_config();
    /// The connections to endpoints are shared by so many hosts.
    void set_hosts(std::size_t hosts);
    /// Ends the use of leaving endpoints that lead no group, or have been leaving for long.
    void retire_leaving(instant now);

    [[nodiscard]] daemon::worker& home() const { return m_home; }
    [[nodiscard]] const data_centre_id& data_centre() const { return m_data_centre; }

private:
    daemon::worker& m_home;
    data_centre_id m_data_centre;
    std::map<endpoint_id, std::shared_ptr<endpoint_pool>> m_pools;
    void update_pool(endpoint_pool& pool, const listed_endpoint& endpoint) const;

    std::uint32_t m_hosts = 1;
    std::map<endpoint_id, instant> m_leaving_since;
    std::map<group_id, read_bounds> m_bounds;
};

}  // namespace jasminelead::proxy
