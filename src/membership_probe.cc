#include <algorithm>
#include <utility>

#include "jasminelead/membership.h"

namespace jasminelead {
namespace {

using namespace literals;

constexpr duration ping_interval = 500_ms;
constexpr duration ack_timeout = 200_ms;
constexpr duration indirect_timeout = 300_ms;
constexpr duration suspicion_timeout = 1_s;
/// Shorter than `suspicion_timeout`, because a refused connection shows that no process listens.
constexpr duration refused_suspicion_timeout = 300_ms;
constexpr duration relayed_probe_timeout = 1_s;
constexpr std::size_t indirect_pings = 2;
constexpr std::size_t updates_per_message = 4;
/// Hosts that joined within this time are sent the departed hosts.
constexpr duration recent_join_window = 10_s;
constexpr std::size_t leave_pings = 3;
/// Ticks come at least every ping interval, so a longer gap means that this process was paused.
constexpr duration process_pause_threshold = 1_s;

}  // namespace

void membership::on_ping(const host_id& from, const ping& message, instant now, action_list& out) {
    apply_updates(message.updates, now);
    on_alive(from, message.incarnation, now);
    // The ack includes the recorded state of the sender, so that it can refute a suspicion.
    auto updates = updates_for(from, now);
    out.emplace_back(send_peer{
        from, ping_ack{message.sequence, m_incarnation, table_revision(), std::move(updates)}});
}

void membership::on_ping_ack(const host_id& from, const ping_ack& message, instant now,
                             action_list& out) {
    apply_updates(message.updates, now);
    on_alive(from, message.incarnation, now);
    for (const probe& item : m_probes) {
        if (item.sequence == message.sequence && item.target == from && item.requested_by) {
            out.emplace_back(
                send_peer{*item.requested_by, ping_request_ack{item.requester_sequence, from}});
        }
    }
    std::erase_if(m_probes, [&](const probe& item) {
        return item.target == from && item.sequence == message.sequence;
    });
}

void membership::on_ping_request(const host_id& from, const ping_request& message, instant now,
                                 action_list& out) {
    if (!m_members.contains(message.target)) {
        return;
    }
    probe item;
    item.requested_by = from;
    item.requester_sequence = message.sequence;
    send_ping(message.target, std::move(item), now, out);
}

void membership::on_ping_request_ack(const host_id& /*from*/, const ping_request_ack& message,
                                     instant now, action_list& /*out*/) {
    const auto answered = std::erase_if(m_probes, [&](const probe& item) {
        return item.sequence == message.sequence && item.target == message.target;
    });
    if (answered > 0) {
        on_peer_heard(message.target, now);
    }
}

void membership::on_peer_failed(const peer_failed& failure, instant now, action_list& out) {
    if (failure.error == endpoint_error::refused) {
        suspect(failure.peer, refused_suspicion_timeout, now, out);
        return;
    }
    const bool probed = std::any_of(m_probes.begin(), m_probes.end(),
                                    [&](const probe& item) { return item.target == failure.peer; });
    if (!probed && m_members.contains(failure.peer)) {
        send_ping(failure.peer, {}, now, out);
    }
}

void membership::tick(instant now, action_list& out) {
    if (now - m_last_tick > process_pause_threshold) {
        resume_after_pause(now);
    }
    m_last_tick = now;
    check_probes(now, out);
    check_suspects(now);
    if (now >= m_next_ping) {
        m_next_ping = now + ping_interval;
        probe_next(now, out);
    }
    for (std::string& line : m_log_lines) {
        out.emplace_back(log_state{std::move(line)});
    }
    m_log_lines.clear();
}

std::optional<instant> membership::next_wakeup() const {
    instant next = m_next_ping;
    for (const probe& item : m_probes) {
        const duration timeout = item.requested_by ? relayed_probe_timeout : ack_timeout;
        next =
            std::min(next, item.sent + timeout + (item.indirect ? indirect_timeout : duration{}));
    }
    for (const host_id& host : m_hosts_with_deadline) {
        const member& item = m_members.at(host);
        if (item.state == liveness::suspect) {
            next =
                std::min(next, item.suspicion_deadline.value_or(item.reported_suspicion_deadline));
        } else {
            next = std::min(next, item.hold_down_until);
        }
    }
    return next;
}

/// Drops probes and restarts suspicion timeouts, because hosts that seemed silent during a pause of
/// this process may have answered.
void membership::resume_after_pause(instant now) {
    m_probes.clear();
    for (const host_id& host : m_hosts_with_deadline) {
        member& item = m_members.at(host);
        if (item.suspicion_deadline) {
            item.suspicion_deadline = now + suspicion_timeout;
        }
    }
}

void membership::probe_next(instant now, action_list& out) {
    if (m_probe_queue.empty()) {
        for (const auto& [host, item] : m_members) {
            if (item.entry) {
                m_probe_queue.push_back(host);
            }
        }
        std::shuffle(m_probe_queue.begin(), m_probe_queue.end(), m_context.random);
    }
    while (!m_probe_queue.empty()) {
        const host_id target = std::move(m_probe_queue.back());
        m_probe_queue.pop_back();
        if (m_members.contains(target)) {
            // Dead hosts are pinged as well, so that the sides of a healed partition reconnect.
            send_ping(target, {}, now, out);
            return;
        }
    }
}

void membership::send_ping(const host_id& target, probe item, instant now, action_list& out) {
    item.sequence = ++m_sequence;
    item.target = target;
    item.sent = now;
    auto updates = updates_for(target, now);
    out.emplace_back(send_peer{
        target, ping{item.sequence, m_incarnation, table_revision(), std::move(updates)}});
    m_probes.push_back(std::move(item));
}

std::vector<member_update> membership::updates_for(const host_id& to, instant now) {
    std::vector<member_update> updates;
    const auto found = m_members.find(to);
    if (found != m_members.end() && found->second.state != liveness::alive) {
        updates.push_back({to, found->second.incarnation, found->second.state});
    }
    for (member_update& update : m_updates.take(updates_per_message - updates.size())) {
        if (update.host != to) {
            updates.push_back(std::move(update));
        }
    }
    const bool is_new = found != m_members.end() && found->second.joined_at &&
                        now - *found->second.joined_at < recent_join_window;
    if (is_new) {
        append_departed(updates);
    }
    return updates;
}

/// Fills the updates with departed hosts. A host that joined recently has missed the updates of
/// earlier deaths and would otherwise have to detect each dead host itself.
void membership::append_departed(std::vector<member_update>& updates) {
    std::vector<member_update> gone;
    for (const auto& [host, item] : m_members) {
        const bool is_gone = item.state == liveness::dead || item.state == liveness::left;
        if (is_gone && item.entry) {
            gone.push_back({host, item.incarnation, item.state});
        }
    }
    const auto next = std::find_if(gone.begin(), gone.end(), [this](const member_update& update) {
        return update.host > m_last_departed;
    });
    std::rotate(gone.begin(), next, gone.end());
    for (const member_update& update : gone) {
        if (updates.size() < updates_per_message &&
            std::find(updates.begin(), updates.end(), update) == updates.end()) {
            updates.push_back(update);
            m_last_departed = update.host;
        }
    }
}

void membership::check_probes(instant now, action_list& out) {
    std::vector<host_id> failed;
    for (probe& item : m_probes) {
        const duration waited = now - item.sent;
        if (item.requested_by) {
            continue;
        }
        if (!item.indirect && waited >= ack_timeout) {
            item.indirect = true;
            request_indirect_pings(item, out);
        }
        if (waited >= ack_timeout + indirect_timeout) {
            failed.push_back(item.target);
        }
    }
    std::erase_if(m_probes, [now](const probe& item) {
        const duration timeout =
            item.requested_by ? relayed_probe_timeout : ack_timeout + indirect_timeout;
        return now - item.sent >= timeout;
    });
    for (const host_id& target : failed) {
        probe_failed(target, now, out);
    }
}

void membership::request_indirect_pings(probe& item, action_list& out) {
    const auto found = m_members.find(item.target);
    if (found == m_members.end() || found->second.state != liveness::alive) {
        return;
    }
    for (const host_id& helper : pick_random_alive(indirect_pings, item.target)) {
        out.emplace_back(send_peer{helper, ping_request{item.sequence, item.target}});
    }
}

void membership::probe_failed(const host_id& target, instant now, action_list& out) {
    const auto found = m_members.find(target);
    const bool suspected = found != m_members.end() && found->second.suspicion_deadline;
    if (!suspected) {
        suspect(target, suspicion_timeout, now, out);
    }
}

void membership::check_suspects(instant now) {
    const std::vector<host_id> timed{m_hosts_with_deadline.begin(), m_hosts_with_deadline.end()};
    for (const host_id& host : timed) {
        member& item = m_members.at(host);
        const bool suspected = item.state == liveness::suspect;
        if (suspected && item.suspicion_deadline && now >= *item.suspicion_deadline) {
            set_state(host, item, liveness::dead, now);
        } else if (suspected && !item.suspicion_deadline &&
                   now >= item.reported_suspicion_deadline) {
            set_state(host, item, liveness::alive, now);
        } else if (!suspected && now >= item.hold_down_until) {
            m_hosts_with_deadline.erase(host);
            update_fleet(now);
        }
    }
}

std::vector<host_id> membership::pick_random_alive(std::size_t wanted, const host_id& except) {
    std::vector<host_id> hosts;
    for (const auto& [host, item] : m_members) {
        if (item.entry && item.state == liveness::alive && host != except) {
            hosts.push_back(host);
        }
    }
    std::shuffle(hosts.begin(), hosts.end(), m_context.random);
    hosts.resize(std::min(wanted, hosts.size()));
    return hosts;
}

void membership::leave(instant now, action_list& out) {
    m_leaving = true;
    update_fleet(now);
    m_updates.push({m_context.self, m_incarnation, liveness::left}, m_members.size());
    for (const host_id& peer : pick_random_alive(leave_pings, {})) {
        send_ping(peer, {}, now, out);
    }
}

revision_number membership::table_revision() const {
    return m_context.config ? m_context.config->revision : 0;
}

}  // namespace jasminelead
