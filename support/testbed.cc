#include "testbed.h"

#include <algorithm>
#include <utility>

namespace jasminelead::support {
namespace {

using namespace literals;

constexpr duration within_data_centre = duration::from_us(200);
constexpr duration store_latency = 2_ms;
constexpr duration store_timeout = 1_s;
constexpr duration watch_wait = 30_s;
constexpr duration watch_poll = 20_ms;
constexpr duration host_poll = 5_s;
constexpr duration link_silence = 2_s;
constexpr duration connect_timeout = 200_ms;
constexpr duration replication_interval = 2_ms;
constexpr std::size_t max_records_per_pull = 256;
constexpr std::size_t data_centres = 3;
constexpr std::int64_t wall_clock_start_ms = 1'700'000'000'000;

/// Size of a control message as the JSON codec would write it, without its strings.
constexpr std::uint64_t control_message_bytes = 120;

std::string token_secret() {
    return std::string(32, 's');
}

}  // namespace

deployment cascadia() {
    return {"cascadia", 1.5_ms, 3.0_ms, 3, 6, {20, 3}, 10_ms, 1_ms};
}
deployment cooperative() {
    return {"cooperative", 0.5_ms, 1_ms, 3, 6, {50, 5}, 10_ms, 1_ms};
}

struct testbed::host_node {
    host_entry entry;
    std::uint64_t index = 0;
    std::unique_ptr<kernel> core;
    std::uint64_t life =
        0;  ///< Grows at each start, so that events of an earlier life are dropped.
    bool paused = false;
    bool drained = false;
    std::vector<event> inbox;
    std::optional<instant> wakeup;
    std::map<request_id, reply_handler> callers;
    std::map<host_id, std::set<call_id>> outstanding;
    std::map<host_id, instant> heard;
    std::set<host_id> broken_links;
    std::map<connection_id, endpoint_id> connections;
};

struct testbed::endpoint_node {
    endpoint_entry entry;
    std::unique_ptr<endpoint_model> model;
    bool up = true;
    bool silent = false;
    bool stalled = false;
    std::vector<std::function<void()>> waiting;  ///< Statements that arrived during a stall.
    bool replication_stopped = false;
    /// Connections with a statement that runs. A statement ends when its connection closes.
    std::set<connection_id> running;
    std::size_t most_running = 0;
    struct client {
        host_id host;
        std::uint64_t life = 0;
        connection_id connection = 0;
    };
    std::map<connection_id, client> clients;  ///< By connection_key.
    std::set<connection_id> silent_connections;
};

testbed::testbed(deployment sizes, testbed_options options)
    : m_sizes{std::move(sizes)}, m_options{std::move(options)}, m_random{m_options.seed} {
    build_fleet();
    seed_table();
    for (auto& [id, host] : m_hosts) {
        start_kernel(*host);
    }
    for (auto& [id, endpoint] : m_endpoints) {
        replicate(id);
    }
}

testbed::~testbed() = default;

data_centre_id testbed::data_centre(std::size_t index) const {
    return data_centre_id{"dc" + std::to_string(index % data_centres + 1)};
}

void testbed::build_fleet() {
    for (std::size_t i = 0; i < m_sizes.daemons; ++i) {
        const host_id id{"host-" + std::to_string(i + 1)};
        const host_entry entry{id, data_centre(i), "127.0.0.1:0", member_state::live};
        m_host_list.hosts.push_back(entry);
        m_host_names.push_back(id);
        auto node = std::make_unique<host_node>();
        node->entry = entry;
        node->index = i;
        m_hosts.emplace(id, std::move(node));
    }
    for (std::size_t g = 0; g < m_sizes.groups; ++g) {
        const group_id group{"group-" + std::to_string(g + 1)};
        m_group_names.push_back(group);
        const endpoint_id first{group.str() + "-" + std::to_string(g % data_centres + 1)};
        for (std::size_t d = 0; d < data_centres; ++d) {
            const endpoint_id id{group.str() + "-" + std::to_string(d + 1)};
            const endpoint_entry entry{id, group, data_centre(d), "127.0.0.1:0",
                                       member_state::live};
            const auto role = id == first ? endpoint_role::primary : endpoint_role::replica;
            auto node = std::make_unique<endpoint_node>();
            node->entry = entry;
            node->model = std::make_unique<endpoint_model>(entry, role, m_sizes.limits);
            if (role == endpoint_role::replica) {
                node->model->control(follow_request{1, first, 0}, m_now);
            }
            m_host_list.endpoints.push_back(entry);
            m_endpoints.emplace(id, std::move(node));
        }
    }
}

void testbed::seed_table() {
    table rows;
    for (const group_id& group : m_group_names) {
        rows.groups[group] = group_row{};
    }
    for (const auto& [id, endpoint] : m_endpoints) {
        rows.endpoints[id] = endpoint_row{endpoint->entry.group, 100,
                                          m_sizes.limits.max_connections, m_sizes.limits.slots};
    }
    const std::uint32_t limit = m_sizes.limits.max_connections * data_centres;
    rows.services[service_id{"web"}] = service_row{limit, std::nullopt, 1};
    rows.services[service_id{"desk"}] = service_row{limit, std::nullopt, 2};
    edit_table(difference(table{}, rows));
}

edit_outcome testbed::edit_table(std::vector<cell_edit> edits) {
    const auto wall_time = wall_clock_start_ms + static_cast<std::int64_t>(m_now.ms());
    table_edit edit{{"edit-" + std::to_string(++m_edits), "tester", wall_time, std::move(edits)}};
    edit_step step = edit.start();
    while (const auto* const request = std::get_if<store_request>(&step)) {
        step = edit.on_result(m_store.apply(*request));
    }
    return std::get<edit_outcome>(std::move(step));
}

void testbed::start_kernel(host_node& host) {
    kernel_options options;
    options.self = host.entry.id;
    options.data_centre = host.entry.data_centre;
    options.incarnation = static_cast<incarnation_number>(wall_clock_start_ms +
                                                          static_cast<std::int64_t>(m_now.ms()));
    options.seed = m_random();
    options.token_keys = {{1, token_secret()}};
    options.routing_policy = m_options.routing_policy;
    options.failover_policy = m_options.failover_policy;
    options.strict_invariants = m_options.strict;
    host.core = std::make_unique<kernel>(options);
    host.core->set_mechanisms(m_options.enabled);
    ++host.life;
    host.paused = false;
    host.drained = false;
    host.wakeup.reset();
    process(host, tick{});
    poll_hosts(host.entry.id, host.life);
}

void testbed::poll_hosts(const host_id& host, std::uint64_t life) {
    host_node& target = node(host);
    if (target.life != life || !target.core) {
        return;
    }
    ++m_store_calls;
    if (m_store_available && !m_cut.contains(target.entry.data_centre)) {
        deliver(host, life, m_host_list);
    }
    schedule(host_poll, [this, host, life] { poll_hosts(host, life); });
}

void testbed::schedule(duration delay, std::function<void()> step) {
    m_queue.push({m_now + delay, m_next_order++, std::move(step)});
}

void testbed::run_until(instant end) {
    while (!m_queue.empty() && m_queue.top().at <= end) {
        scheduled next = std::move(const_cast<scheduled&>(m_queue.top()));
        m_queue.pop();
        m_now = next.at;
        next.step();
    }
    m_now = end;
}

// ---- Events and actions
// --------------------------------------------------------------------------

void testbed::deliver(const host_id& host, std::uint64_t life, event input) {
    host_node& target = node(host);
    if (!target.core || target.life != life) {
        return;
    }
    if (target.paused) {
        target.inbox.push_back(std::move(input));
        return;
    }
    process(target, std::move(input));
}

void testbed::process(host_node& host, event input) {
    action_list actions;
    host.core->handle(std::move(input), m_now, actions);
    for (action& item : actions) {
        carry_out(host, std::move(item));
    }
    schedule_wakeup(host);
}

void testbed::schedule_wakeup(host_node& host) {
    const auto wanted = host.core->next_wakeup();
    if (!wanted || (host.wakeup && *host.wakeup <= *wanted && *host.wakeup > m_now)) {
        return;
    }
    const instant at = std::max(*wanted, m_now + duration::from_us(100));
    host.wakeup = at;
    schedule(at - m_now, [this, id = host.entry.id, life = host.life, at] {
        host_node& target = node(id);
        if (target.life == life && target.core && target.wakeup == at) {
            target.wakeup.reset();
            deliver(id, life, tick{});
        }
    });
}

void testbed::carry_out(host_node& host, action item) {
    std::visit([&](auto&& what) { act(host, std::forward<decltype(what)>(what)); },
               std::move(item));
}

void testbed::submit(const host_id& host, caller_request request, reply_handler handler) {
    host_node& target = node(host);
    if (!target.core || target.drained) {
        schedule(m_sizes.to_clients * 2, [handler = std::move(handler)] { handler(std::nullopt); });
        return;
    }
    request.id = m_next_request++;
    target.callers.emplace(request.id, std::move(handler));
    schedule(m_sizes.to_clients, [this, host, life = target.life, request = std::move(request)] {
        deliver(host, life, request);
    });
}

void testbed::act(host_node& from, caller_reply reply) {
    const auto found = from.callers.find(reply.id);
    if (found == from.callers.end()) {
        return;
    }
    schedule(m_sizes.to_clients,
             [handler = std::move(found->second), reply = std::move(reply)] { handler(reply); });
    from.callers.erase(found);
}

void testbed::act(host_node& from, const count& counter) {
    ++m_counters[std::string{counter.counter} + "." + std::string{counter.label}];
    static_cast<void>(from);
}

void testbed::act(host_node& from, const drain_finished& /*item*/) {
    from.drained = true;
}

duration testbed::latency(const data_centre_id& a, const data_centre_id& b) {
    const duration base = a == b ? within_data_centre : m_sizes.between_data_centres;
    std::uniform_real_distribution<double> jitter{1.0, 1.2};
    return base * jitter(m_random);
}

bool testbed::reachable(const data_centre_id& a, const data_centre_id& b) const {
    return a == b || (!m_cut.contains(a) && !m_cut.contains(b));
}

/// Messages of one link arrive in the order in which they were sent.
std::optional<instant> testbed::arrival(const std::string& link, duration delay) {
    instant& last = m_last_arrival[link];
    last = std::max(last + duration::from_us(1), m_now + delay);
    return last;
}

// ---- Links between daemons
// -------------------------------------------------------------------------

void testbed::act(host_node& from, send_peer message) {
    const host_id to = message.to;
    const auto* const call = std::get_if<statement_call>(&message.message);
    const bool is_call = call != nullptr;
    const bool is_reply = std::holds_alternative<statement_reply>(message.message);
    if (!is_call && !is_reply) {
        m_control_bytes += control_message_bytes;
    }
    const auto found = m_hosts.find(to);
    const std::optional<call_id> id = is_call ? std::optional{call->id} : std::nullopt;
    if (found == m_hosts.end() || !found->second->core) {
        fail_peer(from, to, endpoint_error::refused, id);
        return;
    }
    host_node& target = *found->second;
    if (!reachable(from.entry.data_centre, target.entry.data_centre)) {
        if (from.broken_links.contains(to) || !is_call) {
            fail_peer(from, to, endpoint_error::timeout, id);
            return;
        }
        from.outstanding[to].insert(*id);
        watch_link(from.entry.id, to);
        return;
    }
    from.broken_links.erase(to);
    if (is_call) {
        from.outstanding[to].insert(*id);
        watch_link(from.entry.id, to);
    }
    const std::string link = from.entry.id.str() + ">" + to.str();
    const auto at = arrival(link, latency(from.entry.data_centre, target.entry.data_centre));
    schedule(*at - m_now, [this, sender = from.entry.id, to, life = target.life,
                           body = std::move(message.message)]() mutable {
        host_node& receiver = node(to);
        if (!reachable(node(sender).entry.data_centre, receiver.entry.data_centre)) {
            return;
        }
        receiver.heard[sender] = m_now;
        if (const auto* const reply = std::get_if<statement_reply>(&body)) {
            // A reply to a call that the link has given up is dropped, as on a closed connection.
            if (receiver.outstanding[sender].erase(reply->id) == 0) {
                return;
            }
        }
        deliver(to, life, peer_received{sender, std::move(body)});
    });
}

void testbed::fail_peer(host_node& from, const host_id& to, endpoint_error error,
                        std::optional<call_id> unsent) {
    const duration delay = error == endpoint_error::timeout ? connect_timeout : 1_ms;
    schedule(delay, [this, id = from.entry.id, life = from.life, to, error, unsent] {
        if (unsent) {
            deliver(id, life, peer_call_unsent{to, *unsent});
        }
        deliver(id, life, peer_failed{to, error});
    });
}

/// Closes a link on which calls are outstanding and nothing was heard for `link_silence`.
void testbed::watch_link(const host_id& from, const host_id& to) {
    const instant sent = m_now;
    schedule(link_silence, [this, from, to, sent, life = node(from).life] {
        host_node& sender = node(from);
        auto& calls = sender.outstanding[to];
        if (sender.life != life || !sender.core || calls.empty() || sender.heard[to] > sent) {
            return;
        }
        calls.clear();
        sender.broken_links.insert(to);
        deliver(from, life, peer_failed{to, endpoint_error::timeout});
    });
}

// ---- Endpoints
// -------------------------------------------------------------------------------------

void testbed::act(host_node& from, const open_connection& open) {
    endpoint_node& target = node(open.endpoint);
    const duration one_way = latency(from.entry.data_centre, target.entry.data_centre);
    from.connections.emplace(open.connection, open.endpoint);
    if (!target.up) {
        schedule(one_way * 2, [this, id = from.entry.id, life = from.life, open] {
            deliver(id, life,
                    connection_failed{open.endpoint, open.connection, endpoint_error::refused});
        });
        return;
    }
    const bool answers = target.up && !target.silent && !target.stalled;
    if (!answers || !reachable(from.entry.data_centre, target.entry.data_centre)) {
        schedule(connect_timeout, [this, id = from.entry.id, life = from.life, open] {
            deliver(id, life,
                    connection_failed{open.endpoint, open.connection, endpoint_error::timeout});
        });
        return;
    }
    schedule(m_sizes.connect_time + one_way, [this, id = from.entry.id, life = from.life, open,
                                              one_way] {
        endpoint_node& endpoint = node(open.endpoint);
        host_node& client = node(id);
        if (client.life != life || !client.core) {
            return;
        }
        const connection_id key = connection_key(client, life, open.connection);
        const auto error = endpoint.up ? endpoint.model->connect(key, open.epoch)
                                       : std::optional{endpoint_error::refused};
        if (!error) {
            endpoint.clients[key] = {id, life, open.connection};
        }
        const position_stamp stamp = endpoint.model->stamp();
        schedule(one_way, [this, id, life, open, error, stamp] {
            if (error) {
                deliver(id, life, connection_failed{open.endpoint, open.connection, *error});
            } else {
                deliver(id, life, connection_opened{open.endpoint, open.connection, stamp});
            }
        });
    });
}

void testbed::act(host_node& from, const close_connection& close) {
    from.connections.erase(close.connection);
    schedule(within_data_centre,
             [this, close, key = connection_key(from, from.life, close.connection)] {
                 endpoint_node& target = node(close.endpoint);
                 target.model->disconnect(key);
                 target.clients.erase(key);
                 target.running.erase(key);
             });
}

/// Connection numbers are unique in one life of a daemon only.
connection_id testbed::connection_key(const host_node& client, std::uint64_t life,
                                      connection_id connection) {
    constexpr unsigned index_shift = 56;
    constexpr unsigned life_shift = 40;
    return (client.index << index_shift) | (life << life_shift) | connection;
}

void testbed::act(host_node& from, run_statement run) {
    endpoint_node& target = node(run.endpoint);
    const duration one_way = latency(from.entry.data_centre, target.entry.data_centre);
    schedule(one_way, [this, id = from.entry.id, life = from.life, run = std::move(run)] {
        start_statement(id, life, run);
    });
}

void testbed::start_statement(const host_id& from, std::uint64_t life, run_statement run) {
    endpoint_node& target = node(run.endpoint);
    const host_node& client = node(from);
    const connection_id key = connection_key(client, life, run.connection);
    const bool cut = !reachable(client.entry.data_centre, target.entry.data_centre);
    if (!target.up || target.silent || cut || client.life != life ||
        target.silent_connections.contains(key) || !target.model->is_open(key)) {
        return;
    }
    target.running.insert(key);
    target.most_running = std::max(target.most_running, target.running.size());
    std::exponential_distribution<double> service{1.0 / m_sizes.service_time.ms()};
    const duration work = duration::from_ms(std::min(service(m_random), 20.0));
    schedule(work, [this, from, life, run = std::move(run)] { finish_statement(from, life, run); });
}

void testbed::finish_statement(const host_id& from, std::uint64_t life, const run_statement& run) {
    endpoint_node& target = node(run.endpoint);
    const host_node& client = node(from);
    const connection_id key = connection_key(client, life, run.connection);
    if (target.stalled) {
        target.waiting.emplace_back([this, from, life, run] { finish_statement(from, life, run); });
        return;
    }
    target.running.erase(key);
    if (!target.up || client.life != life || !target.model->is_open(key)) {
        return;
    }
    const auto before = target.model->log().size();
    const run_result result = target.model->run(key, run.kind, run.text, run.read, run.term);
    if (target.model->log().size() > before) {
        for (const std::string& statement : target.model->log().back().statements) {
            ++m_executed[statement];
        }
    }
    if (target.silent || target.silent_connections.contains(key)) {
        return;
    }
    const duration one_way = latency(client.entry.data_centre, target.entry.data_centre);
    schedule(one_way, [this, from, life, run, result] {
        if (reachable(node(from).entry.data_centre, node(run.endpoint).entry.data_centre)) {
            deliver(from, life,
                    statement_answered{run.endpoint, run.connection, run.sequence, result.status,
                                       result.result, result.stamp});
        }
    });
}

void testbed::act(host_node& from, const control_call& call) {
    endpoint_node& target = node(call.endpoint);
    const duration one_way = latency(from.entry.data_centre, target.entry.data_centre);
    m_control_bytes += control_message_bytes;
    auto answered = std::make_shared<bool>(false);
    const host_id id = from.entry.id;
    const std::uint64_t life = from.life;
    schedule(call.timeout, [this, id, life, answered, call] {
        if (!std::exchange(*answered, true)) {
            deliver(id, life, control_answered{call.id, call.endpoint, endpoint_error::timeout});
        }
    });
    schedule(one_way, [this, id, life, answered, call, one_way] {
        endpoint_node& endpoint = node(call.endpoint);
        const bool cut = !reachable(node(id).entry.data_centre, endpoint.entry.data_centre);
        if (cut || (endpoint.up && endpoint.silent)) {
            return;
        }
        std::variant<control_result, endpoint_error> answer = endpoint_error::refused;
        if (endpoint.stalled) {
            return;
        }
        if (endpoint.up) {
            answer = endpoint.model->control(call.request, m_now);
            lose_dropped_connections(endpoint);
        }
        schedule(one_way, [this, id, life, answered, call, answer] {
            const bool lost =
                !reachable(node(id).entry.data_centre, node(call.endpoint).entry.data_centre);
            if (!lost && !std::exchange(*answered, true)) {
                deliver(id, life, control_answered{call.id, call.endpoint, answer});
            }
        });
    });
}

void testbed::lose_dropped_connections(endpoint_node& target) {
    for (auto it = target.clients.begin(); it != target.clients.end();) {
        if (target.model->is_open(it->first)) {
            ++it;
            continue;
        }
        const auto client = it->second;
        const connection_lost lost{target.entry.id, client.connection, endpoint_error::reset};
        const data_centre_id& place = node(client.host).entry.data_centre;
        // A reset does not cross a partition: the connection is silent for its owner.
        if (reachable(place, target.entry.data_centre)) {
            schedule(latency(place, target.entry.data_centre),
                     [this, client, lost] { deliver(client.host, client.life, lost); });
        }
        target.running.erase(it->first);
        it = target.clients.erase(it);
    }
}

void testbed::replicate(const endpoint_id& id) {
    schedule(replication_interval, [this, id] { replicate(id); });
    endpoint_node& replica = node(id);
    const endpoint_id& source_id = replica.model->primary();
    if (!replica.up || replica.silent || replica.stalled || replica.replication_stopped ||
        source_id.empty() || source_id == id) {
        return;
    }
    const endpoint_node& source = node(source_id);
    if (!source.up || source.silent || source.stalled ||
        !reachable(source.entry.data_centre, replica.entry.data_centre)) {
        return;
    }
    const auto batch = source.model->records_for(*replica.model, max_records_per_pull);
    if (!batch) {
        return;
    }
    const duration one_way = latency(source.entry.data_centre, replica.entry.data_centre);
    const auto at = arrival("replication>" + id.str(), one_way);
    schedule(*at - m_now, [this, id, batch = *batch] {
        endpoint_node& target = node(id);
        if (target.up && !target.silent && !target.replication_stopped) {
            target.model->append(batch.term, batch.from, batch.records, batch.terms, m_now);
        }
    });
}

// ---- Store
// -----------------------------------------------------------------------------------------

void testbed::act(host_node& from, const store_call& call) {
    const host_id id = from.entry.id;
    const std::uint64_t life = from.life;
    ++m_store_calls;
    const bool cut = m_cut.contains(from.entry.data_centre);
    if (!m_store_available || cut) {
        schedule(store_timeout, [this, id, life, call] {
            deliver(id, life, store_answered{call.id, {}});
        });
        return;
    }
    if (const auto* const watch = std::get_if<store_watch>(&call.request)) {
        const instant end = m_now + watch_wait;
        auto poll = std::make_shared<std::function<void()>>();
        *poll = [this, id, life, call, end, poll, request = *watch] {
            const bool lost = !m_store_available || m_cut.contains(node(id).entry.data_centre);
            store_result result =
                lost ? store_result{} : m_store.newer_than(request.key, request.version);
            if (!lost && result.status != store_status::ok && m_now < end) {
                schedule(watch_poll, *poll);
                return;
            }
            deliver(id, life, store_answered{call.id, std::move(result)});
        };
        schedule(store_latency, *poll);
        return;
    }
    schedule(store_latency, [this, id, life, call] {
        store_result result = m_store.apply(call.request);
        if (m_lost_store_answers > 0) {
            --m_lost_store_answers;
            schedule(store_timeout, [this, id, life, call] {
                deliver(id, life, store_answered{call.id, {}});
            });
            return;
        }
        deliver(id, life, store_answered{call.id, std::move(result)});
    });
}

// ---- Faults
// ----------------------------------------------------------------------------------------

void testbed::crash_host(const host_id& host) {
    stop_kernel(node(host), true);
}

void testbed::lose_power(const host_id& host) {
    stop_kernel(node(host), false);
}

void testbed::stop_kernel(host_node& target, bool connections_closed) {
    const host_id& host = target.entry.id;
    if (!target.core) {
        return;
    }
    for (std::size_t i = 0; i < promise_count; ++i) {
        const auto which = static_cast<promise>(i);
        m_broken_before[std::string{to_string(which)}] += target.core->checks().broken(which);
    }
    target.core.reset();
    target.inbox.clear();
    target.outstanding.clear();
    for (auto& [connection, endpoint] : std::exchange(target.connections, {})) {
        const connection_id key = connection_key(target, target.life, connection);
        endpoint_node& at = node(endpoint);
        at.clients.erase(key);
        if (connections_closed) {
            at.model->disconnect(key);
            at.running.erase(key);
        }
    }
    ++target.life;
    for (auto& [request, handler] : std::exchange(target.callers, {})) {
        schedule(m_sizes.to_clients, [handler = std::move(handler)] { handler(std::nullopt); });
    }
    for (auto& [id, other] : m_hosts) {
        if (id == host || !other->core || other->outstanding[host].empty()) {
            continue;
        }
        other->outstanding[host].clear();
        if (reachable(other->entry.data_centre, target.entry.data_centre)) {
            schedule(1_ms, [this, peer = id, life = other->life, host] {
                deliver(peer, life, peer_failed{host, endpoint_error::reset});
            });
        }
    }
}

void testbed::restart_host(const host_id& host) {
    host_node& target = node(host);
    if (!target.core) {
        start_kernel(target);
    }
}

void testbed::pause_host(const host_id& host) {
    node(host).paused = true;
}

void testbed::resume_host(const host_id& host) {
    host_node& target = node(host);
    if (!target.paused) {
        return;
    }
    target.paused = false;
    for (event& input : std::exchange(target.inbox, {})) {
        if (target.core) {
            process(target, std::move(input));
        }
    }
}

void testbed::crash_endpoint(const endpoint_id& id) {
    endpoint_node& target = node(id);
    target.up = false;
    target.silent = false;
    target.silent_connections.clear();
    target.model->crash();
    target.running.clear();
    lose_dropped_connections(target);
}

void testbed::restart_endpoint(const endpoint_id& id) {
    node(id).up = true;
}

void testbed::set_endpoint_silent(const endpoint_id& id, bool silent) {
    node(id).silent = silent;
}

void testbed::silence_connections(const endpoint_id& id) {
    endpoint_node& target = node(id);
    for (const auto& [connection, client] : target.clients) {
        target.silent_connections.insert(connection);
    }
}

void testbed::set_endpoint_stalled(const endpoint_id& id, bool stalled) {
    endpoint_node& target = node(id);
    target.stalled = stalled;
    if (!stalled) {
        for (const auto& statement : std::exchange(target.waiting, {})) {
            statement();
        }
    }
}

void testbed::set_replication_stopped(const endpoint_id& id, bool stopped) {
    node(id).replication_stopped = stopped;
}

void testbed::set_cut(const data_centre_id& data_centre, bool cut) {
    if (cut) {
        m_cut.insert(data_centre);
    } else {
        m_cut.erase(data_centre);
    }
}

void testbed::set_member_state(const endpoint_id& id, member_state state) {
    for (endpoint_entry& entry : m_host_list.endpoints) {
        if (entry.id == id) {
            entry.state = state;
        }
    }
}

void testbed::switchover(const host_id& host, const group_id& group) {
    deliver(host, node(host).life, switchover_requested{group, {}});
}

void testbed::drain(const host_id& host) {
    deliver(host, node(host).life, drain_requested{});
}

void testbed::heal() {
    m_cut.clear();
    m_store_available = true;
    m_lost_store_answers = 0;
    for (auto& [id, endpoint] : m_endpoints) {
        endpoint->up = true;
        endpoint->silent = false;
        endpoint->replication_stopped = false;
        set_endpoint_stalled(id, false);
    }
    for (auto& [id, host] : m_hosts) {
        resume_host(id);
        restart_host(id);
    }
}

// ---- Reports
// ---------------------------------------------------------------------------------------

std::vector<endpoint_id> testbed::endpoints_of(const group_id& group) const {
    std::vector<endpoint_id> found;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint->entry.group == group) {
            found.push_back(id);
        }
    }
    return found;
}

