#include "jasminelead/acknowledger.h"

#include <algorithm>
#include <utility>

namespace jasminelead {
namespace {

using namespace acknowledger_timing;

void keep_earliest(std::optional<instant>& due, instant at) {
    due = due ? std::min(*due, at) : at;
}

bool requires_replica_durability(const core_context& context, const group_id& group) {
    if (context.config == nullptr) {
        return true;
    }
    const auto row = context.config->groups.find(group);
    return row == context.config->groups.end() || row->second.acknowledge == durability::replica;
}

/// True when the endpoint's log is a copy of the log of its term's primary up to its position.
bool log_matches_term(const endpoint_state& state) {
    const term_number term = state.stamp.term;
    const bool copied = state.terms.size() != 0 && (state.terms.end() - 1)->term == term;
    return state.stamp.log_term == term || copied;
}

}  // namespace

acknowledger::acknowledger(core_context& context, failover& groups)
    : m_context{context}, m_groups{groups} {}

std::vector<acknowledger::result> acknowledger::take_results() {
    return std::exchange(m_results, {});
}

bool acknowledger::has_majority(const group_id& group, instant now) const {
    const auto found = m_acks.find(group);
    return found == m_acks.end() || !found->second.unconfirmed_since ||
           now - *found->second.unconfirmed_since < majority_timeout;
}

acknowledger::ticket acknowledger::submit(const group_id& group, const endpoint_id& primary,
                                          const position_stamp& executed, instant deadline,
                                          instant now, action_list& out) {
    const ticket id = ++m_last_ticket;
    const bool stale =
        executed.role != endpoint_role::primary || m_groups.highest_term(group) > executed.term;
    if (!m_context.enabled.fencing) {
        const bool holds = m_context.checks->check(promise::superseded_ack, !stale);
        m_results.push_back({id, holds});
        return id;
    }
    // A fenced instance reports the new term before it knows the new primary, so it must not be
    // registered as the primary of that term.
    if (stale) {
        m_results.push_back({id, false});
        return id;
    }
    group_acks& acks = open(group, primary, executed.term);
    if (executed.term < acks.term) {
        m_results.push_back({id, false});
        return id;
    }
    if (acks.writes.empty()) {
        acks.unconfirmed_since = now;
    }
    std::erase_if(acks.writes, [](const write& w) { return w.reported; });
    acks.required_position = std::max(acks.required_position, executed.position);
    acks.writes.push_back({id, executed.position, deadline, false});
    send_status_calls(acks, now, out);
    return id;
}

/// Returns the group's state. A newer term than before fails the pending writes of the old one.
acknowledger::group_acks& acknowledger::open(const group_id& group, const endpoint_id& primary,
                                             term_number term) {
    group_acks& acks = m_acks[group];
    if (acks.term < term) {
        fail_all(acks);
        acks = {};
        acks.id = group;
        acks.primary = primary;
        acks.term = term;
    }
    const auto endpoints = m_context.fleet->endpoints_of(group);
    const bool same = std::equal(
        endpoints.begin(), endpoints.end(), acks.instances.begin(), acks.instances.end(),
        [](const endpoint_entry& entry, const instance& at) { return entry.id == at.id; });
    if (!same) {
        acks.instances.clear();
        for (const endpoint_entry& entry : endpoints) {
            acks.instances.push_back({});
            acks.instances.back().id = entry.id;
        }
    }
    return acks;
}

bool acknowledger::superseded(const group_acks& acks) const {
    return m_groups.highest_term(acks.id) > acks.term;
}

void acknowledger::fail_all(group_acks& acks) {
    for (const write& w : acks.writes) {
        if (!w.reported) {
            m_results.push_back({w.id, false});
        }
    }
    acks.writes.clear();
    acks.unconfirmed_since.reset();
}

// ---- Confirmation ------------------------------------------------------------------------------

bool acknowledger::confirms(const group_acks& acks, const instance& by, const write& w) {
    const bool applied =
        by.id == acks.primary || !acks.replica_durability || by.applied >= w.position;
    return by.confirmed_ticket >= w.id && applied;
}

bool acknowledger::confirmed(const group_acks& acks, const write& w) {
    std::size_t votes = 0;
    bool primary = false;
    for (const instance& by : acks.instances) {
        if (confirms(acks, by, w)) {
            ++votes;
            primary = primary || by.id == acks.primary;
        }
    }
    return primary && votes >= majority_of(acks.instances.size());
}

void acknowledger::confirm(group_acks& acks, instant now) {
    acks.replica_durability = requires_replica_durability(m_context, acks.id);
    bool any = false;
    const auto finish = [&](const write& w) {
        if (!confirmed(acks, w)) {
            return false;
        }
        any = true;
        if (!w.reported) {
            const group_view& view = m_groups.view(acks.id);
            const bool leads = view.term < acks.term || view.primary == acks.primary;
            const bool holds =
                m_context.checks->check(promise::superseded_ack, leads && !superseded(acks));
            m_results.push_back({w.id, holds});
        }
        return true;
    };
    std::erase_if(acks.writes, finish);
    if (acks.writes.empty()) {
        acks.unconfirmed_since.reset();
    } else if (any) {
        acks.unconfirmed_since = now;
    }
}

// ---- Status calls ------------------------------------------------------------------------------

/// Time of the next status call to the instance; empty when none is needed.
std::optional<instant> acknowledger::call_due(const group_acks& acks, const instance& to) {
    if (acks.writes.empty() || to.call != 0) {
        return std::nullopt;
    }
    const bool term_unconfirmed = to.confirmed_ticket < acks.writes.back().id;
    const bool behind =
        acks.replica_durability && to.id != acks.primary && to.applied < acks.required_position;
    if (!term_unconfirmed && !behind) {
        return std::nullopt;
    }
    // Only the newest expired write is kept, so no caller is waiting when the first one has
    // expired.
    if (acks.writes.front().reported) {
        return to.sent + probe_interval;
    }
    return term_unconfirmed ? to.retry_at : std::max(to.retry_at, to.next_position_poll);
}

void acknowledger::send_status_calls(group_acks& acks, instant now, action_list& out) {
    for (instance& to : acks.instances) {
        const auto due = call_due(acks, to);
        if (!due || now < *due) {
            continue;
        }
        to.call = ++m_last_call;
        to.ticket_at_send = acks.writes.back().id;
        to.sent = now;
        out.emplace_back(control_call{
            {call_module::acknowledger, to.call}, to.id, status_query{}, false, status_timeout});
    }
}

void acknowledger::on_control(const control_answered& answer, instant now, action_list& out) {
    const endpoint_entry* entry = m_context.fleet->endpoint(answer.endpoint);
    const auto found = entry == nullptr ? m_acks.end() : m_acks.find(entry->group);
    if (found == m_acks.end()) {
        return;
    }
    group_acks& acks = found->second;
    const auto from = std::find_if(
        acks.instances.begin(), acks.instances.end(),
        [&](const instance& i) { return i.id == answer.endpoint && i.call == answer.id.number; });
    if (from == acks.instances.end() || from->call == 0) {
        return;
    }
    from->call = 0;
    const auto* answered = std::get_if<control_result>(&answer.answer);
    if (answered == nullptr) {
        call_failed(acks, *from, std::get<endpoint_error>(answer.answer), now, out);
    } else if (now > from->sent + status_timeout) {
        // The daemon was paused or the answer was delayed, so it is too old to confirm a write.
        call_failed(acks, *from, endpoint_error::timeout, now, out);
    } else {
        apply_status(acks, *from, answered->state, now, out);
    }
    send_status_calls(acks, now, out);
}

void acknowledger::apply_status(group_acks& acks, instance& from, const endpoint_state& state,
                                instant now, action_list& out) {
    m_groups.on_state(from.id, state, now, out);
    if (superseded(acks)) {
        fail_all(acks);
        return;
    }
    const bool leads = state.stamp.role == endpoint_role::primary;
    if (state.stamp.term != acks.term || leads != (from.id == acks.primary)) {
        from.retry_at = now + from.poll_interval;
        from.poll_interval = std::min(from.poll_interval * 2, poll_interval_max);
        return;
    }
    const log_position applied = log_matches_term(state) ? state.stamp.position : 0;
    const bool progress = applied > from.applied;
    from.applied = std::max(from.applied, applied);
    from.confirmed_ticket = std::max(from.confirmed_ticket, from.ticket_at_send);
    from.poll_interval = progress ? poll_interval_min : from.poll_interval;
    from.next_position_poll = now + from.poll_interval;
    from.poll_interval = std::min(from.poll_interval * 2, poll_interval_max);
    confirm(acks, now);
}

void acknowledger::call_failed(group_acks& acks, instance& at, endpoint_error error, instant now,
                               action_list& out) {
    at.retry_at = now + poll_interval_max;
    m_groups.on_connection_error(at.id, error, now, out);
    if (superseded(acks)) {
        fail_all(acks);
    }
}

// ---- Timers ------------------------------------------------------------------------------------

void acknowledger::expire(group_acks& acks, instant now, action_list& out) {
    for (instance& at : acks.instances) {
        if (at.call != 0 && now > at.sent + status_timeout) {
            at.call = 0;
            call_failed(acks, at, endpoint_error::timeout, now, out);
        }
    }
    for (write& w : acks.writes) {
        if (!w.reported && now >= w.deadline) {
            w.reported = true;
            m_results.push_back({w.id, false});
        }
    }
    if (acks.writes.empty()) {
        return;
    }
    const ticket newest = acks.writes.back().id;
    std::erase_if(acks.writes, [&](const write& w) { return w.reported && w.id != newest; });
}

void acknowledger::tick(instant now, action_list& out) {
    std::erase_if(m_acks, [&](const auto& item) {
        return item.second.writes.empty() && m_context.fleet->endpoints_of(item.first).empty();
    });
    for (auto& [id, acks] : m_acks) {
        if (superseded(acks)) {
            fail_all(acks);
        }
        expire(acks, now, out);
        send_status_calls(acks, now, out);
    }
}

std::optional<instant> acknowledger::next_wakeup() const {
    std::optional<instant> next;
    for (const auto& [id, acks] : m_acks) {
        for (const write& w : acks.writes) {
            if (!w.reported) {
                keep_earliest(next, w.deadline);
            }
        }
        for (const instance& at : acks.instances) {
            if (const auto due = call_due(acks, at)) {
                keep_earliest(next, *due);
            }
            if (at.call != 0) {
                keep_earliest(next, at.sent + status_timeout + duration::from_us(1));
            }
        }
    }
    return next;
}

}  // namespace jasminelead
