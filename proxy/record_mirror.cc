#include "proxy/record_mirror.h"

#include <algorithm>

#include "platform/records.h"
#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

// Entries that expired during a store outage are written again within about 2 s. An entry that
// another writer has overwritten gets the same time to be written again.
constexpr duration unlisted_endpoint_grace = 2500_ms;
// Deletions are kept for peers that could not reach the store for some time.
constexpr std::size_t max_tombstones = 1000;
// Reasons why a record of the hosts cannot be used.
constexpr std::string_view malformed = "malformed";
constexpr std::string_view deleted = "deleted";

}  // namespace

record_mirror::record_mirror(fleet_state& fleet, daemon::metrics& counters)
    : m_fleet{fleet}, m_counters{counters} {}

void record_mirror::apply(const platform::store_change& change) {
    const auto found = m_items.find(change.key);
    const revision_number newest =
        found == m_items.end() ? m_complete_up_to : found->second.revision;
    if (change.revision <= newest) {
        return;
    }
    known_record& known = m_items[change.key];
    m_keys_by_revision.erase({known.revision, change.key});
    known = {change.revision, change.value};
    m_keys_by_revision.insert({known.revision, change.key});
    m_tombstones += change.value ? 0 : 1;
    m_revision = std::max(m_revision, change.revision);
    dispatch(change.key, change.revision, change.value);
    drop_tombstones();
}

void record_mirror::drop_tombstones() {
    if (m_tombstones <= max_tombstones) {
        return;
    }
    m_tombstones = 0;
    std::erase_if(m_items, [this](const auto& item) {
        const bool is_deleted = !item.second.value;
        if (is_deleted) {
            m_keys_by_revision.erase({item.second.revision, item.first});
        }
        return is_deleted;
    });
}

void record_mirror::dispatch(const std::string& key, revision_number revision,
                             const std::optional<std::string>& value) {
    if (key == platform::config_key) {
        if (value) {
            apply_config(key, *value);
        }
    } else if (key.starts_with(platform::endpoint_prefix)) {
        apply_endpoint(key, value);
    } else if (key == granters_key()) {
        apply_granters(revision, value);
    } else if (const auto host = host_of_key(key)) {
        apply_host(*host, key, value);
    } else if (const auto group = group_of_key(key)) {
        if (value) {
            apply_group_text(*group, key, revision, *value);
        }
    } else if (const auto alive = host_of_alive_key(key)) {
        apply_alive(*alive, value.has_value());
    } else if (is_stopped_use_key(key) && value) {
        apply_stopped(key, revision, *value);
    }
}

/// Each revision of a key is dispatched once, so that an odd record gives one line.
void record_mirror::report_unreadable(std::string_view kind, const std::string& key,
                                      std::string_view why) {
    m_counters.count("unreadable_records", kind);
    m_counters.count("unreadable_record_faults", why);
    log_line{log_class::change, std::string{kind} + "_unreadable"}
        .with("key", key)
        .with("reason", why)
        .write();
}

std::vector<platform::store_change> record_mirror::changes_since(revision_number since) const {
    std::vector<platform::store_change> changes;
    for (auto at = m_keys_by_revision.lower_bound({since + 1, {}}); at != m_keys_by_revision.end();
         ++at) {
        const known_record& item = m_items.at(at->second);
        changes.push_back({at->second, item.revision, item.value});
    }
    return changes;
}

void record_mirror::advance_complete_up_to(revision_number revision) {
    m_complete_up_to = std::max(m_complete_up_to, revision);
}

/// A listing does not contain the revisions of deletions. Recording a deletion with the listing's
/// revision also forwards it to hosts that know all changes up to shortly before the listing.
void record_mirror::complete_listing(const std::set<std::string>& seen, revision_number revision) {
    std::vector<std::string> removed;
    for (const auto& [key, item] : m_items) {
        const bool is_listed_kind =
            key.starts_with(platform::endpoint_prefix) || key.starts_with(daemon_prefix);
        const bool is_older = item.revision < revision;
        if (is_listed_kind && is_older && item.value && !seen.contains(key)) {
            removed.push_back(key);
        }
    }
    for (const std::string& key : removed) {
        apply({key, revision, std::nullopt});
    }
    advance_complete_up_to(revision);
}

