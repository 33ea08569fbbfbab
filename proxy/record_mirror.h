#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/metrics.h"
#include "platform/store_client.h"
#include "proxy/fleet_state.h"
#include "proxy/own_records.h"

/// The store's records as this daemon knows them.
namespace jasminelead::proxy {

/// Applies records to the fleet state, newest revision first come, and hands them on to peers.
class record_mirror {
public:
    record_mirror(fleet_state& fleet, daemon::metrics& counters);

    /// Ignores a revision that is not above the known one of the key. No value: deleted.
    void apply(const platform::store_change& change);
    /// Applies a record of the fleet that this daemon wrote.
    void apply_group(const group_id& group, const group_record& record);
    /// Deletes the records that are not in a complete listing.
    void forget_unseen(const std::set<std::string>& seen);
    /// Ends the use of endpoints and hosts whose records went away long enough ago.
    void drop_departed();

    /// Changes above the revision, oldest first, without those of other kinds of keys.
    [[nodiscard]] std::vector<platform::store_change> changes_since(revision_number since) const;
    /// Highest revision of a record that was applied.
    [[nodiscard]] revision_number revision() const { return m_revision; }

    [[nodiscard]] const std::map<host_id, host_record>& hosts() const { return m_hosts; }
    /// Revision of the host's registration; 0 without one.
    [[nodiscard]] revision_number host_revision(const host_id& host) const;
    /// False for a host whose registration was removed a moment ago.
    [[nodiscard]] bool is_registered(const host_id& host) const {
        return m_hosts.contains(host) && !m_departed.contains(host);
    }
    /// Registered hosts that renew their lease, or stopped only a moment ago.
    [[nodiscard]] std::set<host_id> live_hosts(instant now) const;
    /// Live hosts whose view of the endpoints counts: they have renewed their lease for a while.
    [[nodiscard]] std::set<host_id> voting_hosts(instant now) const;
    /// Registered hosts that can take work from others.
    [[nodiscard]] std::vector<host_place> places(instant now) const;
    /// Revision up to which the host has stopped using replaced primaries of the group.
    [[nodiscard]] revision_number stopped(const group_id& group, const host_id& host) const;
    void note_stopped(const group_id& group, const host_id& host, revision_number revision);

private:
    struct known_item {
        revision_number revision = 0;
        std::optional<std::string> value;
    };
    void dispatch(const std::string& key, revision_number revision,
                  const std::optional<std::string>& value);
    void apply_config(const std::string& value);
    void apply_endpoint(const std::string& key, const std::optional<std::string>& value);
    void apply_alive(const host_id& host, bool is_alive);
    void apply_host(const host_id& host, const std::optional<std::string>& value);
    void apply_stopped(const std::string& key, const std::optional<std::string>& value);
    void drop_lapsed_endpoints(instant now);
    void drop_departed_hosts(instant now);
    void drop_old_deletions();

    fleet_state& m_fleet;
    daemon::metrics& m_counters;
    std::map<std::string, known_item> m_items;
    std::map<host_id, host_record> m_hosts;
    std::map<host_id, instant> m_host_written;          ///< When its record last changed.
    std::map<host_id, std::optional<instant>> m_alive;  ///< With the end of the lease.
    std::map<host_id, instant> m_alive_since;
    std::map<host_id, instant> m_departed;                 ///< Hosts that are no longer registered.
    std::map<endpoint_id, instant> m_lapsed;               ///< Endpoints without an entry.
    std::map<std::string, revision_number> m_stopped_use;  ///< By key.
    revision_number m_revision = 0;
};

}  // namespace jasminelead::proxy
