#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <new>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "idle_daemon.h"
#include "peer_codec.h"

/// Measures how memory, CPU time and messages of one kernel grow with the size of the fleet, and
/// compares the slopes with limits derived from the resource budgets of a daemon.
namespace {

// The operators below count heap bytes with block headers. The program is single-threaded, so the
// counter is not atomic.
std::uint64_t live_bytes = 0;
constexpr std::size_t heap_header_bytes = 8;

void* allocate(std::size_t size) {
    void* const block = std::malloc(size);
    if (block == nullptr) {
        throw std::bad_alloc{};
    }
    live_bytes += malloc_usable_size(block) + heap_header_bytes;
    return block;
}

void release(void* block) noexcept {
    if (block != nullptr) {
        live_bytes -= malloc_usable_size(block) + heap_header_bytes;
        std::free(block);
    }
}

}  // namespace

void* operator new(std::size_t size) {
    return allocate(size);
}
void* operator new[](std::size_t size) {
    return allocate(size);
}
void operator delete(void* block) noexcept {
    release(block);
}
void operator delete[](void* block) noexcept {
    release(block);
}
void operator delete(void* block, std::size_t /*size*/) noexcept {
    release(block);
}
void operator delete[](void* block, std::size_t /*size*/) noexcept {
    release(block);
}

namespace {

using namespace jasminelead;
using namespace jasminelead::support;
using namespace jasminelead::literals;

// Resource budgets for the control work of a daemon.
constexpr double budget_core_us_per_s = 17'000;  // 1.7% of a core.
constexpr double budget_bytes = 32.0 * 1024 * 1024;
constexpr double budget_sent_bytes_per_s = 3'000;
/// The loss of a data centre changes 80 hosts. 1.7% of a core during the 12 s of a primary change
/// are 204 ms, or 2.55 ms per host.
constexpr double budget_fleet_change_us = 2'550;
/// The other half is for the network adapters and for growth.
constexpr double target_budget_fraction = 0.5;

// Limits of the slopes. With 1,100 groups, 3,300 endpoints, 480 peers and 4,402 rows the bytes add
// up to 15.1 MB, and with 6.9 owned endpoints the CPU time adds up to 8.5 ms/s, each just below
// half of its budget.
constexpr double group_bytes = 2'000;
constexpr double endpoint_bytes = 2'000;
constexpr double peer_bytes = 4'000;
constexpr double row_bytes = 1'000;
constexpr double owned_bytes = 16'000;
constexpr double group_us = 2;
constexpr double endpoint_us = 0.5;
constexpr double peer_us = 2;
constexpr double row_us = 0.05;
constexpr double owned_us = 500;
/// 530,000 statements/s / 480 daemons x 1 s = 1,104 requests in progress use at most 4.4 MB.
constexpr double request_bytes = 4'000;
/// At 15,000 statements/s a core has 66 us for each; the kernel may use half.
constexpr double request_us = 33;
/// Completed requests must leave no state behind: 1.5 M sessions / 480 = 3,125 per daemon.
constexpr double session_bytes = 8;

constexpr duration settle_time = 5_s;
constexpr duration measured_time = 10_s;

std::size_t frame_bytes(const peer_message& message) {
    const std::string text = daemon::encode_peer_message(message);
    if (!daemon::decode_peer_message(text)) {
        throw std::logic_error{"encoded peer message cannot be decoded: " + text};
    }
    return daemon::frame_header_bytes + text.size();
}

double seconds(duration span) {
    constexpr double ms_per_s = 1000;
    return span.ms() / ms_per_s;
}

double us_per_second(std::uint64_t ns) {
    constexpr double ns_per_us = 1000;
    return static_cast<double>(ns) / ns_per_us / seconds(measured_time);
}

struct point {
    double x = 0;
    double y = 0;
};

struct line {
    double base = 0;
    double slope = 0;
    double residual = 0;  ///< Root mean square of the deviations.
};

line fit(const std::vector<point>& points) {
    const auto n = static_cast<double>(points.size());
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    for (const point& at : points) {
        x += at.x;
        y += at.y;
        xx += at.x * at.x;
        xy += at.x * at.y;
    }
    line result;
    result.slope = (n * xy - x * y) / (n * xx - x * x);
    result.base = (y - result.slope * x) / n;
    double squares = 0;
    for (const point& at : points) {
        const double deviation = at.y - result.base - result.slope * at.x;
        squares += deviation * deviation;
    }
    result.residual = std::sqrt(squares / n);
    return result;
}

/// Prints measurements and counts those over their limits.
class report {
public:
    void heading(const char* text) { std::printf("\n%s\n", text); }