void record_mirror::apply_config(const std::string& key, const std::string& value) {
    auto decoded = platform::decode_config(value);
    if (!decoded) {
        report_unreadable("configuration", key, platform::to_string(decoded.fault));
        return;
    }
    const revision_number before = m_fleet.config.version();
    if (!m_fleet.config.offer(std::make_shared<const routing_config>(std::move(*decoded)))) {
        return;
    }
    log_line{log_class::change, "configuration_applied"}
        .with("version", m_fleet.config.version())
        .with("before", before)
        .with("routes", m_fleet.config.current()->routes.size())
        .write();
    m_fleet.on_config();
}

/// An entry that cannot be read names no endpoint to use, as if it had been deleted.
void record_mirror::apply_endpoint(const std::string& key,
                                   const std::optional<std::string>& value) {
    const endpoint_id id{key.substr(platform::endpoint_prefix.size())};
    if (!value) {
        m_unlisted_since.emplace(id, boot_now());
        return;
    }
    const auto endpoint = platform::decode_endpoint(key, *value);
    if (!endpoint) {
        report_unreadable("endpoint", key, platform::to_string(endpoint.fault));
        m_unlisted_since.emplace(id, boot_now());
        return;
    }
    m_unlisted_since.erase(id);
    m_fleet.put_endpoint(*endpoint);
}

/// An unreadable record changes nothing: the last known one stays in force.
void record_mirror::apply_group_text(const group_id& group, const std::string& key,
                                     revision_number revision, const std::string& value) {
    auto record = decode_group_record(value);
    if (!record) {
        report_unreadable("group", key, malformed);
        return;
    }
    record->revision = revision;
    apply_group(group, *record);
}

void record_mirror::apply_group(const group_id& group, const group_record& record) {
    if (!m_fleet.lease.apply(group, record)) {
        return;
    }
    const group_record& known = *m_fleet.lease.record(group);
    log_line{log_class::change, "primary_record"}
        .with("group", group)
        .with("phase", known.phase == leadership_phase::led ? "led" : "changing")
        .with("primary", known.primary)
        .with("successor", known.successor)
        .with("changed_by", known.changed_by)
        .with("term", known.term)
        .with_revision("revision", known.revision)
        .with("outdated", m_fleet.lease.is_outdated(known) ? "true" : "false")
        .write();
    m_fleet.retire_leaving(boot_now());
    m_fleet.changed.notify_all();
}

void record_mirror::apply_alive(const host_id& host, bool is_alive) {
    m_liveness.on_lease(host, is_alive, boot_now());
}

revision_number record_mirror::stored_revision(const std::string& key) const {
    const auto found = m_items.find(key);
    const bool is_stored = found != m_items.end() && found->second.value;
    return is_stored ? found->second.revision : 0;
}

revision_number record_mirror::host_revision(const host_id& host) const {
    const auto found = m_items.find(host_key(host));
    return found == m_items.end() ? 0 : found->second.revision;
}

std::size_t record_mirror::live_count(instant now) const {
    return static_cast<std::size_t>(std::count_if(
        m_hosts.begin(), m_hosts.end(),
        [this, now](const auto& item) { return m_liveness.is_live(item.first, now); }));
}

std::size_t record_mirror::registered_count() const {
    return static_cast<std::size_t>(
        std::count_if(m_hosts.begin(), m_hosts.end(),
                      [this](const auto& item) { return m_liveness.is_registered(item.first); }));
}

/// During a rolling upgrade, hosts of another build may have longer leases than this one.
duration record_mirror::longest_lease() const {
    duration longest = m_fleet.lease.length();
    for (const auto& [host, record] : m_hosts) {
        longest = std::max(longest, record.lease_length);
    }
    return longest;
}

