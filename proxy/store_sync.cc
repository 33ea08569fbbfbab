#include "proxy/store_sync.h"

#include <algorithm>
#include <utility>

#include "jasminelead/fleet_quorum.h"
#include "proxy/event_log.h"
#include "proxy/store_calls.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

using detail::pause;
using detail::to_change;

constexpr duration confirm_interval = 600_ms;
constexpr duration confirm_timeout = 400_ms;
// A watch that lags behind the store's revision for this long triggers a reload.
constexpr duration watch_lag_timeout = 300_ms;
// A confirmation is overdue when it takes longer than both: a slow store still answers.
constexpr duration min_overdue_time = 150_ms;
constexpr double overdue_in_answer_times = 2;
// Older than a confirmation is after a single lost answer of the store.
constexpr duration outage_age = 1500_ms;
// A host that had lost the store has current reachability reports again after this time.
constexpr duration catch_up_time = 1_s;
// A reader normally answers several times within this time.
constexpr duration reader_timeout = 600_ms;

}  // namespace

store_sync::store_sync(fleet_state& fleet, record_mirror& mirror, daemon::metrics& counters,
                       const settings& options)
    : m_fleet{fleet},
      m_mirror{mirror},
      m_counters{counters},
      m_self{options.host},
      m_own_record{options.host,
                   daemon::wall_clock_incarnation(),
                   advertised_peer_address(options),
                   options.data_centre,
                   options.cpu_share,
                   {},
                   fleet.lease.length(),
                   true,
                   true},
      m_store{fleet.home().io(), options.store, counters} {
    m_store.on_new_era([this](store_era era) { on_new_era(era); });
}

void store_sync::start() {
    m_fleet.home().spawn([this] { run_watch(); });
    m_fleet.home().spawn([this] { run_confirm(); });
    m_fleet.home().spawn([this] { run_publish(); });
    m_fleet.home().spawn([this] { run_keep_alive(); });
}

/// The store has returned from an older copy, or this is the first answer. No primary is used from
/// now on until its record was written again in this era.
void store_sync::on_new_era(store_era era) {
    m_era_seen_at = boot_now();
    m_has_seen_earlier_era = m_confirmed_at.has_value();
    m_counters.count("store_eras", m_has_seen_earlier_era ? "restored" : "first");
    log_line{log_class::change, "store_era"}
        .with("era", era)
        .with("before", m_fleet.lease.era())
        .with_revision("complete_up_to", complete_up_to())
        .with("groups", std::uint64_t{m_fleet.lease.records().size()})
        .write();
    m_fleet.lease.advance_era(era);
    m_fleet.changed.notify_all();
}

void store_sync::record_store_status(platform::store_fault fault) {
    const bool lost = fault != platform::store_fault::none;
    if (lost) {
        m_counters.count("store_faults", platform::to_string(fault));
    }
    if (lost == m_store_lost) {
        return;
    }
    m_store_lost = lost;
    log_line{log_class::change, lost ? "store_lost" : "store_regained"}
        .with("reason", platform::to_string(fault))
        .with("confirmed_age_ms", confirmed_age(boot_now()))
        .with("config", m_fleet.config.version())
        .write();
}

void store_sync::run_confirm() {
    while (!m_stopped) {
        const instant started = boot_now();
        if (!m_registered) {
            register_with_lease();
        }
        if (is_confirm_due(boot_now())) {
            confirm();
        }
        m_mirror.remove_expired();
        m_fleet.retire_leaving(boot_now());
        m_fleet.set_hosts(m_mirror.places(boot_now()));
        pause(std::max(started + confirm_interval - boot_now(), detail::store_retry_delay));
    }
}

/// The first listing of all keys is a confirmation, so none is due before it.
bool store_sync::is_confirm_due(instant now) const {
    return m_watched_revision && !is_following(now) && confirmed_age(now) >= confirm_interval / 2;
}

/// A daemon that replaces a primary waits for all hosts that were registered before its mark. A
/// host that registered later learns of the mark from this host, which forwards all changes up to
/// the registration.
bool store_sync::is_host_known(const host_id& host, incarnation_number incarnation) const {
    const auto found = m_mirror.hosts().find(host);
    const bool is_registered = found != m_mirror.hosts().end() &&
                               found->second.incarnation == incarnation &&
                               m_mirror.liveness().is_registered(host);
    return is_host_confirmed(host, incarnation) ||
           (is_registered && m_mirror.host_revision(host) <= complete_up_to());
}

bool store_sync::is_host_confirmed(const host_id& host, incarnation_number incarnation) const {
    const auto found = m_confirmed_hosts.find(host);
    return found != m_confirmed_hosts.end() && found->second == incarnation;
}

