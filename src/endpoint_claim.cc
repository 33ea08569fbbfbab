#include "jasminelead/endpoint_claim.h"

#include <algorithm>
#include <random>
#include <utility>

namespace jasminelead {
namespace {

using namespace literals;

constexpr duration call_timeout = 200_ms;
/// An adapter that loses a call must not block the claim forever.
constexpr duration call_expiry = call_timeout * 2;
constexpr duration initial_backoff = 50_ms;
constexpr duration max_backoff = 1_s;
constexpr duration initial_hold_down = 2_s;
constexpr duration max_hold_down = 30_s;
/// A claim held for this long without a displacement resets the hold-down to 2 s.
constexpr duration displacement_reset_time = 60_s;
/// A daemon that hands over an endpoint may drain for 10 s; 1 s is added for its release.
constexpr duration max_handover_wait = 11_s;
constexpr duration handover_poll = 100_ms;
/// Interval at which the endpoint is polled during a hold-down for a release by its holder.
constexpr duration hold_down_poll = 250_ms;
constexpr std::uint32_t max_release_attempts = 3;
constexpr std::uint32_t max_doublings = 4;

}  // namespace

void endpoint_claim::advance(core_context& context, bool wanted, std::uint64_t& last_call,
                             instant now, action_list& out) {
    if (m_call != 0 && m_call_expires <= now) {
        m_call = 0;
        if (!held()) {
            retry_later(context, now);
        }
    }
    if (m_call != 0 || now < m_next_attempt) {
        return;
    }
    if (m_phase == phase::releasing) {
        ++m_release_attempts;
        send(release_request{m_epoch}, last_call, now, out);
    } else if (m_phase == phase::held) {
        if (std::exchange(m_verify, false)) {
            send(status_query{}, last_call, now, out);
        }
    } else if (!wanted) {
        m_phase = phase::none;
    } else if (!context.enabled.claim) {
        acquire(0, now);
    } else if (m_phase == phase::claiming) {
        send(claim_request{m_epoch, context.self}, last_call, now, out);
    } else {
        send(status_query{}, last_call, now, out);
    }
}

void endpoint_claim::send(control_request request, std::uint64_t& last_call, instant now,
                          action_list& out) {
    m_call = ++last_call;
    m_call_expires = now + call_expiry;
    const call_id id{call_module::owner, m_call};
    out.emplace_back(control_call{id, m_endpoint, std::move(request), false, call_timeout});
}

void endpoint_claim::retry_later(core_context& context, instant now) {
    m_backoff = std::clamp(m_backoff * 2, initial_backoff, max_backoff);
    // Jitter desynchronises daemons that compete for an endpoint.
    std::uniform_real_distribution<double> jitter{0.5, 1.0};
    m_next_attempt = now + m_backoff * jitter(context.random);
    if (m_phase == phase::claiming) {
        m_phase = phase::none;
    }
    if (m_phase == phase::releasing && m_release_attempts >= max_release_attempts) {
        // The next owner can claim the endpoint without a release.
        m_phase = phase::none;
    }
}

endpoint_claim::change endpoint_claim::on_answer(core_context& context,
                                                 const control_answered& answered, instant now) {
    if (answered.id.module != call_module::owner || answered.id.number != m_call || m_call == 0) {
        return change::none;
    }
    m_call = 0;
    if (const auto* result = std::get_if<control_result>(&answered.answer)) {
        return on_result(context, *result, now);
    }
    if (held()) {
        // Without an answer the claim is assumed to be held; opening a connection would reveal its
        // loss.
        return change::none;
    }
    retry_later(context, now);
    const bool refused = std::get<endpoint_error>(answered.answer) == endpoint_error::refused;
    return refused ? change::unreachable : change::none;
}

endpoint_claim::change endpoint_claim::on_result(core_context& context,
                                                 const control_result& result, instant now) {
    m_holder = result.state.owner;
    if (m_phase == phase::none) {
        return on_status(context, result.state, now);
    }
    if (m_phase == phase::releasing) {
        // A refused release means that another daemon has already claimed the endpoint.
        m_phase = phase::none;
        return change::none;
    }
    const bool ours = result.state.owner == context.self;
    if (m_phase == phase::claiming) {
        if (result.accepted && ours) {
            return acquire(result.state.epoch, now);
        }
        retry_later(context, now);
        return change::none;
    }
    if (ours && result.state.epoch == m_epoch) {
        return change::none;
    }
    displace(now);
    return change::displaced;
}

endpoint_claim::change endpoint_claim::on_status(core_context& context, const endpoint_state& state,
                                                 instant now) {
    // The hold-down applies only while two daemons contend for the endpoint. A holder that released
    // its claim no longer contends.
    const bool contested = !state.owner.empty() && state.owner != context.self;
    if (contested && in_hold_down(now)) {
        m_next_attempt = std::min(now + hold_down_poll, m_hold_down_until);
        return change::none;
    }
    if (must_wait_for(context, state, now)) {
        m_next_attempt = now + handover_poll;
        return change::none;
    }
    m_epoch = state.epoch;
    m_phase = phase::claiming;
    m_next_attempt = now;
    return change::none;
}

bool endpoint_claim::must_wait_for(const core_context& context, const endpoint_state& state,
                                   instant now) {
    const host_id& holder = state.owner;
    const bool alive = context.fleet->host(holder) != nullptr || context.leaving.contains(holder);
    // A holder without connections has no work to finish; it may have been restarted.
    const bool releases = alive && holder != context.self && state.connections_open > 0;
    if (!releases) {
        m_waiting_for = host_id{};
        return false;
    }
    if (m_waiting_for != holder) {
        m_waiting_for = holder;
        m_wait_until = now + max_handover_wait;
    }
    return now < m_wait_until;
}

endpoint_claim::change endpoint_claim::acquire(epoch_number epoch, instant now) {
    m_phase = phase::held;
    m_epoch = epoch;
    m_backoff = duration{};
    m_next_attempt = now;
    m_held_since = now;
    m_verify = false;
    m_waiting_for = host_id{};
    return change::acquired;
}

void endpoint_claim::displace(instant now) {
    if (held() && now - m_held_since >= displacement_reset_time) {
        m_displacements = 0;
    }
    const auto doublings = std::min(m_displacements, max_doublings);
    const duration hold_down = initial_hold_down * static_cast<double>(1U << doublings);
    ++m_displacements;
    m_phase = phase::none;
    m_call = 0;
    m_hold_down_until = now + std::min(hold_down, max_hold_down);
    m_next_attempt = now + hold_down_poll;
}

void endpoint_claim::release(const core_context& context, instant now) {
    if (!held()) {
        return;
    }
    m_phase = context.enabled.claim ? phase::releasing : phase::none;
    m_call = 0;
    m_release_attempts = 0;
    m_next_attempt = now;
}

std::optional<instant> endpoint_claim::next_wakeup(bool wanted) const {
    if (m_call != 0) {
        return m_call_expires;
    }
    const bool has_work =
        m_phase == phase::releasing || (held() ? m_verify : wanted || m_phase == phase::claiming);
    if (!has_work) {
        return std::nullopt;
    }
    return m_next_attempt;
}

}  // namespace jasminelead