    void slope(const std::string& name, const char* unit, const std::vector<point>& points,
               double limit) {
        const line result = fit(points);
        const bool over = result.slope > limit;
        std::printf("%-24s %12.3f %-10s base %12.1f  residual %10.2f  limit %8.3f  %s\n",
                    name.c_str(), result.slope, unit, result.base, result.residual, limit,
                    verdict(over));
        std::printf("    points:");
        for (const point& at : points) {
            std::printf(" %.0f:%.1f", at.x, at.y);
        }
        std::printf("\n");
    }

    void budget(const char* name, const char* unit, double value, double limit) {
        const char* const state = value > limit ? verdict(true)
                                  : value > limit * target_budget_fraction
                                      ? "within the budget, above the aim"
                                      : "ok";
        std::printf("  %-24s %12.1f %-8s budget %12.1f  %s\n", name, value, unit, limit, state);
    }

    [[nodiscard]] int exceeded() const { return m_exceeded; }

private:
    const char* verdict(bool over) {
        m_exceeded += over ? 1 : 0;
        return over ? "OVER" : "ok";
    }
    int m_exceeded = 0;
};

struct sample {
    double bytes = 0;       ///< Heap of the kernel.
    double us_per_s = 0;    ///< CPU time of the kernel and the codec.
    double sent_per_s = 0;  ///< Bytes/s to peers, endpoints and the store.
};

double sent_bytes(const idle_daemon& daemon) {
    double sum = 0;
    for (const traffic& kind : daemon.counts().sent) {
        sum += static_cast<double>(kind.bytes);
    }
    return sum / seconds(measured_time);
}

sample measure_idle_daemon(const fleet_shape& shape) {
    idle_daemon daemon{shape, frame_bytes};
    daemon.run_for(settle_time);
    daemon.reset_counts();
    daemon.run_for(measured_time);
    sample result;
    result.us_per_s = us_per_second(daemon.used().kernel + daemon.used().codec);
    result.sent_per_s = sent_bytes(daemon);
    const std::uint64_t before = live_bytes;
    daemon.stop();
    result.bytes = static_cast<double>(before - live_bytes);
    return result;
}

struct dimension {
    const char* name;
    std::size_t fleet_shape::*member;
    std::vector<std::size_t> values;
    fleet_shape base;
    double bytes_limit;
    double us_limit;
    double sent_limit;  ///< Bytes/s per unit.
};

/// A daemon that owns no endpoint, so that each dimension is measured by itself.
fleet_shape separate_daemon() {
    fleet_shape shape;
    shape.hosts = 24;
    shape.groups = 100;
    shape.has_own_data_centre = true;
    return shape;
}

std::vector<dimension> dimensions() {
    const fleet_shape base = separate_daemon();
    fleet_shape few_groups = base;
    few_groups.groups = 30;
    // An owner of 6.9 endpoints may send half of 3 KB/s, minus 600 B/s for membership.
    constexpr double owned_sent = 130;
    return {
        {"group (3 endpoints)",
         &fleet_shape::groups,
         {100, 300, 500, 700, 900, 1100},
         base,
         group_bytes + 3 * endpoint_bytes,
         group_us + 3 * endpoint_us,
         0.1},
        {"endpoint",
         &fleet_shape::endpoints_per_group,
         {3, 4, 5, 6, 7},
         base,
         endpoint_bytes * 100,
         endpoint_us * 100,
         1},
        {"peer", &fleet_shape::hosts, {96, 192, 288, 384, 480}, base, peer_bytes, peer_us, 0.1},
        {"table row (service)",
         &fleet_shape::services,
         {100, 200, 300, 400, 500},
         base,
         row_bytes,
         row_us,
         0.1},
        {"owned replica",
         &fleet_shape::owned_replicas,
         {0, 5, 10, 15, 20, 25},
         few_groups,
         owned_bytes,
         owned_us,
         owned_sent},
        {"owned primary",
         &fleet_shape::owned_primaries,
         {0, 5, 10, 15, 20, 25},
         few_groups,
         owned_bytes,
         owned_us,
         owned_sent},
    };
}

void measure(const dimension& what, report& out) {
    std::vector<point> bytes;
    std::vector<point> time;
    std::vector<point> sent;
    for (const std::size_t value : what.values) {
        fleet_shape shape = what.base;
        shape.*what.member = value;
        const sample result = measure_idle_daemon(shape);
        const auto x = static_cast<double>(value);
        bytes.push_back({x, result.bytes});
        time.push_back({x, result.us_per_s});
        sent.push_back({x, result.sent_per_s});
    }
    const std::string name{what.name};
    const bool each_group = what.member == &fleet_shape::endpoints_per_group;
    const std::string unit = each_group ? name + " x 100" : name;
    out.slope(unit, "B", bytes, what.bytes_limit);
    out.slope(unit, "us/s", time, what.us_limit);
    out.slope(unit, "B/s sent", sent, what.sent_limit);
}

// ---- Requests

caller_request make_request(request_id id, std::size_t group) {
    caller_request request;
    request.id = id;
    request.service = service_id{"service-1"};
    request.group = group_name(group);
    request.text = std::string(100, 'x');
    request.timeout = 60_s;
    return request;
}

constexpr std::size_t warm_up_requests = 3000;  // More than the 1,024 traces that the entry stores.

void answer_requests(idle_daemon& daemon, request_id first, std::size_t requests,
                     std::size_t groups) {
    constexpr std::size_t batch = 100;
    daemon.answer_statements(true);
    for (std::size_t i = 0; i < requests; ++i) {
        caller_request request = make_request(first + i, i % groups);
        request.read = true;
        daemon.handle(std::move(request));
        if (i % batch == batch - 1) {
            daemon.run_for(20_ms);
        }
    }
    daemon.run_for(500_ms);
}

void measure_sessions(report& out) {
    const fleet_shape shape = separate_daemon();
    std::vector<point> bytes;
    for (std::size_t sessions = 2000; sessions <= 10'000; sessions += 2000) {
        idle_daemon daemon{shape, frame_bytes};
        daemon.run_for(settle_time);
        answer_requests(daemon, 1, warm_up_requests, shape.groups);
        answer_requests(daemon, 1 + warm_up_requests, sessions, shape.groups);
        daemon.run_for(15_s);  // Longer than the window of the retry budget.
        const std::uint64_t before = live_bytes;
        daemon.stop();
        bytes.push_back({static_cast<double>(sessions), static_cast<double>(before - live_bytes)});
    }
    out.slope("session without request", "B", bytes, session_bytes);
}

void measure_entry_requests(report& out) {
    const fleet_shape shape = separate_daemon();
    std::vector<point> bytes;
    std::vector<point> time;
    for (std::size_t requests = 1000; requests <= 5000; requests += 1000) {
        idle_daemon daemon{shape, frame_bytes};
        daemon.run_for(settle_time);
        answer_requests(daemon, 1, warm_up_requests, shape.groups);
        daemon.answer_statements(false);
        daemon.reset_counts();
        const std::uint64_t before = live_bytes;
        for (std::size_t i = 0; i < requests; ++i) {
            daemon.handle(make_request(1 + warm_up_requests + i, i % shape.groups));
        }
        const auto x = static_cast<double>(requests);
        bytes.push_back({x, static_cast<double>(live_bytes - before)});
        time.push_back({x, static_cast<double>(daemon.used().kernel) / 1000});
    }
    out.slope("entry request in progress", "B", bytes, request_bytes);
    out.slope("entry request sent", "us", time, request_us);
}

void measure_owner_requests(report& out) {
    fleet_shape shape = separate_daemon();
    shape.owned_primaries = 1;
    std::vector<point> bytes;
    std::vector<point> time;
    for (std::size_t requests = 40; requests <= 240; requests += 40) {
        idle_daemon daemon{shape, frame_bytes};
        daemon.run_for(settle_time);
        daemon.reset_counts();
        const std::uint64_t before = live_bytes;
        for (std::size_t i = 0; i < requests; ++i) {
            statement_call call;
            call.id = {call_module::entry, i + 1};
            call.endpoint = endpoint_id{group_name(0).str() + "-1"};
            call.service = service_id{"service-1"};
            call.group = group_name(0);
            call.text = std::string(100, 'x');
            call.remaining = 60_s;
            daemon.handle(peer_received{host_name(1), std::move(call)});
        }
        const auto x = static_cast<double>(requests);
        bytes.push_back({x, static_cast<double>(live_bytes - before)});
        time.push_back({x, static_cast<double>(daemon.used().kernel) / 1000});
    }
    out.slope("owner request in progress", "B", bytes, request_bytes);
    out.slope("owner request queued", "us", time, request_us);
}

// ---- Messages

void print_message(const char* name, const peer_message& message) {
    std::printf("  %-38s %8zu B\n", name, frame_bytes(message));
}

void print_messages() {
    const host_id host{"host-240"};
    const group_id group{"group-1000"};
    const endpoint_id endpoint{"group-1000-1"};
    constexpr incarnation_number started = 1'700'000'000'000;
    constexpr std::uint64_t sequence = 123'456;
    const std::vector<member_update> updates(4, {host, started, liveness::suspect});
    const position_stamp stamp{12, 12, 1'234'567, endpoint_role::primary};
    group_report answer{group, {12, endpoint}, {{endpoint, stamp, 250_ms}}, {}};
    answer.terms.push({12, 1'000'000});
    group_report longest = answer;
    for (term_number term = 13; term < 12 + term_history::capacity; ++term) {
        longest.terms.push({term, 1'000'000 + term});
    }
    statement_call call{{call_module::entry, sequence},
                        endpoint,
                        request_kind::statement,
                        service_id{"service-1"},
                        group,
                        std::string(100, 'x'),
                        false,
                        false,
                        false,
                        5_s,
                        {}};
    const statement_reply reply{call.id, endpoint, done{std::string(100, '1')},
                                stamp,   {},       std::nullopt};
    const table_delta delta{2700,
                            "edit-0123456789abcdef",
                            "operator",
                            1'700'000'000'000,
                            {{"endpoint/group-1000-1.read_weight", "100", "50"}},
                            "edit-0123456789abcdee"};
    print_message("ping, no updates", ping{sequence, started, 2700, {}});
    print_message("ping, 4 updates", ping{sequence, started, 2700, updates});
    print_message("ping_ack, no updates", ping_ack{sequence, started, 2700, {}});
    print_message("ping_ack, 4 updates", ping_ack{sequence, started, 2700, updates});
    print_message("ping_request", ping_request{sequence, host});
    print_message("ping_request_ack", ping_request_ack{sequence, host});
    print_message("revision_rumor", revision_rumor{2700});
    print_message("deltas_request", deltas_request{2699});
    print_message("deltas_reply, 1 delta of 1 cell",
                  deltas_reply{2700, std::nullopt, {write_json(delta)}});
    print_message("group_query", group_query{group});
    print_message("group_report, 1 endpoint, 1 term", answer);
    print_message("group_report, 1 endpoint, 16 terms", longest);
    print_message("statement_call, text of 100 B", call);
    print_message("statement_reply, result of 100 B", reply);
}

// ---- Daemons in fleets of fixed size

std::vector<std::size_t> owned_counts(const fleet_shape& shape) {
    const host_list list = make_fleet(shape);
    const directory fleet{list.hosts, list.endpoints};
    std::vector<std::size_t> owned(shape.hosts);
    for (std::size_t h = 0; h < shape.hosts; ++h) {
        const host_id id = host_name(h);
        for (const endpoint_entry& endpoint : fleet.endpoints()) {
            owned[h] += *fleet.owner_of(endpoint.id) == id ? 1 : 0;
        }
    }
    return owned;
}

std::size_t host_by_owned_count(const std::vector<std::size_t>& owned, std::size_t rank) {
    std::vector<std::size_t> order(owned.size());
    for (std::size_t h = 0; h < order.size(); ++h) {
        order[h] = h;
    }
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return owned[a] < owned[b]; });
    return order[rank];
}

