#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "daemon/metrics.h"
#include "jasminelead/host_liveness.h"
#include "platform/store_client.h"
#include "proxy/fleet_state.h"
#include "proxy/own_records.h"

/// The store's records as this daemon knows them.
namespace jasminelead::proxy {

/// Applies records to the fleet state, newest revision first come, and hands them on to peers.
class record_mirror {
public:
    record_mirror(fleet_state& fleet, daemon::metrics& counters);

    /// Ignores a revision that is not above the known one of the key, or that an unknown key had
    /// before the last complete listing. No value: deleted.
    void apply(const platform::store_change& change);
    /// Applies a record of the fleet that this daemon wrote.
    void apply_group(const group_id& group, const group_record& record);
    /// All changes up to `revision` were applied. An older entry of an unknown key was deleted.
    void advance_complete_up_to(revision_number revision);
    /// A complete listing that began at `revision` was applied, with the keys `seen`. Records that
    /// it lacks are deleted.
    void complete_listing(const std::set<std::string>& seen, revision_number revision);
    /// Ends the use of endpoints and hosts whose records went away long enough ago.
    void remove_expired();

    /// Changes above the revision, oldest first.
    [[nodiscard]] std::vector<platform::store_change> changes_since(revision_number since) const;
    /// Highest revision of a record that was applied.
    [[nodiscard]] revision_number revision() const { return m_revision; }

    [[nodiscard]] const std::map<host_id, host_record>& hosts() const { return m_hosts; }
    /// Revision of the host's registration; 0 without one.
    [[nodiscard]] revision_number host_revision(const host_id& host) const;
    [[nodiscard]] const host_liveness& liveness() const { return m_liveness; }
    /// Grows with each change of `hosts` and of their registrations.
    [[nodiscard]] std::uint64_t hosts_version() const { return m_hosts_version; }
    [[nodiscard]] std::size_t live_count(instant now) const;
    /// Registered hosts that can take work from others.
    [[nodiscard]] std::vector<host_placement> places(instant now) const;
    /// Endpoints that some host cannot reach, as the registrations say.
    [[nodiscard]] std::set<endpoint_id> reported_unreachable() const;
    /// Revision up to which the host has stopped using replaced primaries of the group.
    [[nodiscard]] revision_number stopped(const group_id& group, const host_id& host) const;
    void record_stopped_use(const group_id& group, const host_id& host, revision_number revision);

private:
    struct known_record {
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
    void remove_expired_endpoints(instant now);
    void remove_expired_hosts(instant now);
    void drop_tombstones();

    fleet_state& m_fleet;
    daemon::metrics& m_counters;
    std::map<std::string, known_record> m_items;
    std::set<std::pair<revision_number, std::string>> m_keys_by_revision;
    std::size_t m_tombstones = 0;  ///< Since old ones were dropped.
    std::map<host_id, host_record> m_hosts;
    std::uint64_t m_hosts_version = 0;
    host_liveness m_liveness;
    std::map<endpoint_id, instant> m_unlisted_since;       ///< Endpoints without an entry.
    std::map<std::string, revision_number> m_stopped_use;  ///< By key.
    revision_number m_revision = 0;
    revision_number m_complete_up_to = 0;
};

}  // namespace jasminelead::proxy
