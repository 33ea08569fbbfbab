#pragma once

#include <cstdint>
#include <optional>

#include "jasminelead/context.h"
#include "jasminelead/messages.h"

/// Exclusive claim on one endpoint, acquired, verified and released by control calls.
namespace jasminelead {

class endpoint_claim {
public:
    enum class change { none, acquired, displaced, unreachable };

    explicit endpoint_claim(endpoint_id endpoint) : m_endpoint{std::move(endpoint)} {}

    /// Sends the control call that is due, if any. `wanted`: this daemon should hold the claim.
    void advance(core_context& context, bool wanted, std::uint64_t& last_call, instant now,
                 action_list& out);
    /// Processes the answer to a call of this claim; ignores other answers.
    change on_answer(core_context& context, const control_answered& answered, instant now);
    /// Another daemon holds the claim; the hold-down begins.
    void displace(instant now);
    /// Schedules a query whether the claim is still held.
    void verify() { m_verify = held(); }
    /// Releases the claim. All connections must be closed before.
    void release(const core_context& context, instant now);

    [[nodiscard]] bool held() const { return m_phase == phase::held; }
    /// The answer to verify() is outstanding.
    [[nodiscard]] bool verifying() const { return held() && (m_verify || m_call != 0); }
    /// True if the claim is neither held nor being acquired or released.
    [[nodiscard]] bool inactive() const { return m_phase == phase::none && m_call == 0; }
    [[nodiscard]] bool in_hold_down(instant now) const { return now < m_hold_down_until; }
    [[nodiscard]] epoch_number epoch() const { return m_epoch; }
    /// Holder last reported by the endpoint; empty if the claim was released or its holder is
    /// unknown.
    [[nodiscard]] const host_id& holder() const { return m_holder; }
    [[nodiscard]] std::optional<instant> next_wakeup(bool wanted) const;

private:
    enum class phase { none, claiming, held, releasing };

    void send(control_request request, std::uint64_t& last_call, instant now, action_list& out);
    void retry_later(core_context& context, instant now);
    change on_result(core_context& context, const control_result& result, instant now);
    change on_status(core_context& context, const endpoint_state& state, instant now);
    [[nodiscard]] bool must_wait_for(const core_context& context, const endpoint_state& state,
                                     instant now);
    change acquire(epoch_number epoch, instant now);

    endpoint_id m_endpoint;
    phase m_phase = phase::none;
    epoch_number m_epoch = 0;  // Epoch of the held claim, or the epoch read before claiming.
    std::uint64_t m_call = 0;  // Outstanding call; 0 for none.
    instant m_call_expires;
    instant m_next_attempt;
    duration m_backoff;
    bool m_verify = false;
    std::uint32_t m_release_attempts = 0;
    std::uint32_t m_displacements = 0;
    instant m_held_since;
    instant m_hold_down_until;
    host_id m_holder;
    host_id m_waiting_for;
    instant m_wait_until;
};

}  // namespace jasminelead
