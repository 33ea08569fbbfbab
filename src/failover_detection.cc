#include <algorithm>
#include <utility>

#include "jasminelead/failover.h"

namespace jasminelead {

using namespace failover_timing;
using detail::call_purpose;
using detail::group_activity;
using detail::survey_purpose;

// ---- Monitoring of the current primary

void failover::monitor(group& g, instant now, action_list& out) {
    if (owns_primary(g)) {
        monitor_primary(g, now, out);
    } else {
        monitor_owner(g, now, out);
    }
}

void failover::monitor_primary(group& g, instant now, action_list& out) {
    const auto primary = find(g.view.primary);
    if (!primary) {
        return;
    }
    if (g.probing) {
        if (now >= g.next_probe) {
            g.next_probe = now + probe_interval;
            call(g, primary->index, call_purpose::probe, status_query{}, true, now, out);
        }
        return;
    }
    const endpoint_entry* entry = m_context.fleet->endpoint(g.view.primary);
    if (entry->state == member_state::leaving && now >= g.next_leaving_switch) {
        g.next_leaving_switch = now + leaving_switch_interval;
        switchover({g.id, {}}, now, out);
        return;
    }
    if (now >= std::max(g.next_heartbeat, g.primary_heard + heartbeat_interval)) {
        g.next_heartbeat = now + heartbeat_interval;
        call(g, primary->index, call_purpose::heartbeat, status_query{}, false, now, out);
    }
}

void failover::monitor_owner(group& g, instant now, action_list& out) {
    if (now >= g.next_query) {
        g.next_query = now + query_interval;
        if (!g.primary_owner.empty()) {
            out.emplace_back(send_peer{g.primary_owner, group_query{g.id}});
        }
    }
    if (now >= candidate_due(g)) {
        start_survey(g, survey_purpose::owner_lost, now, out);
        return;
    }
    const bool owner_overdue =
        g.owner_failed || now >= g.owner_heard + query_interval + direct_check_delay;
    const auto primary = find(g.view.primary);
    if (owner_overdue && now >= g.next_direct_check) {
        g.next_direct_check = now + survey_interval;
        if (primary) {
            call(g, primary->index, call_purpose::check, status_query{}, true, now, out);
        }
    }
}

/// Delays candidates by rank, so that owners rarely start competing promotions.
duration failover::stagger(const group& g, bool with_primary_owner) const {
    std::vector<host_id> order;
    if (with_primary_owner) {
        order.push_back(g.primary_owner);
    }
    for (const instance& at : g.instances) {
        if (at.owner == m_context.self) {
            break;
        }
        if (at.owner != g.primary_owner &&
            std::find(order.begin(), order.end(), at.owner) == order.end()) {
            order.push_back(at.owner);
        }
    }
    const bool first = with_primary_owner && g.primary_owner == m_context.self;
    const auto rank = first ? 0.0 : static_cast<double>(order.size());
    return rank_delay * rank;
}

instant failover::candidate_due(const group& g) {
    return std::max(g.owner_heard, g.primary_heard) + owner_timeout + g.replica_stagger;
}

void failover::on_connection_error(const endpoint_id& endpoint, endpoint_error error, instant now,
                                   action_list& out) {
    const auto at = find(endpoint);
    if (!at || endpoint != at->parent->view.primary || !owns_primary(*at->parent)) {
        return;
    }
    if (error != endpoint_error::reset && error != endpoint_error::refused &&
        error != endpoint_error::timeout) {
        return;
    }
    group& g = *at->parent;
    g.reset_seen = g.reset_seen || (g.probing && error == endpoint_error::reset);
    suspect(g, error, now, out);
    step(g, now, out);
}

void failover::suspect(group& g, endpoint_error error, instant now, action_list& out) {
    if (g.probing || g.activity != group_activity::idle || !owns_primary(g)) {
        return;
    }
    g.probing = true;
    g.reset_seen = error == endpoint_error::reset;
    g.refusals = error == endpoint_error::refused ? 1 : 0;
    g.failures = 0;
    g.next_probe = now;
    out.emplace_back(count{"failover", "primary_suspected"});
}

void failover::probe_failed(group& g, endpoint_error error, instant now, action_list& out) {
    if (!g.probing || g.activity != group_activity::idle) {
        return;
    }
    ++g.failures;
    if (error == endpoint_error::refused) {
        ++g.refusals;
    }
    // A single refusal without a reset may come from a full accept queue.
    const bool dead = g.refusals >= 2 || (g.refusals == 1 && g.reset_seen);
    if (dead) {
        out.emplace_back(log_state{"group " + g.id.str() + ": primary " + g.view.primary.str() +
                                   " refuses connections"});
        g.purpose = survey_purpose::primary_silent;
        begin_promotion(g, now, out);
    } else if (g.failures >= failed_probe_limit) {
        start_survey(g, survey_purpose::primary_silent, now, out);
    }
}

/// Takes the view as current, clears suspicions and resumes monitoring.
void failover::return_to_idle(group& g, instant now) {
    g.activity = group_activity::idle;
    g.highest_term = g.view.term;
    g.primary_heard = now;
    g.primary_alive = now;
    g.probing = false;
    g.attempt_unresolved = false;
    g.leaderless_since.reset();
    g.survey_pause = survey_interval;
    ++g.round;
}

void failover::wait(group& g, instant until) {
    g.activity = group_activity::waiting;
    g.resume_at = until;
    ++g.round;
}

void failover::resume(group& g, instant now, action_list& out) {
    if (g.purpose == survey_purpose::owner_lost) {
        // The monitor queries the primary's owner again and starts the next survey when it is due.
        g.activity = group_activity::idle;
        ++g.round;
        return;
    }
    start_survey(g, g.purpose, now, out);
}

// ---- Surveys

void failover::start_survey(group& g, survey_purpose purpose, instant now, action_list& out) {
    g.activity = group_activity::surveying;
    g.purpose = purpose;
    g.primary_requeried = false;
    ++g.round;
    const bool new_connection = purpose != survey_purpose::planned_switch;
    for (std::size_t i = 0; i < g.instances.size(); ++i) {
        g.instances[i].answer.reset();
        g.instances[i].asked = true;
        call(g, i, call_purpose::survey, status_query{}, new_connection, now, out);
    }
}

void failover::evaluate_survey(group& g, instant now, action_list& out) {
    if (g.purpose == survey_purpose::planned_switch) {
        evaluate_switch(g, now, out);
        return;
    }
    std::size_t answers = 0;
    bool complete = true;
    const instance* top = nullptr;
    for (const instance& at : g.instances) {
        complete = complete && !at.asked;
        if (!at.answer) {
            continue;
        }
        ++answers;
        const position_stamp& stamp = at.answer->stamp;
        const bool higher = top == nullptr || stamp.term > top->answer->stamp.term;
        const bool leads = top != nullptr && stamp.term == top->answer->stamp.term &&
                           stamp.role == endpoint_role::primary;
        top = higher || leads ? &at : top;
    }
    const bool majority = answers >= majority_of(g.instances.size());
    const bool has_primary = top != nullptr && top->answer->stamp.role == endpoint_role::primary;
    if (majority && has_primary && (top->answer->stamp.term >= g.highest_term || complete)) {
        const bool notify_peers = g.attempt_unresolved;
        const group_view found{top->answer->stamp.term, top->id};
        if (found != g.view) {
            adopt(g, found, now, out);
        }
        return_to_idle(g, now);
        if (notify_peers) {
            announce(g, now, out);
        }
        return;
    }
    if (!complete && !(majority && majority_suffices(g))) {
        return;
    }
    if (!majority) {
        wait(g, now + g.survey_pause);
        g.survey_pause = std::min(g.survey_pause * 2, survey_interval_max);
    } else if (g.view.term == 0 || g.highest_term > g.view.term) {
        evaluate_leaderless(g, now, out);
    } else {
        evaluate_suspicion(g, now, out);
    }
}

/// True when a majority of answers is enough to decide whether the primary has failed.
bool failover::majority_suffices(const group& g) const {
    if (g.view.term == 0 || g.highest_term > g.view.term) {
        return false;
    }
    if (g.purpose == survey_purpose::primary_silent) {
        return true;
    }
    // Unlike the primary's owner, the owner of a replica has not probed the primary three times,
    // and it may have been paused itself. It waits for the answers of the primary and of its own
    // instances.
    return std::none_of(g.instances.begin(), g.instances.end(), [&](const instance& at) {
        return at.asked && (at.owned || at.id == g.view.primary);
    });
}

void failover::evaluate_leaderless(group& g, instant now, action_list& out) {
    if (!g.leaderless_since) {
        g.leaderless_since = now;
        out.emplace_back(log_state{"group " + g.id.str() + ": no primary at term " +
                                   std::to_string(g.highest_term)});
    }
    const instant due = *g.leaderless_since + owner_timeout + g.owner_stagger;
    const bool lost_before = g.view.term != 0 && !owns_primary(g) && now >= candidate_due(g);
    if (g.attempt_unresolved || lost_before || now >= due) {
        begin_promotion(g, now, out);
    } else {
        wait(g, std::min(due, now + survey_interval));
    }
}

bool failover::hears_primary(const group& g, const instance& replica) const {
    if (!replica.answer || replica.answer->stamp.term != g.view.term) {
        return false;
    }
    const bool own = replica.owned && g.purpose == survey_purpose::owner_lost;
    const duration limit = own ? owner_timeout : corroboration_window;
    const auto& silence = replica.answer->primary_silence;
    return silence && *silence < limit;
}

void failover::evaluate_suspicion(group& g, instant now, action_list& out) {
    const bool heard = std::any_of(g.instances.begin(), g.instances.end(),
                                   [&](const instance& at) { return hears_primary(g, at); });
    if (heard) {
        // The primary is alive; only this daemon cannot reach it.
        out.emplace_back(count{"failover", "cut_off"});
        wait(g, now + survey_interval);
        return;
    }
    out.emplace_back(log_state{"group " + g.id.str() + ": primary " + g.view.primary.str() +
                               " does not respond"});
    begin_promotion(g, now, out);
}

// ---- Planned switch

void failover::switchover(const switchover_requested& request, instant now, action_list& out) {
    group* g = find(request.group);
    const auto target = find(request.successor);
    const bool known = request.successor.empty() ||
                       (target && target->parent == g && request.successor != g->view.primary);
    if (g == nullptr || !known || !owns_primary(*g) || g->probing ||
        g->activity != group_activity::idle || g->highest_term > g->view.term) {
        out.emplace_back(count{"failover", "switch_refused"});
        return;
    }
    g->successor = request.successor;
    g->switch_deadline = now + switch_timeout;
    g->switch_pause = switch_poll_min;
    g->attempt = {};
    start_survey(*g, survey_purpose::planned_switch, now, out);
}

void failover::evaluate_switch(group& g, instant now, action_list& out) {
    const auto primary = find(g.view.primary);
    const auto answers = std::count_if(g.instances.begin(), g.instances.end(),
                                       [](const instance& at) { return at.answer.has_value(); });
    const bool complete = std::none_of(g.instances.begin(), g.instances.end(),
                                       [](const instance& at) { return at.asked; });
    const bool majority = static_cast<std::size_t>(answers) >= majority_of(g.instances.size());
    if (!primary || (!g.instances[primary->index].answer && !complete) || !(majority || complete)) {
        return;
    }
    if (g.successor.empty() && majority) {
        const std::size_t best = choose(g);
        g.successor = best < g.instances.size() ? g.instances[best].id : endpoint_id{};
    }
    if (g.successor.empty() && !complete) {
        return;
    }
    const auto successor = find(g.successor);
    const auto& leads = g.instances[primary->index].answer;
    const bool must_abandon = !leads || g.highest_term > g.view.term || now >= g.switch_deadline;
    if (must_abandon || !successor) {
        out.emplace_back(count{"failover", "switch_abandoned"});
        g.activity = group_activity::idle;
        ++g.round;
        if (!leads) {
            suspect(g, endpoint_error::timeout, now, out);
        }
        return;
    }
    const instance& next = g.instances[successor->index];
    if (!next.answer && next.asked) {
        return;
    }
    const bool ready = next.answer && next.answer->stamp.term == g.view.term &&
                       complete_term(*next.answer) == g.view.term &&
                       next.answer->stamp.position >= leads->stamp.position;
    if (ready && !g.primary_requeried) {
        // Writes that were in progress when the switch began may have run since the first answer.
        g.primary_requeried = true;
        g.instances[primary->index].asked = true;
        call(g, primary->index, call_purpose::survey, status_query{}, false, now, out);
        return;
    }
    if (g.primary_requeried && g.instances[primary->index].asked) {
        return;
    }
    if (ready) {
        start_attempt(g, g.successor, now, out);
        return;
    }
    wait(g, now + g.switch_pause);
    g.switch_pause = std::min(g.switch_pause * 2, switch_poll_max);
}

}  // namespace jasminelead
