#include <algorithm>
#include <utility>
#include <vector>

#include "jasminelead/retry_backoff.h"
#include "proxy/event_log.h"
#include "proxy/status_query.h"
#include "proxy/store_calls.h"
#include "proxy/store_sync.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

using detail::call_deadline;
using detail::pause;

// A host that cannot renew its lease in the store counts as lost after this time.
constexpr std::uint32_t alive_ttl_ms = 1500;
constexpr duration alive_interval = 500_ms;
constexpr duration publish_interval = 100_ms;
// Statements in progress on a primary that is being replaced get this time to complete.
constexpr duration statement_drain_timeout = 300_ms;
constexpr duration statement_poll = 10_ms;

}  // namespace

/// Renews the lease that tells the other hosts that this one can reach the store.
void store_sync::run_keep_alive() {
    retry_backoff pacer;
    while (!m_stopped) {
        if (!m_registered && !m_confirmed_at) {
            // The first lease is granted with the registration.
            pause(publish_interval);
        } else if (keep_alive()) {
            pacer.on_success();
            pause(alive_interval);
        } else {
            pause(pacer.on_failure());
        }
    }
}

bool store_sync::keep_alive() {
    // The store may have given the number of a lost lease to another host.
    if (m_keep_alive_era != m_store.era()) {
        m_keep_alive_lease = platform::no_lease;
    }
    if (m_keep_alive_lease != platform::no_lease) {
        const auto fault = m_store.renew_lease(m_keep_alive_lease, call_deadline());
        if (fault == platform::store_fault::not_found) {
            m_keep_alive_lease = platform::no_lease;
        }
        return fault == platform::store_fault::none;
    }
    const auto granted = m_store.grant_lease(alive_ttl_ms, call_deadline());
    if (!granted) {
        return false;
    }
    const store_era era = m_store.era();
    platform::store_transaction transaction;
    transaction.updates.push_back({alive_key(m_self), "{}", *granted.value});
    if (!m_store.commit(transaction, call_deadline())) {
        return false;
    }
    m_keep_alive_lease = *granted.value;
    m_keep_alive_era = era;
    return true;
}

/// Publishes in the host's record which endpoints this host cannot reach.
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

void store_sync::announce_unfinished_replacements() {
    m_own_record.has_given_up_replacements = true;
    register_host();
}

/// Registers this process, together with its first lease if the store grants one.
void store_sync::register_with_lease() {
    detect_earlier_registration();
    if (m_keep_alive_lease != platform::no_lease && m_keep_alive_era == m_store.era()) {
        register_host();
        return;
    }
    const auto granted = m_store.grant_lease(alive_ttl_ms, call_deadline());
    if (!granted) {
        register_host();
        return;
    }
    const store_era era = m_store.era();
    if (register_host(platform::key_update{alive_key(m_self), "{}", *granted.value})) {
        m_keep_alive_lease = *granted.value;
        m_keep_alive_era = era;
    }
}

/// A restarted host is already known to the fleet and may replace primaries earlier than a new one:
/// hosts that the store refuses learn of a new host only from their peers.
void store_sync::detect_earlier_registration() {
    if (m_first_confirmed_at || m_registered) {
        return;
    }
    const auto item = m_store.get(host_key(m_self), call_deadline());
    const auto earlier =
        item ? decode_host_record(item.value->key, item.value->value) : std::nullopt;
    m_was_registered =
        m_was_registered || (earlier && earlier->incarnation != m_own_record.incarnation);
}

bool store_sync::register_host(const std::optional<platform::key_update>& also) {
    platform::store_transaction transaction;
    transaction.updates.push_back(
        {host_key(m_self), encode_host_record(m_own_record), platform::no_lease});
    if (also) {
        transaction.updates.push_back(*also);
    }
    const auto result = m_store.commit(transaction, call_deadline());
    record_store_status(result.fault);
    if (result) {
        m_registered = true;
        m_own_revision = *result.value;
        log_line{log_class::change, "host_registered"}
            .with("incarnation", m_own_record.incarnation)
            .with("unreachable_endpoints", m_own_record.unreachable.size())
            .with_revision("revision", *result.value)
            .write();
    }
    return result.value.has_value();
}

void store_sync::create_missing_records() {
    // One of the readers is sufficient, and each attempt is a call to the store.
    if (!m_fleet.config.current() || !m_fleet.store_readers().empty()) {
        return;
    }
    const auto config = m_fleet.config.current();
    for (const auto& [group, limits] : config->groups) {
        if (m_fleet.lease.record(group) == nullptr) {
            create_record(group);
        }
    }
}

/// The first record of a group names the only endpoint that is listed as primary, if the endpoint
/// itself confirms the role: the list may show a role that has passed to another endpoint.
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
    const status_answer answer = query_status(m_fleet, primaries.front());
    if (!answer.status || answer.status->role != endpoint_role::primary) {
        log_status(group, "create_record", primaries.front(), answer);
        return;
    }
    group_record record;
    record.era = m_store.era();
    record.primary = primaries.front();
    record.term = answer.status->term;
    record.taken_over_at = answer.status->received;
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

/// Statements that end before the acknowledgement still report their outcome.
void store_sync::drain_statements(const group_id& group) {
    const auto pool = m_fleet.pool(m_fleet.lease.record(group)->primary);
    const instant deadline = boot_now() + statement_drain_timeout;
    while (pool && pool->running() > 0 && pool->health().is_reachable() && boot_now() < deadline) {
        pause(statement_poll);
    }
}

void store_sync::acknowledge(const group_id& group, revision_number revision) {
    drain_statements(group);
    revision_number& stopped = m_stopped_use[group];
    stopped = std::max(stopped, revision);
    platform::store_transaction transaction;
    transaction.updates.push_back(
        {stopped_use_key(group, m_self), std::to_string(revision), platform::no_lease});
    const auto result = m_store.commit(transaction, call_deadline());
    log_line{log_class::change, "primary_use_stopped"}
        .with("group", group)
        .with_revision("revision", revision)
        .with("outcome", platform::to_string(result.fault))
        .write();
}

}  // namespace jasminelead::proxy
