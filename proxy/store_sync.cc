#include "proxy/store_sync.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <utility>
#include <vector>

#include "jasminelead/fleet_quorum.h"
#include "platform/records.h"
#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

constexpr duration confirm_interval = 600_ms;
constexpr duration confirm_timeout = 400_ms;
constexpr duration call_timeout = 1_s;
constexpr std::uint32_t watch_wait_ms = 10'000;
constexpr duration watch_slack = 1_s;
constexpr duration retry_pause = 100_ms;
// A watch that received nothing for this long, although the store has changed, is not trusted.
constexpr duration watch_patience = 300_ms;
// A host that loses the store counts as lost after this time.
constexpr std::uint32_t alive_ttl_ms = 1500;
constexpr duration alive_interval = 500_ms;
// A host that was cut off knows the others' views again after this time.
constexpr duration catch_up_time = 1_s;
// A reader answers several times within this time.
constexpr duration follow_patience = 600_ms;
constexpr duration follow_poll = 100_ms;
constexpr duration publish_interval = 100_ms;
// Statements in progress at a primary that is replaced get this time to end.
constexpr duration statement_patience = 300_ms;
constexpr duration statement_poll = 10_ms;

void pause(duration length) {
    boost::this_fiber::sleep_until(to_steady(boot_now() + length));
}

steady_time call_deadline() {
    return to_steady(boot_now() + call_timeout);
}

platform::store_change to_change(const platform::store_item& item) {
    return {item.key, item.revision, item.value};
}

}  // namespace

store_sync::store_sync(fleet_state& fleet, record_mirror& mirror, daemon::metrics& counters,
                       const settings& options)
    : m_fleet{fleet},
      m_mirror{mirror},
      m_counters{counters},
      m_self{options.host},
      m_own_record{options.host,      daemon::wall_clock_incarnation(),
                   options.peer,      options.data_centre,
                   options.cpu_share, {}},
      m_store{fleet.home().io(), options.store} {}

void store_sync::start() {
    m_fleet.home().spawn([this] { run_watch(); });
    m_fleet.home().spawn([this] { run_confirm(); });
    m_fleet.home().spawn([this] { run_publish(); });
    m_fleet.home().spawn([this] { run_keep_alive(); });
}