bool store_sync::confirm() {
    const instant sent = boot_now();
    m_confirm_sent_at = sent;
    const auto listing = m_store.list(fleet_prefix, "", to_steady(sent + confirm_timeout));
    m_confirm_sent_at.reset();
    if (listing) {
        m_confirm_took = boot_now() - sent;
    }
    record_store_status(listing.fault);
    if (!listing || !listing.value->is_complete) {
        return false;
    }
    if (on_fleet_listed(listing.value->items, sent)) {
        check_watch(listing.value->revision, sent);
    }
    return true;
}

/// The items are a consistent snapshot of the fleet's records, taken after `sent`. False when this
/// host is not registered.
bool store_sync::on_fleet_listed(std::span<const platform::store_item> items, instant sent) {
    m_confirmed_hosts.clear();
    m_confirmed_hosts_version.reset();
    for (const platform::store_item& item : items) {
        m_mirror.apply(to_change(item));
        if (const auto host = decode_host_record(item.key, item.value)) {
            m_confirmed_hosts[host->host] = host->incarnation;
        }
    }
    if (!is_host_confirmed(m_self, m_own_record.incarnation)) {
        // Hosts that do not know this daemon do not wait for it before they replace a primary.
        m_registered = false;
        m_fleet.lease.revoke();
        return false;
    }
    on_confirmed(sent);
    acknowledge_changes();
    return true;
}

void store_sync::on_confirmed(instant sent) {
    if (confirmed_age(sent) > outage_age) {
        m_store_answering_since = boot_now();
    }
    m_confirmed_at = std::max(m_confirmed_at.value_or(sent), sent);
    if (!m_first_confirmed_at) {
        m_first_confirmed_at = boot_now();
    }
    confirm_lease(sent);
}

void store_sync::confirm_lease(instant at) {
    const bool was_current = m_fleet.lease.is_current(boot_now());
    m_fleet.lease.confirm(at);
    if (!was_current && m_fleet.lease.is_current(boot_now())) {
        m_fleet.changed.notify_all();
    }
}

bool store_sync::is_following(instant now) const {
    return m_reader_answered_at && *m_reader_answered_at + reader_timeout > now;
}

void store_sync::on_reader_answer(revision_number revision, instant proven,
                                  std::optional<instant> confirmed) {
    // Without a confirmation the store may refuse the reader, yet still answer this host.
    m_reader_answered_at = confirmed ? std::optional{boot_now()} : std::nullopt;
    m_behind_since.reset();
    advance_watched_revision(revision);
    update_confirmed_hosts();
    if (confirmed) {
        on_confirmed(*confirmed);
    }
    confirm_lease(proven);
    acknowledge_changes();
}

/// The reader has confirmed the hosts in the records that it forwards.
void store_sync::update_confirmed_hosts() {
    if (m_confirmed_hosts_version == m_mirror.hosts_version()) {
        return;
    }
    m_confirmed_hosts_version = m_mirror.hosts_version();
    m_confirmed_hosts.clear();
    for (const auto& [host, record] : m_mirror.hosts()) {
        if (m_mirror.liveness().is_registered(host)) {
            m_confirmed_hosts[host] = record.incarnation;
        }
    }
}

/// Reloads when the watch has missed changes of the store.
void store_sync::check_watch(revision_number store_revision, instant sent) {
    const bool behind = m_watched_revision && *m_watched_revision < store_revision;
    if (!behind) {
        m_behind_since.reset();
    } else if (era_of(*m_watched_revision) != era_of(store_revision)) {
        // The watch does not deliver the changes between the copy and its own position.
        m_counters.count("watch_faults", "new_era");
        m_behind_since.reset();
        load();
    } else if (!m_behind_since) {
        m_behind_since = sent;
    } else if (*m_behind_since + watch_lag_timeout <= sent) {
        m_counters.count("watch_faults", "behind");
        m_behind_since.reset();
        load();
    }
}

bool store_sync::is_store_answering(instant now) const {
    const duration usual = std::max(min_overdue_time, m_confirm_took * overdue_in_answer_times);
    const bool is_overdue = m_confirm_sent_at && *m_confirm_sent_at + usual < now;
    return !m_store_lost && !is_overdue;
}

bool store_sync::can_replace_primaries(instant now) const {
    if (!m_first_confirmed_at || !m_store_answering_since) {
        return false;
    }
    const bool is_steady = *m_store_answering_since + catch_up_time <= now;
    const duration wait = m_was_registered ? m_mirror.longest_lease() : new_host_replacement_delay;
    return is_steady && *m_first_confirmed_at + wait <= now;
}

bool store_sync::knows_removed_hosts(instant now) const {
    const duration wait = max_time_on_grants + m_mirror.longest_lease();
    return m_first_confirmed_at && *m_first_confirmed_at + wait <= now &&
           (!m_era_seen_at || *m_era_seen_at + wait <= now);
}

duration store_sync::confirmed_age(instant now) const {
    return m_confirmed_at ? now - *m_confirmed_at : duration::max();
}

}  // namespace jasminelead::proxy
