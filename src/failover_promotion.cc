#include <algorithm>
#include <random>
#include <tuple>
#include <utility>

#include "jasminelead/failover.h"

namespace jasminelead {

using namespace failover_timing;
using detail::call_purpose;
using detail::group_activity;

void failover::begin_promotion(group& g, instant now, action_list& out) {
    const instant earliest = m_policy->earliest_promotion(g.primary_alive);
    if (now < earliest) {
        wait(g, std::min(earliest, now + survey_interval));
        return;
    }
    start_attempt(g, endpoint_id{}, now, out);
}

void failover::start_attempt(group& g, const endpoint_id& successor, instant now,
                             action_list& out) {
    // Attempt numbers restart at 1 with the daemon; the incarnation keeps candidates unique.
    const std::string attempt = std::to_string(++m_last_attempt);
    const std::string candidate =
        m_context.self.str() + "/" + std::to_string(m_context.incarnation) + "/" + attempt;
    g.highest_term = std::max(g.highest_term, g.view.term) + 1;
    g.attempt = {};
    g.attempt.term = g.highest_term;
    g.attempt.candidate = candidate;
    g.attempt.successor = successor;
    g.activity = group_activity::fencing;
    ++g.round;
    for (instance& at : g.instances) {
        at.answer.reset();
        at.asked = false;
        at.refused = false;
    }
    out.emplace_back(log_state{"group " + g.id.str() + ": starting promotion as candidate " +
                               candidate + " for term " + std::to_string(g.attempt.term)});
    send_fences(g, now, out);
}

/// Sends the fence to the instances that have not answered yet. A retry keeps its term.
void failover::send_fences(group& g, instant now, action_list& out) {
    const fence_request request{g.attempt.term, g.attempt.candidate};
    for (std::size_t i = 0; i < g.instances.size(); ++i) {
        instance& at = g.instances[i];
        if (!at.answer && !at.asked && !at.refused) {
            at.asked = true;
            call(g, i, call_purpose::fence, request, false, now, out);
        }
    }
    g.attempt.retry_at = now + g.attempt.retry_pause;
    g.attempt.retry_pause = std::min(g.attempt.retry_pause * 2, fence_retry_max);
}

/// A planned switch waits for the fences of the successor and of the old primary, because only the
/// old primary has the writes still in progress.
bool failover::planned_fences_pending(const group& g) const {
    if (g.attempt.successor.empty()) {
        return false;
    }
    bool pending = false;
    for (const instance& at : g.instances) {
        const bool needed = at.id == g.view.primary || at.id == g.attempt.successor;
        pending = pending || (needed && !at.answer && at.asked);
    }
    return pending;
}

void failover::evaluate_fences(group& g, instant now, action_list& out) {
    std::size_t accepted = 0;
    std::size_t possible = 0;
    bool refused = false;
    bool superseded = false;
    for (const instance& at : g.instances) {
        accepted += at.answer ? 1 : 0;
        // The suspected primary is not expected to answer.
        const bool expected = at.id != g.view.primary || !g.attempt.successor.empty();
        possible += !at.answer && at.asked && expected ? 1 : 0;
        refused = refused || at.refused;
        superseded = superseded || (at.refused && at.stamp && at.stamp->term > g.attempt.term);
    }
    const std::size_t needed =
        m_context.enabled.fencing ? majority_of(g.instances.size()) : std::size_t{1};
    if (superseded || (refused && accepted + possible < needed)) {
        abandon_attempt(g, now, out);
        return;
    }
    if (accepted < needed || planned_fences_pending(g)) {
        return;
    }
    g.attempt.chosen = choose(g);
    g.activity = group_activity::promoting;
    send_promote(g, now, out);
}

/// Index of the instance with the most complete log among the answers, or the number of instances
/// when no answer qualifies.
std::size_t failover::choose(const group& g) const {
    const bool planning = g.activity != group_activity::fencing;
    const endpoint_entry* primary = m_context.fleet->endpoint(g.view.primary);
    std::size_t best = g.instances.size();
    using order = std::tuple<term_number, log_position, bool, bool, bool, std::int64_t>;
    order best_order;
    for (std::size_t i = 0; i < g.instances.size(); ++i) {
        const instance& at = g.instances[i];
        const endpoint_entry* entry = m_context.fleet->endpoint(at.id);
        const bool staying = entry != nullptr && entry->state != member_state::leaving;
        if (!at.answer || (planning && (at.id == g.view.primary || !staying))) {
            continue;
        }
        const bool near =
            primary != nullptr && entry != nullptr && entry->data_centre == primary->data_centre;
        const order candidate{complete_term(*at.answer),
                              at.answer->stamp.position,
                              at.id == g.attempt.successor,
                              staying,
                              near,
                              -static_cast<std::int64_t>(at.answer->connections_open)};
        // Instances are sorted by name, so the lower name wins a tie.
        if (best == g.instances.size() || candidate > best_order) {
            best = i;
            best_order = candidate;
        }
    }
    return best;
}

void failover::send_promote(group& g, instant now, action_list& out) {
    ++g.attempt.tries;
    const bool repeated = g.attempt.tries > 1;
    const promote_request request{g.attempt.term, g.attempt.candidate};
    call(g, g.attempt.chosen, call_purpose::promote, request, repeated, now, out);
}

void failover::promote_answered(group& g, const control_result* result, instant now,
                                action_list& out) {
    const endpoint_id chosen = g.instances[g.attempt.chosen].id;
    // A write that ran after the last poll leaves the old primary with the most complete log.
    const bool missed = !g.attempt.successor.empty() && g.attempt.successor != chosen;
    if (result != nullptr && result->accepted) {
        const group_view promoted{g.attempt.term, chosen};
        if (promoted.term > g.view.term) {
            adopt(g, promoted, now, out);
        }
        for (std::size_t i = 0; i < g.instances.size(); ++i) {
            if (i != g.attempt.chosen) {
                g.instances[i].next_repair = now + follow_retry_min;
                send_follow(g, i, now, out);
            }
        }
        announce(g, now, out);
        out.emplace_back(count{"failover", "promoted"});
        if (missed && g.activity == group_activity::idle && owns_primary(g) &&
            now < g.switch_deadline) {
            g.successor = g.attempt.successor;
            start_survey(g, detail::survey_purpose::planned_switch, now, out);
        }
        return;
    }
    // The same instance is retried: the unanswered call may have succeeded, and a term must not
    // have two primaries.
    if (result == nullptr && g.attempt.tries < promote_attempts_max) {
        send_promote(g, now, out);
        return;
    }
    abandon_attempt(g, now, out);
}

/// Called when another candidate won or the chosen instance failed as well. After a random backoff
/// a survey determines the state of the group.
void failover::abandon_attempt(group& g, instant now, action_list& out) {
    std::uniform_int_distribution<std::int64_t> backoff{backoff_min.us(), backoff_max.us()};
    out.emplace_back(count{"failover", "attempt_abandoned"});
    g.attempt_unresolved = true;
    g.purpose = detail::survey_purpose::discover;
    wait(g, now + duration::from_us(backoff(m_context.random)));
}

}  // namespace jasminelead
