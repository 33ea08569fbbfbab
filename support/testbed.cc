#include "testbed.h"

#include <algorithm>
#include <utility>

#include "testbed_nodes.h"

namespace jasminelead::support {
namespace {

using namespace literals;

constexpr duration within_data_centre = duration::from_us(200);
constexpr duration store_latency = 2_ms;
constexpr duration store_timeout = 1_s;
constexpr duration store_watch_duration = 30_s;
constexpr duration watch_poll_interval = 20_ms;
constexpr duration host_poll_interval = 5_s;
constexpr duration link_silence_timeout = 2_s;
constexpr duration connect_timeout = 200_ms;
constexpr duration replication_interval = 2_ms;
constexpr std::size_t max_records_per_pull = 256;
constexpr std::size_t data_centres = 3;
constexpr std::int64_t wall_clock_start_ms = 1'700'000'000'000;

/// Approximate size of a JSON control message, without its strings.
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

testbed::testbed(deployment sizes, testbed_options options)
    : m_sizes{std::move(sizes)}, m_options{std::move(options)}, m_random{m_options.seed} {
    build_fleet();
    write_initial_table();
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

void testbed::write_initial_table() {
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
    ++host.generation;
    host.paused = false;
    host.drained = false;
    host.wakeup.reset();
    process(host, tick{});
    poll_hosts(host.entry.id, host.generation);
}

void testbed::poll_hosts(const host_id& host, std::uint64_t generation) {
    host_node& target = node(host);
    if (target.generation != generation || !target.core) {
        return;
    }
    ++m_store_calls;
    if (m_store_available && !m_partitioned_data_centres.contains(target.entry.data_centre)) {
        deliver(host, generation, m_host_list);
    }
    schedule(host_poll_interval, [this, host, generation] { poll_hosts(host, generation); });
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

void testbed::deliver(const host_id& host, std::uint64_t generation, event input) {
    host_node& target = node(host);
    if (!target.core || target.generation != generation) {
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
        perform_action(host, std::move(item));
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
    schedule(at - m_now, [this, id = host.entry.id, generation = host.generation, at] {
        host_node& target = node(id);
        if (target.generation == generation && target.core && target.wakeup == at) {
            target.wakeup.reset();
            deliver(id, generation, tick{});
        }
    });
}

void testbed::perform_action(host_node& host, action item) {
    std::visit([&](auto&& what) { act(host, std::forward<decltype(what)>(what)); },
               std::move(item));
}

void testbed::submit(const host_id& host, caller_request request, reply_handler handler) {
    host_node& target = node(host);
    if (!target.core || target.drained) {
        schedule(m_sizes.client_latency * 2,
                 [handler = std::move(handler)] { handler(std::nullopt); });
        return;
    }
    request.id = m_next_request++;
    target.reply_handlers.emplace(request.id, std::move(handler));
    schedule(m_sizes.client_latency,
             [this, host, generation = target.generation, request = std::move(request)] {
                 deliver(host, generation, request);
             });
}

void testbed::act(host_node& from, caller_reply reply) {
    const auto found = from.reply_handlers.find(reply.id);
    if (found == from.reply_handlers.end()) {
        return;
    }
    schedule(m_sizes.client_latency,
             [handler = std::move(found->second), reply = std::move(reply)] { handler(reply); });
    from.reply_handlers.erase(found);
}

void testbed::act(host_node& from, const count& counter) {
    ++m_counters[std::string{counter.counter} + "." + std::string{counter.label}];
    static_cast<void>(from);
}

void testbed::act(host_node& from, const drain_finished& /*item*/) {
    from.drained = true;
}

duration testbed::latency(const data_centre_id& a, const data_centre_id& b) {
    const duration base = a == b ? within_data_centre : m_sizes.data_centre_latency;
    std::uniform_real_distribution<double> jitter{1.0, 1.2};
    return base * jitter(m_random);
}

bool testbed::reachable(const data_centre_id& a, const data_centre_id& b) const {
    return a == b ||
           (!m_partitioned_data_centres.contains(a) && !m_partitioned_data_centres.contains(b));
}

/// Messages on a link are delivered in the order in which they were sent.
std::optional<instant> testbed::arrival(const std::string& link, duration delay) {
    instant& last = m_last_arrival[link];
    last = std::max(last + duration::from_us(1), m_now + delay);
    return last;
}

// ---- Links between daemons

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
        report_peer_failure(from, to, endpoint_error::refused, id);
        return;
    }
    host_node& target = *found->second;
    if (!reachable(from.entry.data_centre, target.entry.data_centre)) {
        if (from.timed_out_links.contains(to) || !is_call) {
            report_peer_failure(from, to, endpoint_error::timeout, id);
            return;
        }
        from.outstanding_calls[to].insert(*id);
        schedule_link_timeout(from.entry.id, to);
        return;
    }
    from.timed_out_links.erase(to);
    if (is_call) {
        from.outstanding_calls[to].insert(*id);
        schedule_link_timeout(from.entry.id, to);
    }
    const std::string link = from.entry.id.str() + ">" + to.str();
    const auto at = arrival(link, latency(from.entry.data_centre, target.entry.data_centre));
    schedule(*at - m_now, [this, sender = from.entry.id, to, generation = target.generation,
                           body = std::move(message.message)]() mutable {
        host_node& receiver = node(to);
        if (!reachable(node(sender).entry.data_centre, receiver.entry.data_centre)) {
            return;
        }
        receiver.last_received[sender] = m_now;
        if (const auto* const reply = std::get_if<statement_reply>(&body)) {
            // A reply to a call that has already failed is dropped, as on a closed connection.
            if (receiver.outstanding_calls[sender].erase(reply->id) == 0) {
                return;
            }
        }
        deliver(to, generation, peer_received{sender, std::move(body)});
    });
}

void testbed::report_peer_failure(host_node& from, const host_id& to, endpoint_error error,
                                  std::optional<call_id> unsent) {
    const duration delay = error == endpoint_error::timeout ? connect_timeout : 1_ms;
    schedule(delay, [this, id = from.entry.id, generation = from.generation, to, error, unsent] {
        if (unsent) {
            deliver(id, generation, peer_call_unsent{to, *unsent});
        }
        deliver(id, generation, peer_failed{to, error});
    });
}

/// Fails the outstanding calls of a link that received nothing for `link_silence_timeout`.
void testbed::schedule_link_timeout(const host_id& from, const host_id& to) {
    const instant sent = m_now;
    schedule(link_silence_timeout, [this, from, to, sent, generation = node(from).generation] {
        host_node& sender = node(from);
        auto& calls = sender.outstanding_calls[to];
        if (sender.generation != generation || !sender.core || calls.empty() ||
            sender.last_received[to] > sent) {
            return;
        }
        calls.clear();
        sender.timed_out_links.insert(to);
        deliver(from, generation, peer_failed{to, endpoint_error::timeout});
    });
}

// ---- Endpoints

void testbed::act(host_node& from, const open_connection& open) {
    endpoint_node& target = node(open.endpoint);
    const duration one_way = latency(from.entry.data_centre, target.entry.data_centre);
    from.connections.emplace(open.connection, open.endpoint);
    if (!target.up) {
        schedule(one_way * 2, [this, id = from.entry.id, generation = from.generation, open] {
            deliver(id, generation,
                    connection_failed{open.endpoint, open.connection, endpoint_error::refused});
        });
        return;
    }
    const bool answers = target.up && !target.silent && !target.stalled;
    if (!answers || !reachable(from.entry.data_centre, target.entry.data_centre)) {
        schedule(connect_timeout, [this, id = from.entry.id, generation = from.generation, open] {
            deliver(id, generation,
                    connection_failed{open.endpoint, open.connection, endpoint_error::timeout});
        });
        return;
    }
    schedule(m_sizes.connect_time + one_way, [this, id = from.entry.id,
                                              generation = from.generation, open, one_way] {
        endpoint_node& endpoint = node(open.endpoint);
        host_node& client = node(id);
        if (client.generation != generation || !client.core) {
            return;
        }
        const connection_id key = connection_key(client, generation, open.connection);
        const auto error = endpoint.up ? endpoint.model->connect(key, open.epoch)
                                       : std::optional{endpoint_error::refused};
        if (!error) {
            endpoint.clients[key] = {id, generation, open.connection};
        }
        const position_stamp stamp = endpoint.model->stamp();
        schedule(one_way, [this, id, generation, open, error, stamp] {
            if (error) {
                deliver(id, generation, connection_failed{open.endpoint, open.connection, *error});
            } else {
                deliver(id, generation, connection_opened{open.endpoint, open.connection, stamp});
            }
        });
    });
}

void testbed::act(host_node& from, const close_connection& close) {
    from.connections.erase(close.connection);
    schedule(within_data_centre,
             [this, close, key = connection_key(from, from.generation, close.connection)] {
                 endpoint_node& target = node(close.endpoint);
                 target.model->disconnect(key);
                 target.clients.erase(key);
                 target.running_statements.erase(key);
             });
}

/// Adds host and generation, because connection numbers are unique in one generation only.
connection_id testbed::connection_key(const host_node& client, std::uint64_t generation,
                                      connection_id connection) {
    constexpr unsigned index_shift = 56;
    constexpr unsigned generation_shift = 40;
    return (client.index << index_shift) | (generation << generation_shift) | connection;
}

void testbed::act(host_node& from, run_statement run) {
    endpoint_node& target = node(run.endpoint);
    const duration one_way = latency(from.entry.data_centre, target.entry.data_centre);
    schedule(one_way, [this, id = from.entry.id, generation = from.generation,
                       run = std::move(run)] { start_statement(id, generation, run); });
}

void testbed::start_statement(const host_id& from, std::uint64_t generation, run_statement run) {
    endpoint_node& target = node(run.endpoint);
    const host_node& client = node(from);
    const connection_id key = connection_key(client, generation, run.connection);
    const bool cut = !reachable(client.entry.data_centre, target.entry.data_centre);
    if (!target.up || target.silent || cut || client.generation != generation ||
        target.silent_connections.contains(key) || !target.model->is_open(key)) {
        return;
    }
    target.running_statements.insert(key);
    target.peak_running = std::max(target.peak_running, target.running_statements.size());
    std::exponential_distribution<double> service{1.0 / m_sizes.service_time.ms()};
    const duration work = duration::from_ms(std::min(service(m_random), 20.0));
    schedule(work, [this, from, generation, run = std::move(run)] {
        finish_statement(from, generation, run);
    });
}

void testbed::finish_statement(const host_id& from, std::uint64_t generation,
                               const run_statement& run) {
    endpoint_node& target = node(run.endpoint);
    const host_node& client = node(from);
    const connection_id key = connection_key(client, generation, run.connection);
    if (target.stalled) {
        target.stalled_statements.emplace_back(
            [this, from, generation, run] { finish_statement(from, generation, run); });
        return;
    }
    target.running_statements.erase(key);
    if (!target.up || client.generation != generation || !target.model->is_open(key)) {
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
    schedule(one_way, [this, from, generation, run, result] {
        if (reachable(node(from).entry.data_centre, node(run.endpoint).entry.data_centre)) {
            deliver(from, generation,
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
    const std::uint64_t generation = from.generation;
    schedule(call.timeout, [this, id, generation, answered, call] {
        if (!std::exchange(*answered, true)) {
            deliver(id, generation,
                    control_answered{call.id, call.endpoint, endpoint_error::timeout});
        }
    });
    schedule(one_way, [this, id, generation, answered, call, one_way] {
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
            report_closed_connections(endpoint);
        }
        schedule(one_way, [this, id, generation, answered, call, answer] {
            const bool lost =
                !reachable(node(id).entry.data_centre, node(call.endpoint).entry.data_centre);
            if (!lost && !std::exchange(*answered, true)) {
                deliver(id, generation, control_answered{call.id, call.endpoint, answer});
            }
        });
    });
}

void testbed::report_closed_connections(endpoint_node& target) {
    for (auto it = target.clients.begin(); it != target.clients.end();) {
        if (target.model->is_open(it->first)) {
            ++it;
            continue;
        }
        const auto client = it->second;
        const connection_lost lost{target.entry.id, client.connection, endpoint_error::reset};
        const data_centre_id& place = node(client.host).entry.data_centre;
        // A reset does not cross a partition, so the client sees a connection without responses.
        if (reachable(place, target.entry.data_centre)) {
            schedule(latency(place, target.entry.data_centre),
                     [this, client, lost] { deliver(client.host, client.generation, lost); });
        }
        target.running_statements.erase(it->first);
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

void testbed::act(host_node& from, const store_call& call) {
    const host_id id = from.entry.id;
    const std::uint64_t generation = from.generation;
    ++m_store_calls;
    const bool cut = m_partitioned_data_centres.contains(from.entry.data_centre);
    if (!m_store_available || cut) {
        schedule(store_timeout, [this, id, generation, call] {
            deliver(id, generation, store_answered{call.id, {}});
        });
        return;
    }
    if (const auto* const watch = std::get_if<store_watch>(&call.request)) {
        const instant end = m_now + store_watch_duration;
        auto poll = std::make_shared<std::function<void()>>();
        *poll = [this, id, generation, call, end, poll, request = *watch] {
            const bool lost = !m_store_available ||
                              m_partitioned_data_centres.contains(node(id).entry.data_centre);
            store_result result =
                lost ? store_result{} : m_store.newer_than(request.key, request.version);
            if (!lost && result.status != store_status::ok && m_now < end) {
                schedule(watch_poll_interval, *poll);
                return;
            }
            deliver(id, generation, store_answered{call.id, std::move(result)});
        };
        schedule(store_latency, *poll);
        return;
    }
    schedule(store_latency, [this, id, generation, call] {
        store_result result = m_store.apply(call.request);
        if (m_store_responses_to_drop > 0) {
            --m_store_responses_to_drop;
            schedule(store_timeout, [this, id, generation, call] {
                deliver(id, generation, store_answered{call.id, {}});
            });
            return;
        }
        deliver(id, generation, store_answered{call.id, std::move(result)});
    });
}

// ---- Observations

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

bool testbed::has_exceeded_limits() const {
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [this](const auto& item) {
        return item.second->peak_running > m_sizes.limits.slots ||
               item.second->model->most_connections() > m_sizes.limits.max_connections;
    });
}

std::map<std::string, std::uint64_t> testbed::violations_by_invariant() const {
    std::map<std::string, std::uint64_t> violations = m_stopped_kernel_violations;
    for (const auto& [id, host] : m_hosts) {
        for (std::size_t i = 0; host->core && i < promise_count; ++i) {
            const auto which = static_cast<promise>(i);
            violations[std::string{to_string(which)}] += host->core->checks().broken(which);
        }
    }
    return violations;
}

std::uint64_t testbed::invariant_violations() const {
    std::uint64_t total = 0;
    for (const auto& [name, violations] : violations_by_invariant()) {
        total += violations;
    }
    return total;
}

}  // namespace jasminelead::support
