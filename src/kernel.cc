#include "jasminelead/kernel.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <utility>

namespace jasminelead {
namespace {

/// Bounds the rounds in which a daemon delivers messages to itself while it handles one event, in
/// case two modules answer each other endlessly.
constexpr std::size_t max_self_deliveries = 100'000;

/// A drained daemon waits this long for the store to accept its totals.
constexpr duration totals_flush_timeout = duration::from_ms(2000);

core_context make_context(const kernel_options& options, invariants& checks) {
    core_context context{};
    context.self = options.self;
    context.data_centre = options.data_centre;
    context.incarnation = options.incarnation;
    context.checks = &checks;
    context.random.seed(options.seed);
    return context;
}

std::vector<token_key> make_keys(const kernel_options& options) {
    std::vector<token_key> keys;
    for (const auto& [id, secret] : options.token_keys) {
        token_key key{id, {}};
        std::copy_n(secret.begin(), std::min(secret.size(), key.secret.size()), key.secret.begin());
        keys.push_back(key);
    }
    return keys;
}

}  // namespace

std::unique_ptr<core_kernel> make_kernel(const kernel_options& options) {
    return std::make_unique<kernel>(options);
}

kernel::kernel(const kernel_options& options)
    : m_checks{options.strict_invariants},
      m_context{make_context(options, m_checks)},
      m_tokens{make_keys(options)},
      m_membership{m_context},
      m_table{m_context},
      m_totals{m_context},
      m_failover{m_context, options.failover_policy},
      m_acknowledger{m_context, m_failover},
      m_owner{m_context, m_failover, m_acknowledger},
      m_entry{m_context, m_failover, m_tokens, options.routing_policy} {}

void kernel::handle(event input, instant now, action_list& out) {
    action_list produced;
    if (!m_started) {
        m_started = now;
        m_table.start(now, produced);
    }
    dispatch(std::move(input), now, produced);
    propagate_until_stable(now, produced);
    std::size_t delivered = 0;
    while (deliver_local(now, produced, out) && delivered < max_self_deliveries) {
        propagate_until_stable(now, produced);
        ++delivered;
    }
    finish_drain(now, out);
    report_violations(out);
}

/// Counts and logs invariant violations that were detected during this event.
void kernel::report_violations(action_list& out) {
    for (std::size_t i = 0; i < promise_count; ++i) {
        const auto which = static_cast<promise>(i);
        for (; m_reported_violations[i] < m_checks.broken(which); ++m_reported_violations[i]) {
            out.push_back(count{"broken_promise", to_string(which)});
            out.push_back(log_state{"invariant violated: " + std::string{to_string(which)}});
        }
    }
}

void kernel::dispatch(event input, instant now, action_list& out) {
    std::visit([&](auto&& item) { on(std::forward<decltype(item)>(item), now, out); },
               std::move(input));
}

/// Moves actions to `out`, but delivers messages that are addressed to this daemon. Returns true
/// if any message was delivered.
bool kernel::deliver_local(instant now, action_list& produced, action_list& out) {
    action_list batch = std::exchange(produced, {});
    bool delivered = false;
    for (action& item : batch) {
        if (auto* const message = std::get_if<send_peer>(&item);
            message != nullptr && message->to == m_context.self) {
            on_message(m_context.self, std::move(message->message), now, produced);
            delivered = true;
            continue;
        }
        if (const auto* const reply = std::get_if<caller_reply>(&item)) {
            record(*reply, now);
        }
        out.push_back(std::move(item));
    }
    return delivered;
}

void kernel::propagate_until_stable(instant now, action_list& out) {
    while (propagate_changes(now, out)) {
    }
}

bool kernel::propagate_changes(instant now, action_list& out) {
    bool changed = false;
    if (m_membership.take_changed()) {
        changed = true;
        m_failover.on_fleet_changed(now, out);
        m_owner.on_fleet_changed(now, out);
        m_table.on_fleet_changed(now, out);
    }
    if (m_table.take_changed()) {
        changed = true;
        m_owner.on_config_changed(now, out);
    }
    for (const group_id& group : m_failover.take_changed()) {
        changed = true;
        m_owner.on_view_changed(group, now, out);
        m_entry.on_view_changed(group, now, out);
    }
    if (m_acknowledger.has_results()) {
        changed = true;
        m_owner.on_confirmations(now, out);
    }
    return changed;
}

void kernel::on(caller_request request, instant now, action_list& out) {
    if (m_draining) {
        out.push_back(count{"refusal", to_string(reason::draining)});
        out.push_back(caller_reply{
            request.id, not_run{reason::draining, {}}, request.session, request.transaction, {}});
        return;
    }
    m_open.emplace(request.id, open_request{request.group, request.service, request.read});
    m_entry.on_request(std::move(request), now, out);
}

void kernel::on(peer_received received, instant now, action_list& out) {
    m_membership.on_peer_heard(received.from, now);
    on_message(received.from, std::move(received.message), now, out);
}

void kernel::on_message(const host_id& from, peer_message message, instant now, action_list& out) {
    struct visitor {
        kernel& self;
        const host_id& from;
        instant now;
        action_list& out;
        void operator()(statement_call&& call) const {
            self.m_owner.on_call(from, std::move(call), now, out);
        }
        void operator()(statement_reply&& reply) const {
            self.m_entry.on_reply(from, std::move(reply), now, out);
        }
        void operator()(const ping& message) const {
            self.m_membership.on_ping(from, message, now, out);
            self.m_table.on_ping_revision(from, message.revision, now, out);
        }
        void operator()(const ping_ack& message) const {
            self.m_membership.on_ping_ack(from, message, now, out);
            self.m_table.on_ping_revision(from, message.revision, now, out);
        }
        void operator()(const ping_request& message) const {
            self.m_membership.on_ping_request(from, message, now, out);
        }
        void operator()(const ping_request_ack& message) const {
            self.m_membership.on_ping_request_ack(from, message, now, out);
        }
        void operator()(const revision_rumor& message) const {
            self.m_table.on_rumor(from, message, now, out);
        }
        void operator()(const deltas_request& message) const {
            self.m_table.on_request(from, message, now, out);
        }
        void operator()(const deltas_reply& message) const {
            self.m_table.on_reply(from, message, now, out);
        }
        void operator()(const group_query& message) const {
            self.m_failover.on_query(from, message, now, out);
        }
        void operator()(const group_report& message) const {
            self.m_failover.on_report(from, message, now, out);
            self.m_entry.on_report(from, message, now, out);
        }
        void operator()(const switchover_requested& message) const {
            self.m_failover.switchover(message, now, out);
        }
    };
    std::visit(visitor{*this, from, now, out}, std::move(message));
}

void kernel::on(const peer_failed& failed, instant now, action_list& out) {
    m_membership.on_peer_failed(failed, now, out);
    m_failover.on_peer_failed(failed, now, out);
    m_owner.on_peer_failed(failed, now, out);
    m_entry.on_peer_failed(failed, now, out);
}

void kernel::on(const peer_call_unsent& unsent, instant now, action_list& out) {
    m_entry.on_peer_call_unsent(unsent, now, out);
}

void kernel::on(const connection_opened& opened, instant now, action_list& out) {
    m_owner.on_opened(opened, now, out);
}

void kernel::on(const connection_failed& failed, instant now, action_list& out) {
    m_owner.on_failed(failed, now, out);
}

void kernel::on(const connection_lost& lost, instant now, action_list& out) {
    m_owner.on_lost(lost, now, out);
}

void kernel::on(statement_answered answered, instant now, action_list& out) {
    m_owner.on_answered(std::move(answered), now, out);
}

void kernel::on(const control_answered& answered, instant now, action_list& out) {
    switch (answered.id.module) {
        case call_module::owner:
            m_owner.on_control(answered, now, out);
            break;
        case call_module::acknowledger:
            m_acknowledger.on_control(answered, now, out);
            break;
        case call_module::failover:
            m_failover.on_control(answered, now, out);
            break;
        default:
            break;
    }
}

void kernel::on(const store_answered& answered, instant now, action_list& out) {
    if (answered.id.module == call_module::table) {
        m_table.on_store(answered, now, out);
    } else if (answered.id.module == call_module::totals) {
        m_totals.on_store(answered, now, out);
    }
}

void kernel::on(const host_list& list, instant now, action_list& out) {
    m_membership.on_host_list(list, now, out);
}

void kernel::on(const tick& /*event*/, instant now, action_list& out) {
    m_membership.tick(now, out);
    m_table.tick(now, out);
    m_failover.tick(now, out);
    m_acknowledger.tick(now, out);
    m_owner.tick(now, out);
    m_entry.tick(now, out);
    m_totals.tick(now, out);
}

void kernel::on(const drain_requested& /*event*/, instant now, action_list& out) {
    if (m_draining) {
        return;
    }
    m_draining = true;
    out.push_back(log_state{"drain started, new requests are refused"});
    m_membership.leave(now, out);
    m_owner.drain(now, out);
}

void kernel::on(const switchover_requested& request, instant now, action_list& out) {
    const host_id* const holder = m_context.fleet->owner_of(m_failover.view(request.group).primary);
    if (holder == nullptr || *holder == m_context.self) {
        m_failover.switchover(request, now, out);
    } else {
        out.push_back(send_peer{*holder, request});
    }
}

void kernel::finish_drain(instant now, action_list& out) {
    if (!m_draining || m_drained || m_entry.in_progress() != 0 || !m_owner.drained()) {
        return;
    }
    if (!m_flush_deadline) {
        m_checks.check(promise::graceful_shutdown, m_open.empty());
        m_flush_deadline = now + totals_flush_timeout;
        m_totals.flush(out);
    }
    if (m_totals.is_flushed() || *m_flush_deadline <= now) {
        m_drained = true;
        out.push_back(drain_finished{});
    }
}

void kernel::record(const caller_reply& reply, instant now) {
    const auto found = m_open.find(reply.id);
    if (found == m_open.end()) {
        return;
    }
    const open_request request = std::move(found->second);
    m_open.erase(found);
    const group_view& view = m_failover.view(request.group);
    const bool replica = !reply.endpoint.empty() && reply.endpoint != view.primary;
    m_totals.add(request.group, request.service, kind_of(reply.result), request.read, replica,
                 day(now));
}

std::string kernel::day(instant now) const {
    constexpr std::int64_t us_per_s = 1'000'000;
    // The incarnation is the wall-clock time in ms at which the daemon started.
    const auto since_start = (now - *m_started).us() / us_per_s;
    const auto seconds =
        static_cast<std::time_t>(m_context.incarnation / 1000) + static_cast<time_t>(since_start);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, sizeof "YYYY-MM-DD"> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%d", &parts);
    return text.data();
}

std::optional<instant> kernel::next_wakeup() const {
    const std::array wakeups = {
        m_membership.next_wakeup(), m_table.next_wakeup(),
        m_failover.next_wakeup(),   m_acknowledger.next_wakeup(),
        m_owner.next_wakeup(),      m_entry.next_wakeup(),
        m_totals.next_wakeup(),     m_drained ? std::nullopt : m_flush_deadline};
    std::optional<instant> earliest;
    for (const auto& wakeup : wakeups) {
        if (wakeup && (!earliest || *wakeup < *earliest)) {
            earliest = wakeup;
        }
    }
    return earliest;
}

bool kernel::ready() const {
    return !m_draining && m_context.config != nullptr && !m_context.fleet->endpoints().empty();
}

}  // namespace jasminelead