/// During a store outage the leases of all hosts may expire at once. All known hosts count when
/// fewer than half of them have a lease.
std::vector<host_placement> record_mirror::places(instant now) const {
    const bool most_live = live_count(now) * 2 >= registered_count();
    std::vector<host_placement> result;
    for (const auto& [host, record] : m_hosts) {
        const bool may_return = !most_live && m_liveness.is_registered(host);
        if (may_return || m_liveness.is_live(host, now)) {
            result.push_back({host, record.data_centre, record.cpu_share});
        }
    }
    return result;
}

std::set<endpoint_id> record_mirror::reported_unreachable() const {
    std::set<endpoint_id> reported;
    for (const auto& [host, record] : m_hosts) {
        reported.insert(record.unreachable.begin(), record.unreachable.end());
    }
    return reported;
}

/// A host whose registration was removed may use primaries until the granters no longer confirm its
/// leases, so it stays in `hosts` until then.
void record_mirror::apply_host(const host_id& host, const std::string& key,
                               const std::optional<std::string>& value) {
    auto record = value ? decode_host_record(key, *value) : std::nullopt;
    if (value && !record) {
        report_unreadable("host", key, malformed);
    }
    if (record) {
        m_hosts[host] = std::move(*record);
        m_liveness.on_registered(host, boot_now());
    } else {
        m_liveness.on_removed(host, boot_now());
    }
    ++m_hosts_version;
    m_fleet.changed.notify_all();
}

void record_mirror::apply_granters(revision_number revision,
                                   const std::optional<std::string>& value) {
    auto granters = value ? decode_granters(*value) : std::nullopt;
    if (!granters) {
        report_unreadable("granters", granters_key(), value ? malformed : deleted);
        return;
    }
    granters->revision = revision;
    log_line{log_class::change, "granters"}
        .with("members", granters->members.size())
        .with("previous", granters->previous.size())
        .with_revision("revision", revision)
        .write();
    if (!m_granters || era_of(m_granters->revision) == era_of(revision)) {
        m_lost_granters.clear();
    } else if (m_granters->members != granters->members) {
        m_lost_granters.push_back(m_granters->members);
    }
    m_granters = std::move(granters);
    m_granters_since = boot_now();
}

bool record_mirror::do_all_hosts_keep_limits() const {
    return std::all_of(m_hosts.begin(), m_hosts.end(),
                       [](const auto& item) { return item.second.keeps_limits; });
}

bool record_mirror::do_all_hosts_ask_granters() const {
    return std::all_of(m_hosts.begin(), m_hosts.end(),
                       [](const auto& item) { return item.second.asks_granters; });
}

void record_mirror::apply_stopped(const std::string& key, revision_number revision,
                                  const std::string& value) {
    const auto reported = decode_stopped_use(value, revision);
    if (!reported) {
        report_unreadable("stopped_use", key, malformed);
        return;
    }
    raise_stopped_use(key, *reported);
}

void record_mirror::record_stopped_use(const group_id& group, const host_id& host,
                                       revision_number revision) {
    raise_stopped_use(stopped_use_key(group, host), revision);
}

void record_mirror::raise_stopped_use(const std::string& key, revision_number reported) {
    revision_number& known = m_stopped_use[key];
    known = std::max(known, reported);
    m_fleet.changed.notify_all();
}

revision_number record_mirror::stopped(const group_id& group, const host_id& host) const {
    const auto found = m_stopped_use.find(stopped_use_key(group, host));
    return found == m_stopped_use.end() ? 0 : found->second;
}

void record_mirror::remove_expired() {
    const instant now = boot_now();
    remove_expired_endpoints(now);
    remove_expired_hosts(now);
}

void record_mirror::remove_expired_endpoints(instant now) {
    std::vector<endpoint_id> removed;
    for (const auto& [id, since] : m_unlisted_since) {
        if (since + unlisted_endpoint_grace <= now) {
            removed.push_back(id);
        }
    }
    for (const endpoint_id& id : removed) {
        m_unlisted_since.erase(id);
        m_fleet.remove_endpoint(id);
    }
}

void record_mirror::remove_expired_hosts(instant now) {
    for (const host_id& host : m_liveness.take_removed(max_time_on_grants + longest_lease(), now)) {
        m_hosts.erase(host);
        ++m_hosts_version;
    }
}

}  // namespace jasminelead::proxy