void print_roles(const idle_daemon& daemon, const host_id& self) {
    std::size_t owned = 0;
    std::size_t primaries = 0;
    for (const endpoint_entry& endpoint : daemon.fleet().endpoints()) {
        if (*daemon.fleet().owner_of(endpoint.id) == self) {
            ++owned;
            primaries += endpoint.id.str() == endpoint.group.str() + "-1" ? 1 : 0;
        }
    }
    const auto relays = relays_of(daemon.fleet(), daemon.fleet().host(self)->data_centre);
    const bool relay = std::find(relays.begin(), relays.end(), self) != relays.end();
    std::printf("  %s owns %zu endpoints, %zu of them primaries%s\n", self.str().c_str(), owned,
                primaries, relay ? ", and is a relay" : "");
}

void print_traffic(const traffic_totals& counts) {
    constexpr std::array names{"membership", "group queries", "heartbeats",
                               "table",      "totals",        "statements"};
    for (std::size_t kind = 0; kind < names.size(); ++kind) {
        const double time = seconds(measured_time);
        const auto rate = [&](std::uint64_t n) { return static_cast<double>(n) / time; };
        std::printf("  %-16s sent %7.1f/s %9.1f B/s   received %7.1f/s %9.1f B/s\n", names[kind],
                    rate(counts.sent[kind].messages), rate(counts.sent[kind].bytes),
                    rate(counts.received[kind].messages), rate(counts.received[kind].bytes));
    }
}

