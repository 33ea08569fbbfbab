#include "proxy/failover_agent.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "jasminelead/lease_granters.h"
#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

constexpr duration check_interval = 100_ms;
// Hosts start staggered by this delay, so that usually only the first one runs a replacement.
constexpr duration rank_delay = 150_ms;
// A replacement that another daemon started and did not finish is taken over after this time. It
// exceeds the time within which the other daemon promotes, so that the other daemon no longer
// promotes.
constexpr duration takeover_delay = 5_s;
// Lets a promotion complete that a process sent just before it ended or gave up.
constexpr duration abandoned_delay = 300_ms;
// A changed role may be reported up to one heartbeat late.
constexpr duration role_settle_time = 1_s;

}  // namespace

failover_agent::failover_agent(fleet_state& fleet, store_sync& sync, peer_sync& peers,
                               daemon::metrics& counters, const settings& options)
    : m_fleet{fleet},
      m_sync{sync},
      m_peers{peers},
      m_counters{counters},
      m_self{options.host},
      m_promotion_address{options.promotion} {}

void failover_agent::start() {
    m_fleet.home().spawn([this] { run(); });
}

void failover_agent::run() {
    while (!m_stopped) {
        check_groups();
        m_fleet.changed.wait(to_steady(boot_now() + check_interval));
    }
}

void failover_agent::check_groups() {
    record_changes();
    if (m_promotion_address.empty() || m_stopping) {
        return;
    }
    // Without a recent answer of the store, the known reachability reports are outdated.
    if (!m_fleet.lease.is_current(boot_now()) || !m_sync.can_replace_primaries(boot_now())) {
        m_due_since.clear();
        return;
    }
    const auto reported = m_peers.reported_unreachable();
    for (const auto& [group, record] : m_fleet.lease.records()) {
        if (needs_check(group, record, reported) && !m_running.contains(group)) {
            check_group(group, record);
        }
    }
}

/// Load pattern: a large fleet has many groups, and nearly all of their primaries are healthy. The
/// reachability reports of hosts are counted only for groups with a sign of failure.
bool failover_agent::needs_check(const group_id& group, const group_record& record,
                                 const std::set<endpoint_id>& reported) const {
    if (m_fleet.lease.is_outdated(record)) {
        return may_replace_outdated(boot_now());
    }
    const bool is_known_due = m_due_since.contains({group, record.revision});
    if (is_known_due || record.phase == leadership_phase::changing ||
        reported.contains(record.primary)) {
        return true;
    }
    const auto pool = m_fleet.pool(record.primary);
    return !pool || pool->endpoint().entry.state == member_state::leaving ||
           pool->endpoint().role == endpoint_role::replica;
}

/// A host that started in the present era does not know the granters that the store may have lost.
/// It waits until no host can rely on them; hosts that knew the earlier era need not.
bool failover_agent::may_replace_outdated(instant now) const {
    const bool knows_store = era_of(m_sync.complete_up_to()) == m_fleet.lease.era();
    return knows_store && (m_sync.has_seen_earlier_era() || m_sync.knows_removed_hosts(now));
}

void failover_agent::check_group(const group_id& group, const group_record& record) {
    const auto key = std::pair{group, record.revision};
    const bool outdated = m_fleet.lease.is_outdated(record);
    const bool changing = record.phase == leadership_phase::changing && !outdated;
    primary_health health = assess_primary(group, record.primary);
    bool only_by_role = false;
    if (!changing && !outdated && health.reports_replica_role) {
        health.reports_replica_role = false;
        only_by_role = decide_replacement(health) == replacement::none;
    }
    const replacement kind =
        changing || outdated || only_by_role ? replacement::urgent : decide_replacement(health);
    if (kind == replacement::none) {
        m_due_since.erase(key);
        return;
    }
    const instant now = boot_now();
    const auto [due, is_first] = m_due_since.emplace(key, now);
    const instant since = due->second;
    if (is_first) {
        log_due(group, record, health, kind, only_by_role);
    }
    duration delay = start_delay(group);
    if (changing) {
        delay = delay + (is_abandoned(record) ? abandoned_delay : takeover_delay);
    } else if (only_by_role) {
        delay = delay + role_settle_time;
    }
    if (since + delay > now) {
        return;
    }
    m_running.insert(group);
    m_fleet.home().spawn([this, group = group, kind, only_by_role, key] {
        const bool is_refuted = only_by_role && !has_lost_role(group);
        const bool is_changed = m_fleet.lease.record(group)->revision != key.second;
        if (is_refuted || is_changed) {
            m_due_since.erase(key);
        } else {
            m_peers.set_replacing(true);
            replace(group, kind);
        }
        m_running.erase(group);
        m_peers.set_replacing(!m_running.empty());
    });
}

