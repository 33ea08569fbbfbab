#include "proxy/gateway_client.h"

#include <boost/fiber/operations.hpp>
#include <vector>

#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

// Hosts accept connections within a few milliseconds, also from another data centre.
constexpr duration connect_timeout = 120_ms;
// Longer than the run time of most statements.
constexpr duration max_response_gap = 200_ms;
constexpr duration probe_timeout = 150_ms;
constexpr duration check_interval = 50_ms;
constexpr duration retry_interval = 300_ms;
// Connections that were idle for longer are not reused, because they may no longer work.
constexpr duration max_idle_time = 1_s;
constexpr std::size_t max_idle_connections = 8;
// A gateway that has lost its connection to a primary declines for about this long.
constexpr duration decline_backoff = 150_ms;
// Leaves time to transfer the answer of a gateway that used the whole statement timeout.
constexpr duration response_margin = 60_ms;

/// Writes and commits must not be repeated, and without an answer their outcome is unknown. They
/// wait until the deadline, because a gateway that was silent for a while may still answer.
bool has_lasting_effect(const gateway_request& request) {
    const bool writes =
        request.action == gateway_action::run && request.statement.kind == access::write;
    return writes || request.action == gateway_action::commit;
}

}  // namespace

gateway_client::gateway_client(fleet_state& fleet, record_mirror& mirror, daemon::metrics& counters)
    : m_fleet{fleet},
      m_mirror{mirror},
      m_counters{counters},
      m_pool{fleet.home().io(), max_idle_connections, max_idle_time} {}

void gateway_client::start() {
    m_fleet.home().spawn([this] {
        while (!m_stopped) {
            check_silence();
            boost::this_fiber::sleep_until(to_steady(boot_now() + check_interval));
        }
    });
}

bool gateway_client::is_usable(const host_id& gateway, const group_id& group) const {
    const auto declined = m_declined.find({gateway, group});
    const bool declines =
        declined != m_declined.end() && declined->second + decline_backoff > boot_now();
    return !declines && !m_unreachable.contains(gateway);
}

std::optional<std::string> gateway_client::address_of(const host_id& gateway) const {
    const auto found = m_mirror.hosts().find(gateway);
    if (found == m_mirror.hosts().end()) {
        return std::nullopt;
    }
    return found->second.peer_address;
}

std::variant<gateway_answer, gateway_fault> gateway_client::ask(const host_id& gateway,
                                                                const gateway_request& request,
                                                                instant deadline) {
    const auto address = address_of(gateway);
    if (!address) {
        return gateway_fault::not_sent;
    }
    host_calls& calls = m_calls[gateway];
    if (calls.open++ == 0) {
        calls.unanswered_since = boot_now();
    }
    auto result = exchange(*address, request, deadline);
    host_calls& after = m_calls[gateway];
    --after.open;
    if (const auto* const fault = std::get_if<gateway_fault>(&result)) {
        const bool unsent = *fault == gateway_fault::not_sent;
        m_counters.count("gateway_calls", unsent ? "not_sent" : "lost");
        if (unsent) {
            mark_unreachable(gateway, "no_connection");
        }
        return result;
    }
    after.unanswered_since = boot_now();
    mark_reachable(gateway);
    const bool declined = std::get<gateway_answer>(result).declined;
    m_counters.count("gateway_calls", declined ? "declined" : "answered");
    if (declined) {
        m_declined[{gateway, request.route.group}] = boot_now();
    }
    return result;
}

std::variant<gateway_answer, gateway_fault> gateway_client::exchange(const std::string& address,
                                                                     const gateway_request& request,
                                                                     instant deadline) {
    const std::string body = encode_gateway_request(request, boot_now());
    bool sent = false;
    daemon::http_call call;
    call.address = address;
    call.target = "/peer/statement";
    call.body = body;
    call.deadline = to_steady(deadline + response_margin);
    call.connect_deadline = to_steady(boot_now() + connect_timeout);
    call.sent = &sent;
    call.exempt_from_abort = has_lasting_effect(request);
    const auto result = m_pool.call(call);
    const auto* const response = std::get_if<daemon::http_response>(&result);
    if (response == nullptr) {
        return sent ? gateway_fault::lost : gateway_fault::not_sent;
    }
    if (response->status != 200) {
        const bool refused_unread = response->status == 400 || response->status == 404;
        return refused_unread ? gateway_fault::not_sent : gateway_fault::lost;
    }
    auto answer = decode_gateway_answer(response->body);
    if (!answer) {
        return gateway_fault::lost;
    }
    return std::move(*answer);
}

/// Probes gateways that do not answer open calls, and unreachable ones for their return. A gateway
/// may freeze or lose its network while it runs statements; reads can then be served elsewhere long
/// before their timeouts.
void gateway_client::check_silence() {
    const instant now = boot_now();
    std::vector<host_id> silent;
    for (auto& [host, calls] : m_calls) {
        const bool is_silent = calls.open > 0 && calls.unanswered_since + max_response_gap <= now;
        if (is_silent && !calls.is_probe_running && !m_unreachable.contains(host)) {
            silent.push_back(host);
        }
    }
    for (const auto& [host, since] : m_unreachable) {
        host_calls& calls = m_calls[host];
        if (!calls.is_probe_running && calls.unanswered_since + retry_interval <= now) {
            silent.push_back(host);
        }
    }
    for (const host_id& host : silent) {
        m_calls[host].is_probe_running = true;
        m_fleet.home().spawn([this, host] { probe(host); });
    }
}

void gateway_client::probe(const host_id& gateway) {
    const auto address = address_of(gateway);
    const bool answers = address && is_answering(*address);
    host_calls& calls = m_calls[gateway];
    calls.is_probe_running = false;
    calls.unanswered_since = boot_now();
    if (answers) {
        mark_reachable(gateway);
        return;
    }
    mark_unreachable(gateway, "silent");
    if (address) {
        m_pool.abort(*address);
    } else {
        // The host is no longer registered.
        m_unreachable.erase(gateway);
    }
}

bool gateway_client::is_answering(const std::string& address) {
    daemon::http_call call;
    call.address = address;
    call.method = "GET";
    call.target = "/peer/ping";
    call.deadline = to_steady(boot_now() + probe_timeout);
    call.new_connection = true;
    const auto result = m_pool.call(call);
    const auto* const response = std::get_if<daemon::http_response>(&result);
    return response != nullptr && response->status == 200;
}

void gateway_client::mark_unreachable(const host_id& gateway, std::string_view why) {
    if (m_unreachable.emplace(gateway, boot_now()).second) {
        m_calls[gateway].unanswered_since = boot_now();
        log_line{log_class::change, "gateway_unreachable"}
            .with("host", gateway)
            .with("reason", why)
            .write();
    }
}

void gateway_client::mark_reachable(const host_id& gateway) {
    const auto found = m_unreachable.find(gateway);
    if (found != m_unreachable.end()) {
        log_line{log_class::change, "gateway_reachable"}
            .with("host", gateway)
            .with("unreachable_ms", boot_now() - found->second)
            .write();
        m_unreachable.erase(found);
    }
}

}  // namespace jasminelead::proxy
