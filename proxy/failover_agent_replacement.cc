#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "jasminelead/lease_granters.h"
#include "proxy/clock.h"
#include "proxy/event_log.h"
#include "proxy/failover_agent.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

// Pause between two attempts of this host to replace a primary.
constexpr duration attempt_pause = 150_ms;
constexpr duration clock_margin = 50_ms;
constexpr duration promotion_timeout = 800_ms;
constexpr duration store_timeout = 1_s;
constexpr duration poll_interval = 30_ms;
constexpr duration log_handover_timeout = 1_s;
constexpr duration takeover_timeout = 3_s;
constexpr duration unused_poll_interval = 20_ms;
// For an endpoint whose slots are all in use.
constexpr duration busy_timeout = 500_ms;
// Includes the time until a sent promotion has settled, and another attempt.
constexpr duration replacement_timeout = 12_s;
constexpr double ms_per_s = 1000;

void pause(duration length) {
    boost::this_fiber::sleep_until(to_steady(boot_now() + length));
}

}  // namespace

void failover_agent::log_step(const replacement_run& current, std::string_view step,
                              std::string_view outcome, std::optional<instant> since) const {
    log_line line{log_class::change, "failover"};
    line.with("group", current.group)
        .with("step", step)
        .with("outcome", outcome)
        .with("kind", current.kind == replacement::planned ? "planned" : "urgent")
        .with("old_primary", current.old_primary)
        .with("successor", current.record.successor)
        .with("token", current.record.revision)
        .with_revision("revision", current.record.revision)
        .with("term", current.term)
        .with("marked_ms_ago", boot_now() - current.marked_at);
    if (since) {
        line.with("took_ms", boot_now() - *since);
    }
    line.write();
}

bool failover_agent::write_record(replacement_run& current, group_record record) {
    record.era = m_sync.store().era();
    record.changed_by = m_self;
    record.changed_by_incarnation = m_sync.own_record().incarnation;
    // A record that is known from an earlier era only is missing in the store.
    const std::string key = group_key(current.group);
    const bool is_lost = era_of(current.record.revision) < record.era;
    platform::store_transaction transaction;
    transaction.conditions.push_back(
        {key, is_lost ? m_sync.records().stored_revision(key) : current.record.revision});
    // Other hosts no longer wait for a host that was removed from the registry, so its write must
    // fail.
    transaction.conditions.push_back({host_key(m_self), m_sync.own_revision()});
    transaction.updates.push_back({key, encode_group_record(record), platform::no_lease});
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
    current.was_outdated = m_fleet.lease.is_outdated(*known);
    const revision_number before = known->revision;
    // The primary of an outdated record may lead still. That of a mark has been stepped down, or
    // is to be.
    const bool may_still_lead = current.was_outdated && known->phase == leadership_phase::led;
    const auto candidates = ask_candidates(group, current.record, may_still_lead, current.term);
    current.leader_term = lowest_leader_term(current.record, current.term);
    const auto leader = find_leader(candidates, current.leader_term);
    current.has_leader = leader.has_value();
    const auto chosen = leader ? leader
                               : choose_successor(candidates, voters(group).size(),
                                                  m_pending.successor(group, boot_now()));
    if (!chosen) {
        log_step(current, "choose_successor", "none_reachable");
        return std::nullopt;
    }
    if (!m_pending.may_promote(group, candidates[*chosen].id, boot_now())) {
        log_step(current, "choose_successor", "promotion_pending");
        return std::nullopt;
    }
    if (m_fleet.lease.record(group)->revision != before) {
        return std::nullopt;
    }
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
    record_changes();
    log_step(current, "mark", "written");
    read_users(current);
    return current;
}

void failover_agent::read_users(replacement_run& current) {
    const bool is_complete = m_sync.confirm();
    for (const auto& [host, record] : m_sync.records().hosts()) {
        current.users.add(host, record.incarnation);
    }
    current.has_all_hosts = is_complete;
}

/// The list of endpoints shows a role up to some seconds late, so that it is not proof of a lost
/// one: a primary that was just promoted would be replaced again.
bool failover_agent::has_lost_role(const group_id& group) const {
    const endpoint_id primary = m_fleet.lease.record(group)->primary;
    const status_answer answer = query_status(m_fleet, primary);
    log_status(group, "check_role", primary, answer);
    return answer.status && answer.status->role == endpoint_role::replica;
}

