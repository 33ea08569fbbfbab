#include "proxy/gateway_client.h"

#include <boost/fiber/operations.hpp>
#include <vector>

#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

// Hosts answer connections within a few milliseconds, also those of another data centre.
constexpr duration connect_timeout = 120_ms;
// Longer than most statements run.
constexpr duration longest_silence = 200_ms;
constexpr duration probe_timeout = 150_ms;
constexpr duration check_interval = 50_ms;
constexpr duration retry_interval = 300_ms;
// A connection that fell silent is not used for longer.
constexpr duration longest_idle = 1_s;
constexpr std::size_t most_idle_connections = 8;
// A gateway that has just lost its primary declines for about this long.
constexpr duration decline_memory = 150_ms;
// The answer's way back, when the gateway used all of the statement's time.
constexpr duration answer_slack = 60_ms;

/// A gateway that was only silent for a while still answers. Giving up such a statement would leave
/// its caller without an outcome, and nobody may repeat it.
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
      m_pool{fleet.home().io(), most_idle_connections, longest_idle} {}

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
        declined != m_declined.end() && declined->second + decline_memory > boot_now();
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
    calls_of_host& calls = m_calls[gateway];
    if (calls.open++ == 0) {
        calls.quiet_since = boot_now();
    }
    auto result = exchange(*address, request, deadline);
    calls_of_host& after = m_calls[gateway];
    --after.open;
    if (const auto* const fault = std::get_if<gateway_fault>(&result)) {
        const bool unsent = *fault == gateway_fault::not_sent;
        m_counters.count("gateway_calls", unsent ? "not_sent" : "lost");
        if (unsent) {
            note_unreachable(gateway, "no_connection");
        }
        return result;
    }
    after.quiet_since = boot_now();
    note_reachable(gateway);
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
    call.deadline = to_steady(deadline + answer_slack);
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

/// Load pattern: a gateway freezes or is cut off with statements in progress. Reads can be served
/// elsewhere long before their timeouts.
void gateway_client::check_silence() {
    const instant now = boot_now();
    std::vector<host_id> silent;
    for (auto& [host, calls] : m_calls) {
        const bool is_silent = calls.open > 0 && calls.quiet_since + longest_silence <= now;
        if (is_silent && !calls.is_probed && !m_unreachable.contains(host)) {
            silent.push_back(host);
        }
    }
    for (const auto& [host, since] : m_unreachable) {
        calls_of_host& calls = m_calls[host];
        if (!calls.is_probed && calls.quiet_since + retry_interval <= now) {
            silent.push_back(host);
        }
    }
    for (const host_id& host : silent) {
        m_calls[host].is_probed = true;
        m_fleet.home().spawn([this, host] { probe(host); });
    }
}

void gateway_client::probe(const host_id& gateway) {
    const auto address = address_of(gateway);
    const bool answers = address && is_answering(*address);
    calls_of_host& calls = m_calls[gateway];
    calls.is_probed = false;
    calls.quiet_since = boot_now();
    if (answers) {
        note_reachable(gateway);
        return;
    }
    note_unreachable(gateway, "silent");
    if (address) {
        m_pool.abort(*address);
    } else {
        // The host is registered no more.
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

void gateway_client::note_unreachable(const host_id& gateway, std::string_view why) {
    if (m_unreachable.emplace(gateway, boot_now()).second) {
        m_calls[gateway].quiet_since = boot_now();
        log_line{log_class::change, "gateway_unreachable"}
            .with("host", gateway)
            .with("reason", why)
            .write();
    }
}

void gateway_client::note_reachable(const host_id& gateway) {
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
