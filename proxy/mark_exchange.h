#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "daemon/http_pool.h"
#include "daemon/metrics.h"
#include "jasminelead/mark_demand.h"
#include "proxy/fleet_state.h"
#include "proxy/record_mirror.h"
#include "proxy/wait_list.h"

namespace jasminelead::proxy {

/// Requests marks (known positions in a primary's log) from the other gateways of a group while
/// this host has no connection to the primary.
class mark_exchange {
public:
    mark_exchange(fleet_state& fleet, const record_mirror& mirror, daemon::metrics& counters);

    void start();
    void stop();
    /// Call when a read of the group has no bound and its primary cannot run it at once.
    void want(const group_id& group);
    /// Response to another host's request; empty when the request is malformed.
    std::optional<std::string> answer(std::string_view request) const;

private:
    void run();
    void query_gateways(const std::set<group_id>& groups);
    void query_gateway(const std::string& address, const std::string& request);

    fleet_state& m_fleet;
    const record_mirror& m_mirror;
    daemon::metrics& m_counters;
    daemon::http_pool m_pool;
    wait_list m_group_requested;
    mark_demand m_demand;
    bool m_stopped = false;
};

}  // namespace jasminelead::proxy