const endpoint_model& testbed::endpoint(const endpoint_id& id) const {
    return *m_endpoints.at(id)->model;
}

endpoint_id testbed::primary_of(const group_id& group) const {
    endpoint_id best;
    term_number best_term = 0;
    for (const endpoint_id& id : endpoints_of(group)) {
        const position_stamp stamp = endpoint(id).stamp();
        if (stamp.role == endpoint_role::primary && stamp.term > best_term) {
            best = id;
            best_term = stamp.term;
        }
    }
    return best;
}

bool testbed::is_up(const host_id& host) const {
    const host_node& target = *m_hosts.at(host);
    return target.core && !target.paused && !target.drained && target.core->ready();
}

kernel* testbed::kernel_of(const host_id& host) {
    return node(host).core.get();
}

bool testbed::drained(const host_id& host) const {
    return m_hosts.at(host)->drained;
}

bool testbed::limits_exceeded() const {
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [this](const auto& item) {
        return item.second->most_running > m_sizes.limits.slots ||
               item.second->model->most_connections() > m_sizes.limits.max_connections;
    });
}

std::map<std::string, std::uint64_t> testbed::broken_by_name() const {
    std::map<std::string, std::uint64_t> broken = m_broken_before;
    for (const auto& [id, host] : m_hosts) {
        for (std::size_t i = 0; host->core && i < promise_count; ++i) {
            const auto which = static_cast<promise>(i);
            broken[std::string{to_string(which)}] += host->core->checks().broken(which);
        }
    }
    return broken;
}

std::uint64_t testbed::broken_promises() const {
    std::uint64_t total = 0;
    for (const auto& [name, broken] : broken_by_name()) {
        total += broken;
    }
    return total;
}

}  // namespace jasminelead::support
