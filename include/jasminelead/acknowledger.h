#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "jasminelead/context.h"
#include "jasminelead/failover.h"
#include "jasminelead/messages.h"
#include "jasminelead/write_confirmation.h"

/// Confirmation of writes by a majority of the group.
namespace jasminelead {

namespace acknowledger_timing {
inline constexpr duration status_timeout = duration::from_ms(150);
inline constexpr duration poll_interval_min = duration::from_ms(2);
inline constexpr duration poll_interval_max = duration::from_ms(20);
/// A group whose writes stay unconfirmed for this long has no majority.
inline constexpr duration majority_timeout = duration::from_ms(1000);
/// Interval of status calls when all unconfirmed writes are past their deadline.
inline constexpr duration probe_interval = duration::from_ms(100);
}  // namespace acknowledger_timing

/// Confirms executed writes, and reads that need a confirmed term. Used by the owner of a primary.
class acknowledger final : public write_confirmation {
public:
    acknowledger(core_context& context, failover& groups);

    /// `executed` is the stamp of the primary's answer. Each ticket gets exactly one result.
    ticket submit(const group_id& group, const endpoint_id& primary, const position_stamp& executed,
                  instant deadline, instant now, action_list& out) override;
    void on_control(const control_answered& answer, instant now, action_list& out);
    std::vector<result> take_results() override;
    [[nodiscard]] bool has_results() const { return !m_results.empty(); }
    /// False once writes have been pending for `majority_timeout` without any confirmation.
    [[nodiscard]] bool has_majority(const group_id& group, instant now) const override;
    void tick(instant now, action_list& out);
    [[nodiscard]] std::optional<instant> next_wakeup() const;

private:
    struct write {
        ticket id = 0;
        log_position position = 0;
        instant deadline;
        bool reported = false;  ///< Past its deadline; kept to detect a returning majority.
    };
    struct instance {
        endpoint_id id;
        std::uint64_t call = 0;     ///< 0 when none is outstanding.
        ticket ticket_at_send = 0;  ///< Last ticket submitted before the outstanding call was sent.
        instant sent;
        ticket confirmed_ticket = 0;  ///< Last ticket whose term this instance has confirmed.
        log_position applied = 0;     ///< Applied position of the term's log.
        instant retry_at;             ///< Earliest next call after a failed one.
        instant next_position_poll;   ///< Earliest call that only polls the position.
        duration poll_interval = acknowledger_timing::poll_interval_min;
    };
    struct group_acks {
        group_id id;
        endpoint_id primary;
        term_number term = 0;
        log_position required_position = 0;  ///< Highest position submitted.
        bool replica_durability = true;
        std::vector<instance> instances;
        std::deque<write> writes;
        std::optional<instant> unconfirmed_since;
    };

    group_acks& open(const group_id& group, const endpoint_id& primary, term_number term);
    void fail_all(group_acks& acks);
    [[nodiscard]] bool superseded(const group_acks& acks) const;
    [[nodiscard]] static bool confirms(const group_acks& acks, const instance& by, const write& w);
    [[nodiscard]] static bool confirmed(const group_acks& acks, const write& w);
    void confirm(group_acks& acks, instant now);
    [[nodiscard]] static std::optional<instant> call_due(const group_acks& acks,
                                                         const instance& to);
    void send_status_calls(group_acks& acks, instant now, action_list& out);
    void apply_status(group_acks& acks, instance& from, const endpoint_state& state, instant now,
                      action_list& out);
    void call_failed(group_acks& acks, instance& at, endpoint_error error, instant now,
                     action_list& out);
    void expire(group_acks& acks, instant now, action_list& out);

    core_context& m_context;
    failover& m_groups;
    std::map<group_id, group_acks> m_acks;
    std::vector<result> m_results;
    ticket m_last_ticket = 0;
    std::uint64_t m_last_call = 0;
};

}  // namespace jasminelead