void failover_agent::replace(const group_id& group, replacement kind) {
    const instant give_up = boot_now() + replacement_timeout;
    while (!m_stopped && boot_now() < give_up) {
        if (try_replace(group, kind)) {
            return;
        }
        pause(attempt_pause);
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
    wait_until_primary_unused(*current);
    if (current->was_outdated && current->has_leader && !does_successor_lead(*current)) {
        log_step(*current, "confirm_leader", "another_leads");
        return false;
    }
    if (current->has_leader) {
        return wait_for_promotion(*current) && write_primary(*current, current->record.successor);
    }
    if (boot_now() - current->marked_at > promotion_window) {
        // The next attempt writes a new mark, for which the wait has ended.
        log_step(*current, "promote", "mark_outdated");
        return false;
    }
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

/// A promotion whose mark the store has lost may have taken effect during the wait. Its endpoint
/// and the former primary then both report that they lead, in different terms.
bool failover_agent::does_successor_lead(const replacement_run& current) const {
    term_number newest = current.term;
    const auto candidates = ask_candidates(current.group, current.record, true, newest);
    const auto leader = find_leader(candidates, std::max(newest, current.leader_term));
    return leader && candidates[*leader].id == current.record.successor;
}

bool failover_agent::has_stopped_using_primary(const replacement_run& current,
                                               const host_id& host) const {
    if (host == m_self) {
        return true;
    }
    if (m_sync.records().stopped(current.group, host) >= current.record.revision) {
        return true;
    }
    const auto present = m_sync.records().hosts().find(host);
    return present != m_sync.records().hosts().end() &&
           current.users.has_restarted(host, present->second.incarnation);
}

/// Returns when no daemon can use the old primary any more: all have acknowledged the mark, or
/// their leases have expired.
void failover_agent::wait_until_primary_unused(replacement_run& current) {
    primary_stop_progress progress;
    do {
        m_fleet.changed.wait(to_steady(boot_now() + unused_poll_interval));
        if (!current.has_all_hosts) {
            read_users(current);
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
    const auto& users = current.users.hosts();
    progress.registered = users.size();
    progress.stopped =
        static_cast<std::size_t>(std::count_if(users.begin(), users.end(), [&](const auto& user) {
            return has_stopped_using_primary(current, user.first);
        }));
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
    for (const auto& [host, incarnation] : current.users.hosts()) {
        if (m_sync.records().stopped(current.group, host) >= current.record.revision) {
            result.insert(host);
        }
    }
    return result;
}

status_answer failover_agent::query_status_until(const endpoint_id& endpoint,
                                                 instant deadline) const {
    status_answer answer = query_status(m_fleet, endpoint);
    while (answer.is_busy && boot_now() < deadline) {
        pause(poll_interval);
        answer = query_status(m_fleet, endpoint);
    }
    return answer;
}

/// Lets the successor receive the old primary's log for at most `log_handover_timeout`, then makes
/// the old primary a replica. Skipped when the old primary does not answer; one that this host
/// cannot reach is not asked, because callers wait for the new primary meanwhile.
void failover_agent::hand_over_log(replacement_run& current) {
    const auto pool = m_fleet.pool(current.old_primary);
    const bool may_answer = pool && pool->health().is_reachable();
    const status_answer answer =
        may_answer ? query_status_until(current.old_primary, boot_now() + busy_timeout)
                   : status_answer{std::nullopt, "passed_over"};
    log_status(current.group, "hand_over_log", current.old_primary, answer);
    const auto& last = answer.status;
    if (!last || last->role != endpoint_role::primary) {
        log_step(current, "hand_over_log", "old_primary_silent");
        return;
    }
    const instant deadline = boot_now() + log_handover_timeout;
    bool complete = false;
    while (!complete && boot_now() < deadline) {
        const auto status = query_status(m_fleet, current.record.successor).status;
        complete = status && status->received >= last->received;
        if (!complete) {
            pause(poll_interval);
        }
    }
    const term_number next = std::max(current.term, last->term) + 1;
    const auto stepped_down =
        run_status_command(m_fleet, current.old_primary, platform::step_down_text(next)).status;
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
    if (m_stopped || !still_marked || boot_now() - current.marked_at > promotion_window) {
        log_step(current, "promote", "mark_lost");
        return false;
    }
    const platform::promotion_request request{current.group, current.record.successor, m_self,
                                              current.record.revision};
    const instant sent = boot_now();
    const auto answer = client.promote(request, to_steady(sent + promotion_timeout));
    m_counters.count("promotions", platform::to_string(answer));
    m_counters.observe_seconds("promotion", current.group.str(),
                               (boot_now() - sent).ms() / ms_per_s);
    log_step(current, "promote", platform::to_string(answer), sent);
    const bool may_run = answer == platform::promotion_answer::accepted ||
                         answer == platform::promotion_answer::unknown;
    if (answer == platform::promotion_answer::accepted) {
        current.accepted_at = sent;
    }
    if (may_run) {
        current.may_be_promoted = true;
        m_pending.on_sent(current.group, current.record.successor, sent);
    }
    return may_run;
}

/// An accepted promotion has taken effect when it has settled, whatever the term: endpoints that
/// lost their logs may count terms anew.
bool failover_agent::wait_for_promotion(replacement_run& current) {
    const endpoint_id& successor = current.record.successor;
    const instant give_up = current.accepted_at ? *current.accepted_at + promotion_settle_time
                                                : boot_now() + takeover_timeout;
    for (;;) {
        const bool is_over = boot_now() >= give_up;
        const status_answer answer = query_status(m_fleet, successor);
        const reported_role reported = answer.status
                                           ? reported_role{answer.status->role, answer.status->term}
                                           : reported_role{};
        const bool has_settled = current.accepted_at && is_over;
        const bool is_effective = leads(reported, current.leader_term) ||
                                  (has_settled && reported.role == endpoint_role::primary);
        if (is_effective || is_over) {
            log_status(current.group, "wait_until_leads", successor, answer);
        }
        if (is_effective) {
            m_pending.on_effect(current.group, successor);
            current.term = answer.status->term;
            // No host writes before the record names the new primary, so its log still ends where
            // it took over.
            current.taken_over_at = answer.status->received;
            return true;
        }
        if (is_over) {
            log_step(current, "wait_until_leads", "timeout");
            return false;
        }
        pause(poll_interval);
    }
}

bool failover_agent::write_primary(replacement_run& current, const endpoint_id& primary) {
    group_record record = current.record;
    record.phase = leadership_phase::led;
    record.replaced_revision = 0;
    record.primary = primary;
    record.successor = endpoint_id{};
    // An endpoint that has taken the primary's place with its term has not taken over its log
    // there.
    if (current.taken_over_at && current.term != record.term) {
        record.term = current.term;
        record.taken_over_at = *current.taken_over_at;
    }
    const bool written = write_record(current, record);
    log_step(current, "finish", written ? "written" : "not_written");
    return written;
}

}  // namespace jasminelead::proxy
