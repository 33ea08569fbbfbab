#pragma once

#include <map>

#include "jasminelead/types.h"

/// Hosts that may use a primary which is being replaced.
namespace jasminelead {

class primary_users {
public:
    /// Call for each host that is registered after the mark, with its present incarnation.
    void add(const host_id& host, incarnation_number incarnation) {
        m_hosts.insert_or_assign(host, incarnation);
    }
    /// True if another process of the host has registered since. It started after the mark and has
    /// never used the primary.
    [[nodiscard]] bool has_restarted(const host_id& host, incarnation_number present) const {
        const auto found = m_hosts.find(host);
        return found != m_hosts.end() && found->second != present;
    }
    [[nodiscard]] const std::map<host_id, incarnation_number>& hosts() const { return m_hosts; }

private:
    std::map<host_id, incarnation_number> m_hosts;
};

}  // namespace jasminelead