void store_sync::note_store(platform::store_fault fault) {
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

// Watching

void store_sync::run_watch() {
    while (!m_stopped) {
        if (is_following(boot_now())) {
            pause(follow_poll);
            continue;
        }
        const bool ok = m_watched ? watch_once() : load();
        if (!ok) {
            pause(retry_pause);
        }
    }
}

bool store_sync::watch_once() {
    const auto deadline = to_steady(boot_now() + duration::from_ms(watch_wait_ms) + watch_slack);
    const auto result = m_store.watch("", *m_watched, watch_wait_ms, deadline);
    if (!result) {
        m_counters.count("watch_faults", platform::to_string(result.fault));
        if (result.fault == platform::store_fault::history_lost) {
            m_watched.reset();
        }
        return result.fault == platform::store_fault::history_lost;
    }
    for (const platform::store_change& change : result.value->changes) {
        m_mirror.apply(change);
    }
    m_watched = std::max(m_watched.value_or(0), result.value->revision);
    create_missing_records();
    acknowledge_changes();
    return true;
}

// Loading

bool store_sync::load() {
    std::set<std::string> seen;
    // Changes after this first answer are received by the watch.
    const auto first = m_store.list(fleet_prefix, "", call_deadline());
    note_store(first.fault);
    if (!first) {
        return false;
    }
    const revision_number from = first.value->revision;
    if (!load_config() || !load_prefix(platform::endpoint_prefix, seen) ||
        !load_prefix(own_prefix, seen)) {
        return false;
    }
    m_mirror.forget_unseen(seen);
    m_watched = std::max(m_watched.value_or(0), from);
    create_missing_records();
    acknowledge_changes();
    return true;
}

bool store_sync::load_config() {
    const auto item = m_store.get(platform::config_key, call_deadline());
    if (item) {
        m_mirror.apply(to_change(*item.value));
    }
    return item || item.fault == platform::store_fault::not_found;
}

bool store_sync::load_prefix(std::string_view prefix, std::set<std::string>& seen) {
    std::string last;
    for (;;) {
        const auto page = m_store.list(prefix, last, call_deadline());
        if (!page) {
            return false;
        }
        for (const platform::store_item& item : page.value->items) {
            m_mirror.apply(to_change(item));
            seen.insert(item.key);
            last = item.key;
        }
        if (page.value->is_complete || page.value->items.empty()) {
            return true;
        }
    }
}

// Confirming

void store_sync::run_confirm() {
    while (!m_stopped) {
        const instant begun = boot_now();
        if (!m_registered) {
            note_earlier_registration();
            register_host();
        }
        if (!is_following(boot_now())) {
            confirm();
        }
        m_mirror.drop_departed();
        m_fleet.retire_leaving(boot_now());
        m_fleet.set_hosts(m_mirror.places(boot_now()));
        pause(std::max(begun + confirm_interval - boot_now(), retry_pause));
    }
}

bool store_sync::has_confirmed(const host_id& host, incarnation_number incarnation) const {
    const auto found = m_confirmed_hosts.find(host);
    return found != m_confirmed_hosts.end() && found->second == incarnation;
}

bool store_sync::confirm() {
    const instant sent = boot_now();
    const auto listing = m_store.list(fleet_prefix, "", to_steady(sent + confirm_timeout));
    note_store(listing.fault);
    if (!listing || !listing.value->is_complete) {
        return false;
    }
    m_confirmed_hosts.clear();
    for (const platform::store_item& item : listing.value->items) {
        m_mirror.apply(to_change(item));
        const auto host = host_of_key(item.key) ? decode_host_record(item.value) : std::nullopt;
        if (host) {
            m_confirmed_hosts[host->host] = host->incarnation;
        }
    }
    if (!has_confirmed(m_self, m_own_record.incarnation)) {
        // A fleet that does not know this daemon would not ask it before replacing a primary.
        m_registered = false;
        m_fleet.lease.revoke();
        return true;
    }
    on_confirmed(sent);
    check_watch(listing.value->revision, sent);
    acknowledge_changes();
    return true;
}

void store_sync::on_confirmed(instant sent) {
    if (confirmed_age(sent) > m_fleet.lease.length()) {
        m_steady_since = boot_now();
    }
    m_confirmed = std::max(m_confirmed.value_or(sent), sent);
    if (!m_first_confirmed) {
        m_first_confirmed = boot_now();
    }
    prove_lease(sent);
}

void store_sync::prove_lease(instant at) {
    const bool was_current = m_fleet.lease.is_current(boot_now());
    m_fleet.lease.confirm(at);
    if (!was_current && m_fleet.lease.is_current(boot_now())) {
        m_fleet.changed.notify_all();
    }
}

bool store_sync::is_following(instant now) const {
    return m_followed && *m_followed + follow_patience > now;
}

void store_sync::on_followed(revision_number revision, instant proven,
                             std::optional<instant> confirmed) {
    // The store may answer this host while it turns the reader away.
    m_followed = confirmed ? std::optional{boot_now()} : std::nullopt;
    m_behind_since.reset();
    m_watched = std::max(m_watched.value_or(0), revision);
    m_confirmed_hosts.clear();
    for (const auto& [host, record] : m_mirror.hosts()) {
        if (m_mirror.is_registered(host)) {
            m_confirmed_hosts[host] = record.incarnation;
        }
    }
    if (confirmed) {
        on_confirmed(*confirmed);
    }
    prove_lease(proven);
    acknowledge_changes();
}

/// Reloads when the store has changed and the watch does not tell.
void store_sync::check_watch(revision_number store_revision, instant sent) {
    const bool behind = m_watched && *m_watched < store_revision;
    if (!behind) {
        m_behind_since.reset();
    } else if (!m_behind_since) {
        m_behind_since = sent;
    } else if (*m_behind_since + watch_patience <= sent) {
        m_counters.count("watch_faults", "behind");
        m_behind_since.reset();
        load();
    }
}

bool store_sync::may_replace(instant now) const {
    if (!m_first_confirmed || !m_steady_since) {
        return false;
    }
    const bool is_steady = *m_steady_since + catch_up_time <= now;
    const duration wait = m_was_registered ? m_fleet.lease.length() : newcomer_patience;
    return is_steady && *m_first_confirmed + wait <= now;
}

duration store_sync::confirmed_age(instant now) const {
    return m_confirmed ? now - *m_confirmed : duration::max();
}

// Registering

/// Shows the other hosts that this one has the store.
void store_sync::run_keep_alive() {
    while (!m_stopped) {
        pause(keep_alive() ? alive_interval : retry_pause);
    }
}

bool store_sync::keep_alive() {
    if (m_lease != platform::no_lease) {
        const auto fault = m_store.renew_lease(m_lease, call_deadline());
        if (fault == platform::store_fault::not_found) {
            m_lease = platform::no_lease;
        }
        return fault == platform::store_fault::none;
    }
    const auto granted = m_store.grant_lease(alive_ttl_ms, call_deadline());
    if (!granted) {
        return false;
    }
    platform::store_transaction transaction;
    transaction.updates.push_back({alive_key(m_self), "{}", *granted.value});
    if (!m_store.commit(transaction, call_deadline())) {
        return false;
    }
    m_lease = *granted.value;
    return true;
}

/// Tells the other hosts which endpoints this one cannot reach.
void store_sync::run_publish() {
    while (!m_stopped) {
        for (const auto& [id, pool] : m_fleet.all_pools()) {
            pool->check_silence();
            pool->trim();
        }
        publish_reachability();
        pause(publish_interval);
    }
}

void store_sync::publish_reachability() {
    std::set<endpoint_id> unreachable;
    for (const auto& [id, pool] : m_fleet.all_pools()) {
        if (!pool->health().is_reachable()) {
            unreachable.insert(id);
        }
    }
    if (!m_registered || unreachable == m_own_record.unreachable) {
        return;
    }
    const auto before = std::exchange(m_own_record.unreachable, unreachable);
    if (!register_host()) {
        m_own_record.unreachable = before;
    }
}

/// Hosts that the store turned away learn of a new one only from their peers.
void store_sync::note_earlier_registration() {
    if (m_first_confirmed || m_registered) {
        return;
    }
    const auto item = m_store.get(host_key(m_self), call_deadline());
    const auto earlier = item ? decode_host_record(item.value->value) : std::nullopt;
    m_was_registered =
        m_was_registered || (earlier && earlier->incarnation != m_own_record.incarnation);
}

bool store_sync::register_host() {
    platform::store_transaction transaction;
    transaction.updates.push_back(
        {host_key(m_self), encode_host_record(m_own_record), platform::no_lease});
    const auto result = m_store.commit(transaction, call_deadline());
    note_store(result.fault);
    if (result) {
        m_registered = true;
        log_line{log_class::change, "host_registered"}
            .with("incarnation", m_own_record.incarnation)
            .with("unreachable_endpoints", m_own_record.unreachable.size())
            .with("revision", *result.value)
            .write();
    }
    return result.value.has_value();
}

void store_sync::create_missing_records() {
    if (!m_fleet.config.current()) {
        return;
    }
    const auto config = m_fleet.config.current();
    for (const auto& [group, limits] : config->groups) {
        if (m_fleet.lease.record(group) == nullptr) {
            create_record(group);
        }
    }
}

/// The first record of a group names the endpoint that sees itself as its primary.
void store_sync::create_record(const group_id& group) {
    std::vector<endpoint_id> primaries;
    for (const auto& pool : m_fleet.pools(group)) {
        if (pool->endpoint().role == endpoint_role::primary) {
            primaries.push_back(pool->endpoint().entry.id);
        }
    }
    if (primaries.size() != 1) {
        return;
    }
    group_record record;
    record.primary = primaries.front();
    record.changed_by = m_self;
    record.changed_by_incarnation = m_own_record.incarnation;
    platform::store_transaction transaction;
    transaction.conditions.push_back({group_key(group), 0});
    transaction.updates.push_back(
        {group_key(group), encode_group_record(record), platform::no_lease});
    const auto result = m_store.commit(transaction, call_deadline());
    if (result) {
        record.revision = *result.value;
        m_mirror.apply_group(group, record);
    }
}

// Acknowledging

void store_sync::acknowledge_changes() {
    for (const auto& [group, record] : m_fleet.lease.records()) {
        const bool changing = record.phase == leadership_phase::changing;
        if (!changing || record.changed_by == m_self || m_acknowledged[group] >= record.revision) {
            continue;
        }
        m_acknowledged[group] = record.revision;
        m_fleet.home().spawn(
            [this, group = group, revision = record.revision] { acknowledge(group, revision); });
    }
}

/// Statements that end before the acknowledgement keep their outcome.
void store_sync::wait_for_statements(const group_id& group) {
    const auto pool = m_fleet.pool(m_fleet.lease.record(group)->primary);
    const instant give_up = boot_now() + statement_patience;
    while (pool && pool->running() > 0 && pool->health().is_reachable() && boot_now() < give_up) {
        pause(statement_poll);
    }
}

void store_sync::acknowledge(const group_id& group, revision_number revision) {
    wait_for_statements(group);
    revision_number& stopped = m_stopped_use[group];
    stopped = std::max(stopped, revision);
    platform::store_transaction transaction;
    transaction.updates.push_back(
        {stop_key(group, m_self), std::to_string(revision), platform::no_lease});
    const auto result = m_store.commit(transaction, call_deadline());
    log_line{log_class::change, "primary_use_stopped"}
        .with("group", group)
        .with("revision", revision)
        .with("outcome", platform::to_string(result.fault))
        .write();
}

}  // namespace jasminelead::proxy
