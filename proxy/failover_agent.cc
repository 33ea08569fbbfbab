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
// exceeds `promotion_window`, so that the other daemon no longer promotes.
constexpr duration takeover_delay = 5_s;
// Lets a promotion complete that the previous process sent just before it ended.
constexpr duration restart_delay = 300_ms;
// A promotion is sent only within this time after its mark was sent to the store.
constexpr duration promotion_window = 3500_ms;
constexpr duration clock_margin = 50_ms;
constexpr duration status_timeout = 250_ms;
constexpr duration promotion_timeout = 800_ms;
constexpr duration store_timeout = 1_s;
constexpr duration poll_interval = 30_ms;
constexpr duration log_handover_timeout = 1_s;
constexpr duration takeover_timeout = 3_s;
constexpr duration unused_poll_interval = 20_ms;
constexpr int max_replacement_attempts = 3;
// A changed role may be reported up to one heartbeat late.
constexpr duration role_settle_time = 1_s;

void pause(duration length) {
    boost::this_fiber::sleep_until(to_steady(boot_now() + length));
}

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
    record_starts();
    if (m_promotion_address.empty()) {
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
    const bool is_known_due = m_due_since.contains({group, record.revision});
    if (is_known_due || record.phase == leadership_phase::changing ||
        reported.contains(record.primary)) {
        return true;
    }
    const auto pool = m_fleet.pool(record.primary);
    return !pool || pool->endpoint().entry.state == member_state::leaving ||
           pool->endpoint().role == endpoint_role::replica;
}

