#include <algorithm>
#include <utility>

#include "jasminelead/failover.h"

namespace jasminelead {
namespace {

using namespace failover_timing;
using detail::call_purpose;
using detail::group_activity;

std::optional<log_position> start_of(const term_history& terms, term_number term) {
    for (const term_start& start : terms) {
        if (start.term == term) {
            return start.position;
        }
    }
    return std::nullopt;
}

}  // namespace

// ---- Control calls -----------------------------------------------------------------------------

void failover::call(group& g, std::size_t index, call_purpose purpose, control_request request,
                    bool new_connection, instant now, action_list& out) {
    const std::uint64_t number = ++m_last_call;
    g.calls.push_back({number, purpose, index, g.round, now + status_timeout});
    out.emplace_back(control_call{{call_module::failover, number},
                                  g.instances[index].id,
                                  std::move(request),
                                  new_connection,
                                  status_timeout});
}

void failover::on_control(const control_answered& answer, instant now, action_list& out) {
    const auto at = find(answer.endpoint);
    if (!at) {
        return;
    }
    group& g = *at->parent;
    const auto found = std::find_if(g.calls.begin(), g.calls.end(), [&](const auto& pending) {
        return pending.number == answer.id.number;
    });
    if (found == g.calls.end() || found->instance != at->index) {
        return;
    }
    const detail::control_attempt pending = *found;
    g.calls.erase(found);
    const auto* result = std::get_if<control_result>(&answer.answer);
    const auto* error = std::get_if<endpoint_error>(&answer.answer);
    if (now > pending.expiry) {
        // After a pause of this daemon a late answer no longer reflects the current state.
        result = nullptr;
    }
    answered(g, pending, result, error != nullptr ? *error : endpoint_error::timeout, now, out);
    step(g, now, out);
}

void failover::expire_calls(group& g, instant now, action_list& out) {
    while (true) {
        const auto found = std::find_if(g.calls.begin(), g.calls.end(),
                                        [&](const auto& call) { return now > call.expiry; });
        if (found == g.calls.end()) {
            return;
        }
        const detail::control_attempt pending = *found;
        g.calls.erase(found);
        answered(g, pending, nullptr, endpoint_error::timeout, now, out);
    }
}

void failover::answered(group& g, const detail::control_attempt& call, const control_result* result,
                        endpoint_error error, instant now, action_list& out) {
    const bool current = call.round == g.round;
    instance& at = g.instances[call.instance];
    if (current) {
        at.asked = false;
    }
    if (result != nullptr) {
        apply_state(g, at, result->state, now, out);
    }
    const bool alive = result != nullptr && at.id == g.view.primary &&
                       result->state.stamp.role == endpoint_role::primary &&
                       result->state.stamp.term == g.view.term;
    switch (call.purpose) {
        case call_purpose::heartbeat:
        case call_purpose::probe:
            if (alive) {
                g.probing = false;
            } else if (result == nullptr && call.purpose == call_purpose::heartbeat) {
                suspect(g, error, now, out);
            } else if (result == nullptr) {
                probe_failed(g, error, now, out);
            }
            return;
        case call_purpose::survey:
            if (current && g.activity == group_activity::surveying) {
                at.answer = result == nullptr ? std::nullopt : std::optional{result->state};
                evaluate_survey(g, now, out);
            }
            return;
        case call_purpose::fence:
            if (current && g.activity == group_activity::fencing) {
                if (result != nullptr && result->accepted) {
                    at.answer = result->state;
                } else if (result != nullptr) {
                    at.refused = true;
                }
                evaluate_fences(g, now, out);
            }
            return;
        case call_purpose::promote:
            if (current) {
                promote_answered(g, result, now, out);
            }
            return;
        case call_purpose::follow:
        case call_purpose::check:
            on_repair_answered(g, at, result, call.purpose, now);
            return;
    }
}

// ---- Repair ------------------------------------------------------------------------------------

void failover::repair(group& g, instant now, action_list& out) {
    for (std::size_t i = 0; i < g.instances.size(); ++i) {
        instance& at = g.instances[i];
        if (!at.owned || at.id == g.view.primary || now < at.next_repair) {
            continue;
        }
        at.next_repair = now + at.repair_pause;
        if (at.following < g.view.term) {
            at.repair_pause = std::min(at.repair_pause * 2, follow_retry_max);
            send_follow(g, i, now, out);
        } else {
            at.next_repair = now + replica_check_interval;
            call(g, i, call_purpose::check, status_query{}, false, now, out);
        }
    }
}

void failover::send_follow(group& g, std::size_t index, instant now, action_list& out) {
    const auto start = start_of(g.terms, g.view.term);
    if (start) {
        const follow_request request{g.view.term, g.view.primary, *start};
        call(g, index, call_purpose::follow, request, false, now, out);
    } else if (const auto primary = find(g.view.primary)) {
        // The primary's answer contains the start position of the term.
        call(g, primary->index, call_purpose::check, status_query{}, false, now, out);
    }
}

void failover::on_repair_answered(group& g, instance& at, const control_result* result,
                                  call_purpose purpose, instant now) {
    if (purpose == call_purpose::check || result == nullptr || !result->accepted) {
        return;
    }
    if (result->state.stamp.term == g.view.term && at.id != g.view.primary) {
        at.following = g.view.term;
        at.repair_pause = follow_retry_min;
        at.next_repair = now + replica_check_interval;
    }
}

}  // namespace jasminelead