/// In the first second the daemon receives the first message of every peer, one after the other.
void measure_start(idle_daemon& daemon, const fleet_shape& shape, report& out) {
    constexpr double ns_per_us = 1000;
    daemon.run_for(1_s);
    const auto heartbeats = static_cast<std::size_t>(traffic_kind::heartbeats);
    const double used = static_cast<double>(daemon.used().kernel) / ns_per_us;
    std::printf("  %-24s %12.0f us, %llu calls to endpoints\n", "first second", used,
                static_cast<unsigned long long>(daemon.counts().sent[heartbeats].messages));
    out.budget("fleet change (a host)", "us", used / static_cast<double>(shape.hosts),
               budget_fleet_change_us);
}

void measure_size(const char* name, const fleet_shape& shape, report& out) {
    out.heading(name);
    idle_daemon daemon{shape, frame_bytes};
    print_roles(daemon, host_name(shape.self));
    measure_start(daemon, shape, out);
    daemon.run_for(settle_time);
    daemon.reset_counts();
    daemon.run_for(measured_time);
    const processor_time& used = daemon.used();
    constexpr double ns_per_us = 1000;
    std::printf("  %-24s %12.2f us (%.1f ticks/s)\n", "control tick, mean",
                static_cast<double>(used.kernel_in_ticks) / ns_per_us /
                    static_cast<double>(std::max<std::uint64_t>(used.ticks, 1)),
                static_cast<double>(used.ticks) / seconds(measured_time));
    std::printf("  %-24s %12.2f us/s kernel, %.2f us/s codec\n", "processor time",
                us_per_second(used.kernel), us_per_second(used.codec));
    print_traffic(daemon.counts());
    out.budget("processor time", "us/s", us_per_second(used.kernel + used.codec),
               budget_core_us_per_s);
    out.budget("bytes sent", "B/s", sent_bytes(daemon), budget_sent_bytes_per_s);
    const std::uint64_t before = live_bytes;
    daemon.stop();
    out.budget("kernel heap", "B", static_cast<double>(before - live_bytes), budget_bytes);
}