void failover_agent::check_group(const group_id& group, const group_record& record) {
    const auto key = std::pair{group, record.revision};
    const bool changing = record.phase == leadership_phase::changing;
    primary_health health = assess_primary(group, record.primary);
    bool only_by_role = false;
    if (!changing && health.reports_replica_role) {
        health.reports_replica_role = false;
        only_by_role = decide_replacement(health) == replacement::none;
    }
    const replacement kind =
        changing || only_by_role ? replacement::urgent : decide_replacement(health);
    if (kind == replacement::none) {
        m_due_since.erase(key);
        return;
    }
    const instant now = boot_now();
    const instant since = m_due_since.emplace(key, now).first->second;
    duration delay = start_delay(group);
    if (changing) {
        delay = delay + (has_restarted(record) ? restart_delay : takeover_delay);
    } else if (only_by_role) {
        delay = delay + role_settle_time;
    }
    if (since + delay > now) {
        return;
    }
    m_running.insert(group);
    m_peers.set_replacing(true);
    m_fleet.home().spawn([this, group = group, kind] {
        replace(group, kind);
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

/// True when the process that wrote the record has ended and can send no further promotion.
bool failover_agent::has_restarted(const group_record& record) const {
    const auto& hosts = m_sync.records().hosts();
    const auto found = hosts.find(record.changed_by);
    return found != hosts.end() && found->second.incarnation != record.changed_by_incarnation;
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

std::optional<platform::endpoint_status> failover_agent::run_status_command(
    const endpoint_id& endpoint, std::string_view text) const {
    const auto pool = m_fleet.pool(endpoint);
    if (!pool) {
        return std::nullopt;
    }
    // Uses a separate connection, because pooled ones may be in use or unresponsive.
    endpoint_connection link{m_fleet.home().io()};
    const auto deadline = to_steady(boot_now() + status_timeout);
    const auto opened = link.open(pool->endpoint().entry, deadline);
    if (!std::holds_alternative<std::optional<log_point>>(opened)) {
        return std::nullopt;
    }
    std::string query;
    platform::encode_query(query, platform::internal_statement_id(), text);
    const auto answer = link.exchange(query, deadline);
    link.close();
    const auto* const received = std::get_if<endpoint_answer>(&answer);
    if (received == nullptr || received->fault || received->rows.empty()) {
        return std::nullopt;
    }
    return platform::decode_status_rows(received->rows);
}

std::optional<platform::endpoint_status> failover_agent::ask_status(
    const endpoint_id& endpoint) const {
    return run_status_command(endpoint, platform::status_text());
}

std::vector<successor_candidate> failover_agent::ask_candidates(const group_id& group,
                                                                const group_record& record,
                                                                term_number& term) const {
    const endpoint_id& old_primary = record.primary;
    const auto old_pool = m_fleet.pool(old_primary);
    std::vector<successor_candidate> candidates;
    for (const auto& pool : m_fleet.pools(group)) {
        const listed_endpoint& endpoint = pool->endpoint();
        const bool usable = endpoint.entry.id != old_primary &&
                            endpoint.entry.state == member_state::live &&
                            pool->health().is_reachable();
        const auto status = usable ? ask_status(endpoint.entry.id) : std::nullopt;
        if (!status) {
            continue;
        }
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
        term = std::max(term, status->term);
        successor_candidate candidate;
        candidate.id = endpoint.entry.id;
        candidate.received = status->received;
        candidate.hosts_without = hosts_without(group, candidate.id);
        candidate.is_in_primary_data_centre =
            old_pool != nullptr &&
            old_pool->endpoint().entry.data_centre == endpoint.entry.data_centre;
        candidates.push_back(candidate);
    }
    return candidates;
}

void failover_agent::log_step(const replacement_run& current, std::string_view step,
                              std::string_view outcome) const {
    log_line{log_class::change, "failover"}
        .with("group", current.group)
        .with("step", step)
        .with("outcome", outcome)
        .with("kind", current.kind == replacement::planned ? "planned" : "urgent")
        .with("old_primary", current.old_primary)
        .with("successor", current.record.successor)
        .with("token", current.record.revision)
        .with("term", current.term)
        .with("marked_ms_ago", boot_now() - current.marked_at)
        .write();
}

bool failover_agent::write_record(replacement_run& current, group_record record) {
    record.changed_by = m_self;
    record.changed_by_incarnation = m_sync.own_record().incarnation;
    platform::store_transaction transaction;
    transaction.conditions.push_back({group_key(current.group), current.record.revision});
    // Other hosts no longer wait for a host that was removed from the registry, so its write must
    // fail.
    transaction.conditions.push_back({host_key(m_self), m_sync.records().host_revision(m_self)});
    transaction.updates.push_back(
        {group_key(current.group), encode_group_record(record), platform::no_lease});
    const auto result = m_sync.store().commit(transaction, to_steady(boot_now() + store_timeout));
    if (!result) {
        log_step(current, "write_record", platform::to_string(result.fault));
        return false;
    }
    record.revision = *result.value;
    current.record = record;
    m_sync.records().apply_group(current.group, record);
    return true;
}

std::optional<failover_agent::replacement_run> failover_agent::write_mark(const group_id& group,
                                                                          replacement kind) {
    const group_record* const known = m_fleet.lease.record(group);
    replacement_run current;
    current.group = group;
    current.kind = kind;
    current.record = *known;
    current.old_primary = known->primary;
    current.term = known->term;
    // Another daemon that started this replacement may have promoted already.
    current.may_be_promoted = known->phase == leadership_phase::changing;
    const revision_number before = known->revision;
    const auto candidates = ask_candidates(group, current.record, current.term);
    const auto chosen = choose_successor(candidates, voters(group).size());
    if (!chosen) {
        log_step(current, "choose_successor", "none_reachable");
        return std::nullopt;
    }
    if (m_fleet.lease.record(group)->revision != before) {
        return std::nullopt;
    }
    add_registered_hosts(current);
    group_record record = current.record;
    if (record.phase == leadership_phase::led) {
        record.replaced_revision = record.revision;
    }
    record.phase = leadership_phase::changing;
    record.successor = candidates[*chosen].id;
    current.marked_at = boot_now();
    if (!write_record(current, record)) {
        return std::nullopt;
    }
    record_starts();
    log_step(current, "mark", "written");
    // The read also finds hosts that registered just before the mark.
    current.has_all_hosts = m_sync.confirm();
    add_registered_hosts(current);
    return current;
}

void failover_agent::add_registered_hosts(replacement_run& current) {
    for (const auto& [host, record] : m_sync.records().hosts()) {
        current.hosts.emplace(host, record.incarnation);
    }
}

void failover_agent::replace(const group_id& group, replacement kind) {
    for (int round = 0; round < max_replacement_attempts; ++round) {
        if (try_replace(group, kind)) {
            return;
        }
        pause(rank_delay);
        const group_record* const record = m_fleet.lease.record(group);
        const bool is_own =
            record->changed_by == m_self && record->phase == leadership_phase::changing;
        if (!is_own) {
            return;
        }
    }
}

bool failover_agent::try_replace(const group_id& group, replacement kind) {
    auto current = write_mark(group, kind);
    if (!current) {
        return false;
    }
    if (current->may_be_promoted) {
        const auto status = ask_status(current->record.successor);
        if (status && status->role == endpoint_role::primary) {
            current->term = status->term;
            current->taken_over_at = status->received;
            return write_primary(*current, current->record.successor);
        }
    }
    wait_until_primary_unused(*current);
    hand_over_log(*current);
    if (promote(*current) && wait_for_promotion(*current)) {
        return write_primary(*current, current->record.successor);
    }
    if (!current->may_be_promoted && !current->has_stepped_down) {
        // The endpoints are unchanged, so the old primary can serve again.
        return write_primary(*current, current->old_primary);
    }
    return false;
}

bool failover_agent::has_stopped_using_primary(const replacement_run& current,
                                               const host_id& host) const {
    if (host == m_self) {
        return true;
    }
    if (m_sync.records().stopped(current.group, host) >= current.record.revision) {
        return true;
    }
    // A process that started after the mark has never used the old primary.
    const auto present = m_sync.records().hosts().find(host);
    return present != m_sync.records().hosts().end() &&
           present->second.incarnation != current.hosts.at(host);
}

/// Returns when no daemon can use the old primary any more: all have acknowledged the mark, or
/// their leases have expired.
void failover_agent::wait_until_primary_unused(replacement_run& current) {
    primary_stop_progress progress;
    do {
        m_fleet.changed.wait(to_steady(boot_now() + unused_poll_interval));
        if (!current.has_all_hosts) {
            current.has_all_hosts = m_sync.confirm();
            add_registered_hosts(current);
        }
        progress = stop_progress(current);
    } while (!is_primary_unused(progress));
    const bool all_acknowledged = progress.stopped == progress.registered;
    const bool is_quorum = progress.since_known.has_value();
    log_step(current, "wait_until_unused",
             !is_quorum ? "grants_ended" : (all_acknowledged ? "acknowledged" : "lease_ended"));
}

primary_stop_progress failover_agent::stop_progress(replacement_run& current) const {
    const instant now = boot_now();
    if (!current.known_since && current.has_all_hosts &&
        is_replacement_quorum(acknowledging_hosts(current))) {
        current.known_since = now;
    }
    primary_stop_progress progress;
    progress.registered = current.hosts.size();
    progress.stopped = static_cast<std::size_t>(std::count_if(
        current.hosts.begin(), current.hosts.end(),
        [&](const auto& host) { return has_stopped_using_primary(current, host.first); }));
    progress.knows_all_hosts = m_sync.knows_removed_hosts(now);
    if (current.known_since) {
        progress.since_known = now - *current.known_since;
    }
    progress.since_changing = m_starts.since(current.group, now);
    progress.lease_length = m_sync.records().longest_lease() + clock_margin;
    return progress;
}

std::set<host_id> failover_agent::acknowledging_hosts(const replacement_run& current) const {
    std::set<host_id> result{m_self};
    for (const auto& [host, incarnation] : current.hosts) {
        if (m_sync.records().stopped(current.group, host) >= current.record.revision) {
            result.insert(host);
        }
    }
    return result;
}

/// Before the first record of granters, no host relies on them.
bool failover_agent::is_replacement_quorum(const std::set<host_id>& hosts) const {
    const auto& granters = m_sync.records().granters();
    return !granters ||
           is_replacement_known(*granters, m_sync.records().granters_known_for(boot_now()), hosts);
}

void failover_agent::record_starts() {
    for (const auto& [group, record] : m_fleet.lease.records()) {
        m_starts.record(group, record, boot_now());
    }
}

/// Lets the successor receive the old primary's log for at most `log_handover_timeout`, then makes
/// the old primary a replica. Skipped when the old primary does not answer; one that this host
/// cannot reach is not asked, because callers wait for the new primary meanwhile.
void failover_agent::hand_over_log(replacement_run& current) {
    const auto pool = m_fleet.pool(current.old_primary);
    const bool may_answer = pool && pool->health().is_reachable();
    const auto last = may_answer ? ask_status(current.old_primary) : std::nullopt;
    if (!last || last->role != endpoint_role::primary) {
        log_step(current, "hand_over_log", "old_primary_silent");
        return;
    }
    const instant deadline = boot_now() + log_handover_timeout;
    bool complete = false;
    while (!complete && boot_now() < deadline) {
        const auto status = ask_status(current.record.successor);
        complete = status && status->received >= last->received;
        if (!complete) {
            pause(poll_interval);
        }
    }
    const term_number next = std::max(current.term, last->term) + 1;
    const auto stepped_down =
        run_status_command(current.old_primary, platform::step_down_text(next));
    current.has_stepped_down = stepped_down.has_value();
    log_step(current, "hand_over_log", complete ? "complete" : "incomplete");
    log_step(current, "step_down", stepped_down ? "done" : "no_answer");
}

bool failover_agent::promote(replacement_run& current) {
    platform::promotion_client client{m_fleet.home().io(), m_promotion_address};
    if (!client.connect(to_steady(boot_now() + promotion_timeout))) {
        log_step(current, "promote", "unreachable");
        return false;
    }
    // Another daemon may have replaced the mark while this process was suspended.
    const auto item =
        m_sync.store().get(group_key(current.group), to_steady(boot_now() + store_timeout));
    const bool still_marked = item && item.value->revision == current.record.revision;
    if (!still_marked || boot_now() - current.marked_at > promotion_window) {
        log_step(current, "promote", "mark_lost");
        return false;
    }
    const platform::promotion_request request{current.group, current.record.successor, m_self,
                                              current.record.revision};
    const auto answer = client.promote(request, to_steady(boot_now() + promotion_timeout));
    m_counters.count("promotions", platform::to_string(answer));
    log_step(current, "promote", platform::to_string(answer));
    const bool may_run = answer == platform::promotion_answer::accepted ||
                         answer == platform::promotion_answer::unknown;
    current.may_be_promoted = current.may_be_promoted || may_run;
    return may_run;
}

bool failover_agent::wait_for_promotion(replacement_run& current) {
    const instant deadline = boot_now() + takeover_timeout;
    while (boot_now() < deadline) {
        const auto status = ask_status(current.record.successor);
        if (status && status->role == endpoint_role::primary) {
            current.term = status->term;
            // No host writes before the record names the new primary, so its log still ends where
            // it took over.
            current.taken_over_at = status->received;
            return true;
        }
        pause(poll_interval);
    }
    log_step(current, "wait_until_leads", "timeout");
    return false;
}

bool failover_agent::write_primary(replacement_run& current, const endpoint_id& primary) {
    group_record record = current.record;
    record.phase = leadership_phase::led;
    record.replaced_revision = 0;
    record.primary = primary;
    record.successor = endpoint_id{};
    record.term = current.term;
    if (current.taken_over_at) {
        record.taken_over_at = *current.taken_over_at;
    }
    const bool written = write_record(current, record);
    log_step(current, "finish", written ? "written" : "not_written");
    return written;
}

}  // namespace jasminelead::proxy
