#include "idle_daemon.h"

#include <array>
#include <boost/json/serialize.hpp>
#include <ctime>
#include <stdexcept>
#include <string>
#include <utility>

#include "jasminelead/endpoint_json.h"
#include "jasminelead/table.h"

namespace jasminelead::support {
namespace {

using namespace literals;

constexpr duration peer_response_time = 1_ms;
constexpr duration store_response_time = 2_ms;
constexpr duration connect_time = 10_ms;
constexpr duration store_watch_duration = 30_s;
constexpr duration peer_request_interval = 500_ms;
constexpr duration min_time_step = duration::from_us(100);
constexpr duration replica_silence = 50_ms;
constexpr log_position position = 10;
constexpr incarnation_number incarnation = 1'700'000'000'000;
constexpr revision_number table_revision = 1;

/// Estimated bytes of the start line and the header fields of an HTTP call and of its response. The
/// HTTP adapter is not part of this program.
constexpr std::size_t http_request_bytes = 110;
constexpr std::size_t http_response_bytes = 70;

std::uint64_t thread_time_ns() {
    constexpr std::uint64_t ns_per_s = 1'000'000'000;
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<std::uint64_t>(time.tv_sec) * ns_per_s +
           static_cast<std::uint64_t>(time.tv_nsec);
}

data_centre_id data_centre_name(std::size_t index) {
    return data_centre_id{"dc" + std::to_string(index + 1)};
}

endpoint_id endpoint_name(std::size_t group, std::size_t index) {
    return endpoint_id{group_name(group).str() + "-" + std::to_string(index + 1)};
}

table make_table(const fleet_shape& shape, const host_list& hosts) {
    constexpr std::uint32_t service_connections = 60;
    table rows;
    rows.revision = table_revision;
    for (std::size_t g = 0; g < shape.groups; ++g) {
        rows.groups[group_name(g)] = group_row{};
    }
    for (const endpoint_entry& endpoint : hosts.endpoints) {
        rows.endpoints[endpoint.id] = endpoint_row{endpoint.group};
    }
    for (std::size_t s = 0; s < shape.services; ++s) {
        rows.services[service_id{"service-" + std::to_string(s + 1)}] =
            service_row{service_connections, std::nullopt, 1};
    }
    return rows;
}

traffic_kind kind_of(const peer_message& message) {
    struct visitor {
        traffic_kind operator()(const statement_call&) const { return traffic_kind::statements; }
        traffic_kind operator()(const statement_reply&) const { return traffic_kind::statements; }
        traffic_kind operator()(const ping&) const { return traffic_kind::membership; }
        traffic_kind operator()(const ping_ack&) const { return traffic_kind::membership; }
        traffic_kind operator()(const ping_request&) const { return traffic_kind::membership; }
        traffic_kind operator()(const ping_request_ack&) const { return traffic_kind::membership; }
        traffic_kind operator()(const revision_rumor&) const { return traffic_kind::table; }
        traffic_kind operator()(const deltas_request&) const { return traffic_kind::table; }
        traffic_kind operator()(const deltas_reply&) const { return traffic_kind::table; }
        traffic_kind operator()(const group_query&) const { return traffic_kind::group_queries; }
        traffic_kind operator()(const group_report&) const { return traffic_kind::group_queries; }
        traffic_kind operator()(const switchover_requested&) const {
            return traffic_kind::group_queries;
        }
    };
    return std::visit(visitor{}, message);
}

void count_message(std::array<traffic, traffic_kinds>& to, traffic_kind kind, std::size_t bytes) {
    traffic& counted = to.at(static_cast<std::size_t>(kind));
    ++counted.messages;
    counted.bytes += bytes;
}

}  // namespace

host_id host_name(std::size_t index) {
    return host_id{"host-" + std::to_string(index + 1)};
}

group_id group_name(std::size_t index) {
    return group_id{"group-" + std::to_string(index + 1)};
}

host_list make_fleet(const fleet_shape& shape) {
    const data_centre_id own{"dc-self"};
    host_list list;
    for (std::size_t h = 0; h < shape.hosts; ++h) {
        const bool separate = shape.has_own_data_centre && h == shape.self;
        list.hosts.push_back({host_name(h),
                              separate ? own : data_centre_name(h % shape.data_centres),
                              "10.0.0.1:7400", member_state::live});
    }
    for (std::size_t g = 0; g < shape.groups; ++g) {
        for (std::size_t e = 0; e < shape.endpoints_per_group; ++e) {
            const bool last = e + 1 == shape.endpoints_per_group;
            const bool owned =
                shape.has_own_data_centre &&
                ((e == 0 && g < shape.owned_primaries) || (last && g < shape.owned_replicas));
            list.endpoints.push_back({endpoint_name(g, e), group_name(g),
                                      owned ? own : data_centre_name((g + e) % shape.data_centres),
                                      "10.0.0.2:5432", member_state::live});
        }
    }
    return list;
}

idle_daemon::idle_daemon(const fleet_shape& shape, codec frame)
    : m_shape{shape},
      m_codec{std::move(frame)},
      m_self{host_name(shape.self)},
      m_hosts{make_fleet(shape)},
      m_fleet{m_hosts.hosts, m_hosts.endpoints} {
    const table_snapshot snapshot{make_table(shape, m_hosts), {}};
    m_store.put(snapshot_key(table_revision), write_json(snapshot));
    m_store.put(std::string{head_key},
                write_json(table_head{table_revision, snapshot_key(table_revision), {}}));
    kernel_options options;
    options.self = m_self;
    options.data_centre = m_fleet.host(m_self)->data_centre;
    options.incarnation = incarnation;
    options.seed = 1;
    options.token_keys = {{1, std::string(32, 's')}};
    options.strict_invariants = true;
    m_kernel = std::make_unique<kernel>(options);
    handle(tick{});
    handle(m_hosts);
    // Membership declares a host dead that has sent nothing within 5 s.
    for (const host_entry& host : m_hosts.hosts) {
        if (host.id != m_self) {
            receive(host.id, ping{m_sequence++, incarnation, table_revision, {}});
        }
    }
}

void idle_daemon::reset_counts() {
    m_counts = {};
    m_used = {};
}

void idle_daemon::handle(event input) {
    action_list actions;
    const bool is_tick = std::holds_alternative<tick>(input);
    const std::uint64_t start = thread_time_ns();
    m_kernel->handle(std::move(input), m_now, actions);
    const std::uint64_t spent = thread_time_ns() - start;
    m_used.kernel += spent;
    if (is_tick) {
        ++m_used.ticks;
        m_used.kernel_in_ticks += spent;
    }
    for (const action& item : actions) {
        std::visit([this](const auto& what) { act(what); }, item);
    }
}

void idle_daemon::run_for(duration span) {
    const instant end = m_now + span;
    while (true) {
        const std::uint64_t start = thread_time_ns();
        const auto wanted = m_kernel->next_wakeup();
        m_used.kernel += thread_time_ns() - start;
        const instant wakeup = wanted ? std::max(*wanted, m_now + min_time_step) : instant::max();
        const instant arrival = m_queue.empty() ? instant::max() : m_queue.begin()->first;
        const instant next = std::min({wakeup, arrival, m_next_peer_requests});
        if (next > end) {
            break;
        }
        m_now = next;
        if (m_next_peer_requests == next) {
            m_next_peer_requests = next + peer_request_interval;
            simulate_peer_requests();
        } else if (arrival == next) {
            event input = std::move(m_queue.begin()->second);
            m_queue.erase(m_queue.begin());
            handle(std::move(input));
        } else {
            handle(tick{});
        }
    }
    m_now = end;
}

/// Simulates the requests that idle peers send in one interval: one ping on average, and a group
/// query from the owner of each replica to the owner of its primary.
void idle_daemon::simulate_peer_requests() {
    if (m_shape.hosts > 1) {
        m_next_peer = (m_next_peer + 1) % m_shape.hosts;
        m_next_peer += m_next_peer == m_shape.self ? 1 : 0;
        receive(host_name(m_next_peer % m_shape.hosts),
                ping{m_sequence++, incarnation, table_revision, {}});
    }
    for (std::size_t g = 0; g < m_shape.groups; ++g) {
        if (*m_fleet.owner_of(endpoint_name(g, 0)) != m_self) {
            continue;
        }
        for (std::size_t e = 1; e < m_shape.endpoints_per_group; ++e) {
            const host_id& owner = *m_fleet.owner_of(endpoint_name(g, e));
            if (owner != m_self) {
                receive(owner, group_query{group_name(g)});
            }
        }
    }
}

void idle_daemon::deliver(duration delay, event input) {
    m_queue.emplace(m_now + delay, std::move(input));
}

void idle_daemon::receive(const host_id& from, peer_message message) {
    count_message(m_counts.received, kind_of(message), m_codec(message));
    deliver(peer_response_time, peer_received{from, std::move(message)});
}

group_report idle_daemon::report_of(const host_id& owner, const group_id& group) const {
    group_report report;
    report.group = group;
    for (const endpoint_entry& endpoint : m_fleet.endpoints_of(group)) {
        const bool primary = endpoint.id.str() == group.str() + "-1";
        if (primary) {
            report.view = {1, endpoint.id};
        }
        if (*m_fleet.owner_of(endpoint.id) == owner) {
            const auto role = primary ? endpoint_role::primary : endpoint_role::replica;
            report.owned.push_back({endpoint.id, {1, 1, position, role}, replica_silence});
        }
    }
    report.terms.push({1, 0});
    return report;
}

void idle_daemon::act(const send_peer& sent) {
    const std::uint64_t start = thread_time_ns();
    const std::size_t bytes = m_codec(sent.message);
    m_used.codec += thread_time_ns() - start;
    count_message(m_counts.sent, kind_of(sent.message), bytes);
    if (const auto* const direct = std::get_if<ping>(&sent.message)) {
        receive(sent.to, ping_ack{direct->sequence, incarnation, table_revision, {}});
    } else if (const auto* const query = std::get_if<group_query>(&sent.message)) {
        receive(sent.to, report_of(sent.to, query->group));
    } else if (const auto* const request = std::get_if<deltas_request>(&sent.message)) {
        receive(sent.to, deltas_reply{request->since, std::nullopt, {}});
    } else if (const auto* const indirect = std::get_if<ping_request>(&sent.message)) {
        receive(sent.to, ping_request_ack{indirect->sequence, indirect->target});
    } else if (const auto* const call = std::get_if<statement_call>(&sent.message);
               call != nullptr && m_answers_statements) {
        const position_stamp stamp = state_of(call->endpoint).stamp;
        receive(sent.to,
                statement_reply{call->id, call->endpoint, done{"{}"}, stamp, {}, std::nullopt});
    }
}

endpoint_state& idle_daemon::state_of(const endpoint_id& id) {
    const auto [found, added] = m_states.try_emplace(id);
    if (added) {
        const group_id& group = m_fleet.endpoint(id)->group;
        const bool primary = id.str() == group.str() + "-1";
        endpoint_state& state = found->second;
        state.stamp = {1, 1, position, primary ? endpoint_role::primary : endpoint_role::replica};
        state.terms.push({1, 0});
        if (!primary) {
            state.primary_silence = replica_silence;
        }
    }
    return found->second;
}

void idle_daemon::act(const control_call& call) {
    endpoint_state& state = state_of(call.endpoint);
    control_result result{true, {}};
    if (const auto* const claim = std::get_if<claim_request>(&call.request)) {
        result.accepted = claim->expected_epoch == state.epoch;
        if (result.accepted) {
            ++state.epoch;
            state.owner = claim->owner;
        }
    } else if (!std::holds_alternative<status_query>(call.request) &&
               !std::holds_alternative<follow_request>(call.request)) {
        throw std::logic_error{"unexpected control call to an endpoint: " +
                               std::string{path_of(call.request)}};
    }
    result.state = state;
    count_message(m_counts.sent, traffic_kind::heartbeats,
                  http_request_bytes + boost::json::serialize(to_json(call.request)).size());
    count_message(m_counts.received, traffic_kind::heartbeats,
                  http_response_bytes + boost::json::serialize(to_json(state)).size());
    deliver(peer_response_time, control_answered{call.id, call.endpoint, result});
}

void idle_daemon::act(const store_call& call) {
    const bool totals = call.id.module == call_module::totals;
    const traffic_kind kind = totals ? traffic_kind::totals : traffic_kind::table;
    const store_result result = m_store.apply(call.request);
    const bool waits =
        std::holds_alternative<store_watch>(call.request) && result.status != store_status::ok;
    const auto* const put = std::get_if<store_put>(&call.request);
    count_message(m_counts.sent, kind,
                  http_request_bytes + (put != nullptr ? put->value.size() : 0));
    count_message(m_counts.received, kind, http_response_bytes + result.value.size());
    ++m_counts.store_calls;
    deliver(waits ? store_watch_duration : store_response_time, store_answered{call.id, result});
}

void idle_daemon::act(const open_connection& open) {
    deliver(connect_time,
            connection_opened{open.endpoint, open.connection, state_of(open.endpoint).stamp});
}

}  // namespace jasminelead::support
