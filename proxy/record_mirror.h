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

namespace jasminelead::proxy {

/// Copy of the store's records. Applies each record to the fleet state unless a newer revision of
/// it is known, and provides changes for peers.
class record_mirror {
public:
    record_mirror(fleet_state& fleet, daemon::metrics& counters);

    /// Ignores a revision that is not above the known one of the key or, for an unknown key, not
    /// above the last complete revision. A change without a value is a deletion.
    void apply(const platform::store_change& change);
    /// Applies a group's record that this daemon wrote, before the watch delivers it.
    void apply_group(const group_id& group, const group_record& record);
    /// Call after all changes up to `revision` were applied. A key that is unknown then was
    /// deleted, so that older entries of it are ignored.
    void advance_complete_up_to(revision_number revision);
    /// Call after a complete listing that began at `revision` and contained the keys `seen` was
    /// applied. Deletes the older records that it did not contain.
    void complete_listing(const std::set<std::string>& seen, revision_number revision);
    /// Removes endpoints and hosts that have had no readable record for the grace time.
    void remove_expired();

    /// Changes after the revision, oldest first.
    [[nodiscard]] std::vector<platform::store_change> changes_since(revision_number since) const;
    /// Highest revision of a record that was applied.
    [[nodiscard]] revision_number revision() const { return m_revision; }

    [[nodiscard]] const std::map<host_id, host_record>& hosts() const { return m_hosts; }
    /// Revision of the key in the store as it is known here; 0 if the store has no such key.
    [[nodiscard]] revision_number stored_revision(const std::string& key) const;
    /// Revision of the host's registration; 0 without one.
    [[nodiscard]] revision_number host_revision(const host_id& host) const;
    [[nodiscard]] const host_liveness& liveness() const { return m_liveness; }
    /// Incremented on each change of `hosts` or their registrations.
    [[nodiscard]] std::uint64_t hosts_version() const { return m_hosts_version; }
    /// Hosts that may confirm leases instead of the store; empty before the first record.
    [[nodiscard]] const std::optional<granter_set>& granters() const { return m_granters; }
    /// Members of the granter sets that the store has lost with an earlier era. Hosts that do not
    /// know of the new era may rely on them as long as on the previous members.
    [[nodiscard]] const std::vector<std::set<host_id>>& lost_granters() const {
        return m_lost_granters;
    }
    /// Time since this host has known the present granters.
    [[nodiscard]] duration granters_known_for(instant now) const { return now - m_granters_since; }
    /// True if every host that could replace a primary asks the granters.
    [[nodiscard]] bool do_all_hosts_ask_granters() const;
    /// True if every known host counts operations of accounts and lends shares of limits.
    [[nodiscard]] bool do_all_hosts_keep_limits() const;
    [[nodiscard]] std::size_t live_count(instant now) const;
    [[nodiscard]] std::size_t registered_count() const;
    /// Longest time for which a known host may use a primary after a confirmation.
    [[nodiscard]] duration longest_lease() const;
    /// Hosts that can serve as gateways or readers.
    [[nodiscard]] std::vector<host_placement> places(instant now) const;
    /// Endpoints that at least one host's record lists as unreachable.
    [[nodiscard]] std::set<endpoint_id> reported_unreachable() const;
    /// Revision of the group's record up to which the host has stopped using the old primary.
    [[nodiscard]] revision_number stopped(const group_id& group, const host_id& host) const;
    void record_stopped_use(const group_id& group, const host_id& host, revision_number revision);

private:
    struct known_record {
        revision_number revision = 0;
        std::optional<std::string> value;
    };
    void dispatch(const std::string& key, revision_number revision,
                  const std::optional<std::string>& value);
    void report_unreadable(std::string_view kind, const std::string& key, std::string_view why);
    void apply_config(const std::string& key, const std::string& value);
    void apply_endpoint(const std::string& key, const std::optional<std::string>& value);
    void apply_alive(const host_id& host, bool is_alive);
    void apply_host(const host_id& host, const std::string& key,
                    const std::optional<std::string>& value);
    void apply_group_text(const group_id& group, const std::string& key, revision_number revision,
                          const std::string& value);
    void apply_granters(revision_number revision, const std::optional<std::string>& value);
    void apply_stopped(const std::string& key, revision_number revision, const std::string& value);
    void raise_stopped_use(const std::string& key, revision_number reported);
    void remove_expired_endpoints(instant now);
    void remove_expired_hosts(instant now);
    void drop_tombstones();

    fleet_state& m_fleet;
    daemon::metrics& m_counters;
    std::map<std::string, known_record> m_items;
    std::set<std::pair<revision_number, std::string>> m_keys_by_revision;
    std::size_t m_tombstones = 0;  ///< Deletions since the last cleanup.
    std::map<host_id, host_record> m_hosts;
    std::uint64_t m_hosts_version = 0;
    host_liveness m_liveness;
    std::optional<granter_set> m_granters;
    std::vector<std::set<host_id>> m_lost_granters;
    instant m_granters_since;
    std::map<endpoint_id, instant> m_unlisted_since;       ///< Endpoints without a readable entry.
    std::map<std::string, revision_number> m_stopped_use;  ///< By key.
    revision_number m_revision = 0;
    revision_number m_complete_up_to = 0;
};

}  // namespace jasminelead::proxy