/// Hosts that are not gateways of the group have no connections to its endpoints.
std::set<host_id> failover_agent::voters(const group_id& group) const {
    const host_liveness& liveness = m_sync.records().liveness();
    const instant now = boot_now();
    std::set<host_id> result;
    for (const host_id& host : m_fleet.gateways(group)) {
        if (liveness.is_voting(host, now)) {
            result.insert(host);
        }
    }
    return result;
}

std::size_t failover_agent::hosts_without(const group_id& group,
                                          const endpoint_id& endpoint) const {
    const auto voting_hosts = voters(group);
    return static_cast<std::size_t>(
        std::count_if(voting_hosts.begin(), voting_hosts.end(),
                      [&](const host_id& host) { return reports_unreachable(host, endpoint); }));
}

bool failover_agent::reports_unreachable(const host_id& host, const endpoint_id& endpoint) const {
    const auto* const reported = m_peers.endpoints_unreachable_from(host);
    const auto& unreachable =
        reported != nullptr ? *reported : m_sync.records().hosts().at(host).unreachable;
    return unreachable.contains(endpoint);
}

/// True when the process that wrote the record sends no further promotion: it has announced its
/// end, was followed by another one, or has lost its registration, without which it cannot write.
bool failover_agent::is_abandoned(const group_record& record) const {
    const auto& hosts = m_sync.records().hosts();
    const auto found = hosts.find(record.changed_by);
    if (found == hosts.end()) {
        return false;
    }
    return found->second.incarnation != record.changed_by_incarnation ||
           found->second.has_given_up_replacements ||
           !m_sync.records().liveness().is_registered(record.changed_by);
}

std::vector<host_view> failover_agent::host_views(const group_id& group,
                                                  const endpoint_id& primary) const {
    const host_liveness& liveness = m_sync.records().liveness();
    const std::vector<host_id>& gateways = m_fleet.gateways(group);
    const std::set<host_id> connected{gateways.begin(), gateways.end()};
    const instant now = boot_now();
    std::vector<host_view> views;
    for (const auto& [host, record] : m_sync.records().hosts()) {
        host_view view;
        view.holds_lease = liveness.is_live(host, now);
        view.is_heard = is_heard(host);
        view.is_voting = liveness.is_voting(host, now);
        view.is_gateway = connected.contains(host);
        view.reaches_primary = !reports_unreachable(host, primary);
        views.push_back(view);
    }
    return views;
}

bool failover_agent::is_heard(const host_id& host) const {
    return m_peers.endpoints_unreachable_from(host) != nullptr;
}

/// Hosts that reach the store or have asked this one for confirmations.
std::set<host_id> failover_agent::present_hosts() const {
    const host_liveness& liveness = m_sync.records().liveness();
    const instant now = boot_now();
    std::set<host_id> result;
    for (const auto& [host, record] : m_sync.records().hosts()) {
        if (liveness.is_live(host, now) || is_heard(host)) {
            result.insert(host);
        }
    }
    return result;
}

primary_health failover_agent::assess_primary(const group_id& group,
                                              const endpoint_id& primary) const {
    primary_health health = count_hosts(host_views(group, primary));
    health.can_reach_granters = is_replacement_quorum(present_hosts());
    const auto pool = m_fleet.pool(primary);
    // When no endpoint of the group is listed, the listing has not been received yet.
    health.is_listed = pool != nullptr || m_fleet.pools(group).empty();
    health.is_leaving = pool != nullptr && pool->endpoint().entry.state == member_state::leaving;
    health.reports_replica_role =
        pool != nullptr && pool->endpoint().role == endpoint_role::replica;
    return health;
}

