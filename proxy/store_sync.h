#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

#include "daemon/metrics.h"
#include "platform/store_client.h"
#include "proxy/fleet_state.h"
#include "proxy/own_records.h"
#include "proxy/record_mirror.h"
#include "proxy/settings.h"

namespace jasminelead::proxy {

/// Keeps the record mirror in sync with the store. Runs four fibers: one watches all keys; one
/// confirms the leases of primaries with a read and reloads everything when the watch has missed
/// changes; one publishes which endpoints this host cannot reach; one renews this host's lease.
class store_sync {
public:
    store_sync(fleet_state& fleet, record_mirror& mirror, daemon::metrics& counters,
               const settings& options);

    void start();
    void stop() {
        m_stopped = true;
        m_store.close();
    }

    [[nodiscard]] platform::store_client& store() { return m_store; }
    [[nodiscard]] record_mirror& records() { return m_mirror; }
    [[nodiscard]] const host_record& own_record() const { return m_own_record; }
    /// Revision of this host's record, also while the watch has not delivered it yet.
    [[nodiscard]] revision_number own_revision() const {
        return std::max(m_own_revision, m_mirror.host_revision(m_self));
    }
    /// False while a confirmation is not answered for longer than usual, or after the last one
    /// failed.
    [[nodiscard]] bool is_store_answering(instant now) const;
    /// Reads the fleet's records from the store. False when they were not read completely.
    bool confirm();
    /// True when all hosts that may use primaries are known and know this one, and their
    /// reachability reports are up to date.
    [[nodiscard]] bool can_replace_primaries(instant now) const;
    /// True once every host has stopped using primaries that was removed before this one started or
    /// that the store has lost with an earlier era.
    [[nodiscard]] bool knows_removed_hosts(instant now) const;
    /// True if this process has read records of an earlier era of the store.
    [[nodiscard]] bool has_seen_earlier_era() const { return m_has_seen_earlier_era; }
    /// Time since the store last confirmed the records that are known here.
    [[nodiscard]] duration confirmed_age(instant now) const;
    /// True when this incarnation of the host is registered, and all changes up to its registration
    /// are known here.
    [[nodiscard]] bool is_host_known(const host_id& host, incarnation_number incarnation) const;
    /// True once this host is registered and knows all records, so that it can follow a reader.
    [[nodiscard]] bool can_follow_reader() const {
        return m_registered && m_watched_revision && m_confirmed_at;
    }
    /// True while a reader forwards the records, so that this host does not query the store.
    [[nodiscard]] bool is_following(instant now) const;
    /// All changes up to this revision are known; 0 before the first complete listing.
    [[nodiscard]] revision_number complete_up_to() const { return m_watched_revision.value_or(0); }
    /// Called when a reader has forwarded all changes up to `revision`. Its lease was confirmed at
    /// `proven`, and the store last confirmed its records at `confirmed`.
    void on_reader_answer(revision_number revision, instant proven,
                          std::optional<instant> confirmed);
    /// Revision of the record up to which this host has stopped using the old primary, by group.
    [[nodiscard]] const std::map<group_id, revision_number>& stopped_use() const {
        return m_stopped_use;
    }
    /// Confirms the lease of primaries: the known records were valid at some time after `at`.
    void confirm_lease(instant at);
    /// Tells the other hosts that this one finishes none of its replacements, so that they need not
    /// wait for it.
    void announce_unfinished_replacements();
    /// Stops using primaries that are being replaced and acknowledges this in the store.
    void acknowledge_changes();

private:
    void on_new_era(store_era era);
    void run_watch();
    bool watch_once();
    void run_confirm();
    bool on_fleet_listed(std::span<const platform::store_item> items, instant sent);
    bool load();
    bool load_following_pages(revision_number first, std::string last, std::set<std::string>& seen);
    void apply_page(const platform::store_listing& page, std::set<std::string>& seen);
    void on_confirmed(instant sent);
    void check_watch(revision_number store_revision, instant sent);
    void advance_watched_revision(revision_number revision);
    void update_confirmed_hosts();
    void run_keep_alive();
    bool keep_alive();
    void run_publish();
    void publish_reachability();
    [[nodiscard]] bool is_host_confirmed(const host_id& host, incarnation_number incarnation) const;
    [[nodiscard]] bool is_confirm_due(instant now) const;
    void register_with_lease();
    /// Writes the host's record, and `also` in the same transaction.
    bool register_host(const std::optional<platform::key_update>& also = std::nullopt);
    void detect_earlier_registration();
    void create_missing_records();
    void create_record(const group_id& group);
    void drain_statements(const group_id& group);
    void acknowledge(const group_id& group, revision_number revision);
    void record_store_status(platform::store_fault fault);

    fleet_state& m_fleet;
    record_mirror& m_mirror;
    daemon::metrics& m_counters;
    host_id m_self;
    host_record m_own_record;
    revision_number m_own_revision = 0;  ///< As this process wrote it last.
    platform::store_client m_store;
    std::map<group_id, revision_number> m_acknowledged;
    std::map<group_id, revision_number> m_stopped_use;
    std::optional<revision_number> m_watched_revision;  ///< All changes up to here were received.
    std::optional<instant> m_reader_answered_at;  ///< When a reader last sent confirmed records.
    std::optional<instant> m_behind_since;
    std::optional<instant> m_first_confirmed_at;
    std::optional<instant> m_store_answering_since;  ///< End of the last outage.
    std::optional<instant> m_era_seen_at;            ///< First answer of the present era.
    bool m_has_seen_earlier_era = false;
    bool m_was_registered = false;  ///< By an earlier process of this host.
    std::optional<instant> m_confirmed_at;
    std::optional<instant> m_confirm_sent_at;  ///< Of a confirmation that is not answered yet.
    duration m_confirm_took;                   ///< Answer time of the last confirmation.
    std::map<host_id, incarnation_number> m_confirmed_hosts;
    /// Version of the mirror's hosts copied into `m_confirmed_hosts`; empty after a listing.
    std::optional<std::uint64_t> m_confirmed_hosts_version;
    platform::lease_id m_keep_alive_lease = platform::no_lease;
    store_era m_keep_alive_era = 0;  ///< Era in which the lease was granted.
    bool m_registered = false;
    bool m_store_lost = false;
    bool m_stopped = false;
};

}  // namespace jasminelead::proxy
