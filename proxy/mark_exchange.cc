#include "proxy/mark_exchange.h"

#include <boost/fiber/operations.hpp>
#include <utility>
#include <vector>

#include "proxy/clock.h"
#include "proxy/event_log.h"
#include "proxy/mark_messages.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

constexpr duration answer_timeout = 150_ms;
constexpr duration max_idle_time = 1_s;
constexpr std::size_t max_idle_connections = 1;

}  // namespace

mark_exchange::mark_exchange(fleet_state& fleet, const record_mirror& mirror,
                             daemon::metrics& counters)
    : m_fleet{fleet},
      m_mirror{mirror},
      m_counters{counters},
      m_pool{fleet.home().io(), max_idle_connections, max_idle_time},
      m_group_requested{fleet.home().io()} {}

void mark_exchange::start() {
    m_fleet.home().spawn([this] { run(); });
}

void mark_exchange::stop() {
    m_stopped = true;
    m_pool.close();
    m_group_requested.notify_all();
}

void mark_exchange::want(const group_id& group) {
    const bool was_empty = m_demand.is_empty();
    m_demand.want(group);
    if (was_empty) {
        m_group_requested.notify_all();
    }
}

void mark_exchange::run() {
    while (!m_stopped) {
        if (m_demand.is_empty()) {
            m_group_requested.wait(daemon::no_deadline);
            continue;
        }
        const auto groups = m_demand.take(boot_now());
        if (groups.empty()) {
            boost::this_fiber::sleep_until(to_steady(m_demand.next_query_at()));
        } else {
            query_gateways(groups);
        }
    }
}

void mark_exchange::query_gateways(const std::set<group_id>& groups) {
    std::set<std::string> addresses;
    const auto& hosts = m_mirror.hosts();
    for (const group_id& group : groups) {
        for (const host_id& gateway : m_fleet.gateways(group)) {
            const auto found = hosts.find(gateway);
            if (found != hosts.end() && gateway != m_fleet.host()) {
                addresses.insert(found->second.peer_address);
            }
        }
    }
    const auto request = std::make_shared<const std::string>(encode_mark_request(groups));
    for (const std::string& address : addresses) {
        m_fleet.home().spawn([this, address, request] { query_gateway(address, *request); });
    }
}

void mark_exchange::query_gateway(const std::string& address, const std::string& request) {
    const instant sent = boot_now();
    daemon::http_call call;
    call.address = address;
    call.target = "/peer/marks";
    call.body = request;
    call.deadline = to_steady(sent + answer_timeout);
    const auto result = m_pool.call(call);
    const auto* const response = std::get_if<daemon::http_response>(&result);
    const bool ok = response != nullptr && response->status == 200;
    const auto marks = ok ? decode_mark_response(response->body) : std::nullopt;
    m_counters.count("mark_answers", marks ? "received" : "missing");
    if (!marks) {
        return;
    }
    for (const aged_mark& mark : *marks) {
        // The age was measured after the request was sent, so the mark is not older than this.
        m_fleet.bounds(mark.group).record({sent - mark.age, mark.point, mark.leadership});
    }
    if (!marks->empty()) {
        m_fleet.changed.notify_all();
    }
}

std::optional<std::string> mark_exchange::answer(std::string_view text) const {
    const auto groups = decode_mark_request(text);
    if (!groups) {
        return std::nullopt;
    }
    std::vector<aged_mark> marks;
    for (const group_id& group : *groups) {
        const group_record* const record = m_fleet.lease.record(group);
        const primary_mark* const newest = record ? m_fleet.bounds(group).newest() : nullptr;
        if (newest != nullptr) {
            marks.push_back({group, boot_now() - newest->sent, newest->point, newest->leadership});
        }
    }
    return encode_mark_response(marks);
}

}  // namespace jasminelead::proxy