/// The hash ranks hosts in a different order for each group, which spreads the replacements.
duration failover_agent::start_delay(const group_id& group) const {
    const auto weight = [&group](const host_id& host) {
        const std::string text = group.str() + "/" + host.str();
        return XXH64(text.data(), text.size(), 0);
    };
    const auto own = weight(m_self);
    const instant now = boot_now();
    const auto& hosts = m_sync.records().hosts();
    const auto before = std::count_if(hosts.begin(), hosts.end(), [&](const auto& item) {
        return m_sync.records().liveness().is_voting(item.first, now) && weight(item.first) < own;
    });
    return rank_delay * static_cast<double>(before);
}

/// Names each sign of failure, because the reasons of replacements that follow each other differ.
void failover_agent::log_due(const group_id& group, const group_record& record,
                             const primary_health& health, replacement kind, bool only_by_role) {
    const std::string_view why = m_fleet.lease.is_outdated(record)            ? "outdated"
                                 : record.phase == leadership_phase::changing ? "unfinished"
                                 : only_by_role                               ? "listed_as_replica"
                                 : !health.is_listed                          ? "not_listed"
                                 : kind == replacement::planned               ? "leaving"
                                                                              : "unreachable";
    m_counters.count("replacements_due", why);
    log_line{log_class::change, "replacement_due"}
        .with("group", group)
        .with("primary", record.primary)
        .with("reason", why)
        .with_revision("revision", record.revision)
        .with("voters", std::uint64_t{health.voters})
        .with("voters_without", std::uint64_t{health.voters_without_primary})
        .write();
}

std::vector<successor_candidate> failover_agent::ask_candidates(const group_id& group,
                                                                const group_record& record,
                                                                bool includes_primary,
                                                                term_number& term) const {
    const endpoint_id& old_primary = record.primary;
    const auto old_pool = m_fleet.pool(old_primary);
    std::vector<successor_candidate> candidates;
    for (const auto& pool : m_fleet.pools(group)) {
        const listed_endpoint& endpoint = pool->endpoint();
        const bool usable = (includes_primary || endpoint.entry.id != old_primary) &&
                            endpoint.entry.state == member_state::live &&
                            pool->health().is_reachable();
        const status_answer answer = usable ? query_status(m_fleet, endpoint.entry.id)
                                            : status_answer{std::nullopt, "passed_over"};
        log_status(group, "choose_successor", endpoint.entry.id, answer);
        const auto& status = answer.status;
        if (!status) {
            continue;
        }
        term = std::max(term, status->term);
        if (has_diverged(status->received, record.term, record.taken_over_at)) {
            log_line{log_class::change, "successor_diverged"}
                .with("group", group)
                .with("endpoint", endpoint.entry.id)
                .with("log_term", status->received.term)
                .with("log_position", status->received.position)
                .with("primary_term", record.term)
                .write();
            continue;
        }
        successor_candidate candidate;
        candidate.id = endpoint.entry.id;
        candidate.received = status->received;
        candidate.reported = {status->role, status->term};
        candidate.hosts_without = hosts_without(group, candidate.id);
        candidate.is_in_primary_data_centre =
            old_pool != nullptr &&
            old_pool->endpoint().entry.data_centre == endpoint.entry.data_centre;
        candidates.push_back(candidate);
    }
    return candidates;
}

/// Before the first record of granters, no host relies on them.
bool failover_agent::is_replacement_quorum(const std::set<host_id>& hosts) const {
    const auto& granters = m_sync.records().granters();
    const auto& lost = m_sync.records().lost_granters();
    return !granters ||
           is_replacement_known(*granters, lost, m_sync.records().granters_known_for(boot_now()),
                                hosts);
}

void failover_agent::record_changes() {
    const instant now = boot_now();
    for (const auto& [group, record] : m_fleet.lease.records()) {
        const bool is_own = record.changed_by == m_self &&
                            record.changed_by_incarnation == m_sync.own_record().incarnation;
        m_starts.record(group, record, now);
        // A mark that the store has lost may have led to a promotion.
        const bool is_lead_unproven =
            record.phase == leadership_phase::led && m_fleet.lease.is_outdated(record);
        if (!is_lead_unproven) {
            m_pending.on_record(group, record, is_own, now);
        }
    }
}

}  // namespace jasminelead::proxy
