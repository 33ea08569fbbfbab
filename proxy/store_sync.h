#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "daemon/metrics.h"
#include "platform/store_client.h"
#include "proxy/fleet_state.h"
#include "proxy/own_records.h"
#include "proxy/settings.h"

/// Keeps the fleet state in step with the store.
namespace jasminelead::proxy {

/// Two fibers: one watches all keys, the other one confirms the leases of primaries with a read
/// and reloads everything when the watch has missed changes.
class store_sync {
public:
    store_sync(fleet_state& fleet, daemon::metrics& counters, const settings& options);

    void start();
    void stop() { m_stopped = true; }

    /// True after configuration, endpoints and records were loaded.
    [[nodiscard]] bool is_loaded() const { return m_loaded; }
    [[nodiscard]] const std::map<host_id, host_record>& hosts() const { return m_hosts; }
    /// Revision up to which the host has stopped using replaced primaries of the group.
    [[nodiscard]] revision_number stopped(const group_id& group, const host_id& host) const;
    /// True when the hosts that may hold permits are all known.
    [[nodiscard]] bool knows_hosts(instant now) const;
    [[nodiscard]] platform::store_client& store() { return m_store; }
    /// Reads the fleet's records now; true when the store answered.
    bool confirm();
    /// Applies a record that this daemon wrote or read.
    void apply_group(const group_id& group, const group_record& record);

private:
    void run_watch();
    bool watch_once();
    void run_confirm();
    bool load();
    bool load_prefix(std::string_view prefix, std::set<std::string>& seen);
    bool load_config();
    void forget_unseen(const std::set<std::string>& seen);
    void apply(const std::string& key, revision_number revision,
               const std::optional<std::string>& value);
    void apply_config(const std::string& value);
    void apply_endpoint(const std::string& key, const std::optional<std::string>& value);
    void apply_own(const std::string& key, revision_number revision,
                   const std::optional<std::string>& value);
    [[nodiscard]] bool is_own(const std::string& text) const;
    void apply_host(const host_id& host, const std::optional<std::string>& value);
    void apply_stopped(const std::string& key, const std::optional<std::string>& value);
    void run_publish();
    void publish_reachability();
    bool register_host();
    void drop_departed_hosts();
    void wait_for_statements(const group_id& group);
    void create_missing_records();
    void create_record(const group_id& group);
    void acknowledge_changes();
    void acknowledge(const group_id& group, revision_number revision);
    void drop_lapsed_endpoints();
    void note_store(platform::store_fault fault);

    fleet_state& m_fleet;
    daemon::metrics& m_counters;
    host_id m_self;
    host_record m_own_record;
    platform::store_client m_store;
    std::map<host_id, host_record> m_hosts;
    std::map<std::string, revision_number> m_applied;  ///< Revision of each key's last change.
    std::map<endpoint_id, instant> m_lapsed;  ///< Endpoints without an entry, and since when.
    std::map<host_id, instant> m_departed;    ///< Hosts that are no longer registered.
    std::map<std::string, revision_number> m_stopped_use;  ///< By key.
    std::optional<instant> m_first_confirmed;
    std::map<group_id, revision_number> m_acknowledged;
    std::optional<revision_number> m_watched;  ///< Changes up to here were received.
    std::optional<instant> m_behind_since;
    bool m_registered = false;
    bool m_loaded = false;
    bool m_store_lost = false;
    bool m_stopped = false;
};

}  // namespace jasminelead::proxy