void measure_sizes(report& out) {
    fleet_shape current_fleet;
    const std::vector<std::size_t> current_owned = owned_counts(current_fleet);
    current_fleet.self = host_by_owned_count(current_owned, current_owned.size() - 1);
    measure_size("Today: 6 hosts, 3 groups, the daemon with most endpoints", current_fleet, out);
    fleet_shape design_fleet;
    design_fleet.hosts = 480;
    design_fleet.data_centres = 6;
    design_fleet.groups = 1100;
    const std::vector<std::size_t> owned = owned_counts(design_fleet);
    design_fleet.self = host_by_owned_count(owned, owned.size() / 2);
    measure_size("Design: 480 hosts, 1,100 groups, the daemon with the median of endpoints",
                 design_fleet, out);
    design_fleet.self = host_by_owned_count(owned, owned.size() - 1);
    measure_size("Design: 480 hosts, 1,100 groups, the daemon with most endpoints", design_fleet,
                 out);
}

int run() {
    report out;
    out.heading("Slopes (least squares; points are size:value)");
    for (const dimension& what : dimensions()) {
        measure(what, out);
    }
    measure_sessions(out);
    measure_entry_requests(out);
    measure_owner_requests(out);
    out.heading("Frames between daemons, with the 4-byte length");
    print_messages();
    measure_sizes(out);
    std::printf("\n%d figures over their limit\n", out.exceeded());
    return out.exceeded() == 0 ? 0 : 1;
}

}  // namespace

int main() {
    try {
        return run();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "jasminelead-capacity: %s\n", error.what());
        return 2;
    }
}
