#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "jasminelead/acknowledger.h"
#include "jasminelead/context.h"
#include "jasminelead/core_kernel.h"
#include "jasminelead/entry.h"
#include "jasminelead/failover.h"
#include "jasminelead/kernel_options.h"
#include "jasminelead/membership.h"
#include "jasminelead/owner.h"
#include "jasminelead/table_sync.h"
#include "jasminelead/token.h"
#include "jasminelead/totals.h"

/// The core of one daemon: owns the modules and routes events between them.
namespace jasminelead {

class kernel final : public core_kernel {
public:
    explicit kernel(const kernel_options& options);

    void handle(event input, instant now, action_list& out) override;
    [[nodiscard]] std::optional<instant> next_wakeup() const override;
    [[nodiscard]] bool ready() const override;
    [[nodiscard]] std::string status_json() const override;
    [[nodiscard]] std::string explain_json(std::string_view session) const override;

    [[nodiscard]] const invariants& checks() const { return m_checks; }
    [[nodiscard]] const core_context& context() const { return m_context; }
    [[nodiscard]] const failover& groups() const { return m_failover; }
    [[nodiscard]] const owner& owned() const { return m_owner; }
    /// Disables safety mechanisms, for tests which show that they are needed.
    void set_mechanisms(const mechanisms& enabled) { m_context.enabled = enabled; }

private:
    struct open_request {
        group_id group;
        service_id service;
        bool read = false;
    };

    void dispatch(event input, instant now, action_list& out);
    void on(caller_request request, instant now, action_list& out);
    void on(peer_received received, instant now, action_list& out);
    void on(const peer_failed& failed, instant now, action_list& out);
    void on(const peer_call_unsent& unsent, instant now, action_list& out);
    void on(const connection_opened& opened, instant now, action_list& out);
    void on(const connection_failed& failed, instant now, action_list& out);
    void on(const connection_lost& lost, instant now, action_list& out);
    void on(statement_answered answered, instant now, action_list& out);
    void on(const control_answered& answered, instant now, action_list& out);
    void on(const store_answered& answered, instant now, action_list& out);
    void on(const host_list& list, instant now, action_list& out);
    void on(const tick& event, instant now, action_list& out);
    void on(const drain_requested& event, instant now, action_list& out);
    void on(const switchover_requested& request, instant now, action_list& out);
    void on_message(const host_id& from, peer_message message, instant now, action_list& out);

    void propagate_until_stable(instant now, action_list& out);
    bool propagate_changes(instant now, action_list& out);
    bool deliver_local(instant now, action_list& produced, action_list& out);
    void record(const caller_reply& reply, instant now);
    void report_violations(action_list& out);
    void finish_drain(instant now, action_list& out);
    [[nodiscard]] std::string day(instant now) const;

    invariants m_checks;
    core_context m_context;
    token_codec m_tokens;
    membership m_membership;
    table_sync m_table;
    totals m_totals;
    failover m_failover;
    acknowledger m_acknowledger;
    owner m_owner;
    entry m_entry;
    std::unordered_map<request_id, open_request> m_open;
    std::optional<instant> m_started;
    std::optional<instant> m_flush_deadline;
    std::array<std::uint64_t, promise_count> m_reported_violations{};
    bool m_draining = false;
    bool m_drained = false;
};

}  // namespace jasminelead
