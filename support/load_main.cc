#include <algorithm>
#include <atomic>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "load_client.h"
#include "process_usage.h"

/// Measures latency, throughput, memory and idle CPU time of an installation on loopback. Prints
/// one JSON object per line.
namespace {

namespace json = boost::json;
using namespace jasminelead::support;
using steady_clock = std::chrono::steady_clock;

constexpr int latency_rounds = 11;
constexpr int reads_per_round = 500;
constexpr int throughput_rounds = 3;
constexpr std::chrono::seconds throughput_time{3};
constexpr int throughput_clients = 32;
constexpr std::size_t max_statements_per_client = 1'000'000;
constexpr std::chrono::seconds idle_time{10};
constexpr std::size_t few_connections = 1000;
constexpr std::size_t many_connections = 3200;
// Time for the daemon to release the buffers of the last requests.
constexpr std::chrono::seconds memory_settle_time{2};
constexpr int settle_attempts = 200;
constexpr int stable_reads = 20;
constexpr std::chrono::milliseconds settle_interval{20};
constexpr int bytes_per_kib = 1024;

const std::string read_body =
    R"({"id":1,"service":"awards","group":"shows-1","text":"get show","read":true})";
const std::string run_body =
    R"({"sequence":1,"kind":"statement","text":"get show","read":true,"term":0})";

/// The endpoint that serves all reads, the daemon that owns it and another daemon.
struct route {
    std::string endpoint;
    std::size_t owner = 0;
    std::size_t other = 0;
};

struct latency {
    std::vector<double> p50_us;
    std::vector<double> p99_us;
};

double quantile(std::vector<double> values, double share) {
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values.at(static_cast<std::size_t>(last * share));
}

double median(const std::vector<double>& values) {
    return quantile(values, 0.5);
}

void print(const json::object& line) {
    std::printf("%s\n", json::serialize(line).c_str());
    std::fflush(stdout);
}

std::string load_average() {
    std::ifstream file{"/proc/loadavg"};
    std::string text;
    std::getline(file, text);
    return text;
}

route find_route(const fleet& installation) {
    load_client client{installation.daemons().front()};
    const json::value status = json::parse(client.get("/v1/status"));
    for (const json::value& row : status.at("endpoints").as_array()) {
        if (row.at("group") == "shows-1" && row.at("role") == "replica") {
            const std::string owner{row.at("owner").as_string()};
            const std::size_t index = std::stoul(owner.substr(owner.rfind('-') + 1)) - 1;
            const std::size_t other = (index + 1) % installation.daemons().size();
            return {std::string{row.at("endpoint").as_string()}, index, other};
        }
    }
    throw std::runtime_error("no replica of shows-1 in the status of " +
                             installation.daemons().front());
}

void set_cell(const fleet& installation, const std::string& cell, const std::string& value) {
    if (installation.ctl({"table", "set", cell, value, "--operator", "bench"}) != 0) {
        throw std::runtime_error("cannot set " + cell + " to " + value + ", see ctl.log");
    }
}

void edit_table(const fleet& installation, const route& path) {
    for (const char* const name : {"shows-1-a", "shows-1-b", "shows-1-c"}) {
        if (name != path.endpoint) {
            set_cell(installation, "endpoint/" + std::string{name} + ".read_weight", "0");
        }
    }
    // Raises the slots and the service limit, so that neither limits the throughput of 32 clients.
    set_cell(installation, "endpoint/" + path.endpoint + ".slots", "16");
    set_cell(installation, "service/awards.max_connections", "1000");
}

bool is_served_by(const std::string& answer, const std::string& endpoint) {
    return answer.find("\"endpoint\":\"" + endpoint + "\"") != std::string::npos;
}

void wait_for_stable_routing(const std::string& daemon, const std::string& endpoint) {
    load_client client{daemon};
    int in_a_row = 0;
    for (int i = 0; i < settle_attempts && in_a_row < stable_reads; ++i) {
        const std::string answer = client.post("/v1/statement", read_body);
        in_a_row = is_served_by(answer, endpoint) ? in_a_row + 1 : 0;
        std::this_thread::sleep_for(settle_interval);
    }
    if (in_a_row < stable_reads) {
        throw std::runtime_error("reads on " + daemon + " are not routed to " + endpoint +
                                 " steadily");
    }
}

void measure_round(const std::function<void()>& read, latency& result) {
    std::vector<double> times;
    for (int i = 0; i < reads_per_round; ++i) {
        const auto sent = steady_clock::now();
        read();
        const std::chrono::duration<double, std::micro> took = steady_clock::now() - sent;
        times.push_back(took.count());
    }
    result.p50_us.push_back(quantile(times, 0.5));
    result.p99_us.push_back(quantile(times, 0.99));
}

void print_latency(const char* name, const latency& result, const latency& direct,
                   const json::value& aim) {
    json::object line{{"name", name},
                      {"p50_us", median(result.p50_us)},
                      {"p99_us", median(result.p99_us)},
                      {"p50_ratio", median(result.p50_us) / median(direct.p50_us)},
                      {"aim_p50_ratio", aim}};
    print(line);
}

void measure_latency(const fleet& installation, const route& path) {
    load_client endpoint{installation.endpoint_address(path.endpoint)};
    load_client owner{installation.daemons()[path.owner]};
    load_client other{installation.daemons()[path.other]};
    endpoint.post("/connect", R"({"connection":1,"epoch":0})");
    int misrouted = 0;
    const auto read_through = [&](load_client& daemon) {
        const std::string answer = daemon.post("/v1/statement", read_body);
        misrouted += is_served_by(answer, path.endpoint) ? 0 : 1;
    };
    latency direct;
    latency one_daemon;
    latency two_daemons;
    for (int i = 0; i < latency_rounds; ++i) {
        measure_round([&] { endpoint.post("/run", run_body); }, direct);
        measure_round([&] { read_through(owner); }, one_daemon);
        measure_round([&] { read_through(other); }, two_daemons);
    }
    print_latency("read_direct", direct, direct, nullptr);
    print_latency("read_one_daemon", one_daemon, direct, 2.0);
    print_latency("read_two_daemons", two_daemons, direct, nullptr);
    print({{"name", "reads_by_other_endpoints"}, {"count", misrouted}, {"aim", 0}});
}

struct load_totals {
    std::atomic<std::size_t> answered{0};
    std::atomic<int> failed_clients{0};
};

/// Sends reads until the deadline or the first failure.
void send_until(const std::string& daemon, steady_clock::time_point deadline, load_totals& totals) {
    try {
        load_client client{daemon};
        for (std::size_t i = 0; i < max_statements_per_client; ++i) {
            if (steady_clock::now() >= deadline) {
                return;
            }
            client.post("/v1/statement", read_body);
            ++totals.answered;
        }
    } catch (const std::exception& error) {
        ++totals.failed_clients;
        std::fprintf(stderr, "jasminelead-load: %s\n", error.what());
    }
}

void run_clients(const std::string& daemon, load_totals& totals) {
    const auto deadline = steady_clock::now() + throughput_time;
    std::vector<std::thread> clients;
    for (int i = 0; i < throughput_clients; ++i) {
        clients.emplace_back([&] { send_until(daemon, deadline, totals); });
    }
    for (std::thread& client : clients) {
        client.join();
    }
}

void measure_throughput(fleet& installation, const route& path) {
    const pid_t id = installation.daemon(path.owner).id();
    std::vector<double> per_second;
    std::vector<double> per_core;
    std::vector<double> busy;
    int failed = 0;
    for (int i = 0; i < throughput_rounds; ++i) {
        const double before = processor_seconds(id);
        const auto start = steady_clock::now();
        load_totals totals;
        run_clients(installation.daemons()[path.owner], totals);
        const std::chrono::duration<double> took = steady_clock::now() - start;
        const double used = processor_seconds(id) - before;
        const auto statements = static_cast<double>(totals.answered);
        failed += totals.failed_clients;
        per_second.push_back(statements / took.count());
        per_core.push_back(statements / used);
        busy.push_back(used / took.count());
    }
    print({{"name", "throughput"},
           {"clients", throughput_clients},
           {"failed_clients", failed},
           {"statements_per_s", median(per_second)},
           {"daemon_cores", median(busy)},
           {"statements_per_s_of_one_core", median(per_core)},
           {"aim_statements_per_s_of_one_core", 15'000}});
}

void measure_memory(fleet& installation, std::size_t daemon) {
    const pid_t id = installation.daemon(daemon).id();
    std::vector<std::unique_ptr<load_client>> connections;
    const auto resident_with = [&](std::size_t count) {
        while (connections.size() < count) {
            connections.push_back(std::make_unique<load_client>(installation.daemons()[daemon]));
            connections.back()->get("/healthz");
        }
        std::this_thread::sleep_for(memory_settle_time);
        return resident_kib(id);
    };
    const std::int64_t resident_without = resident_with(0);
    const std::int64_t resident_with_few = resident_with(few_connections);
    const std::int64_t resident_with_many = resident_with(many_connections);
    const double bytes_per_connection =
        static_cast<double>((resident_with_many - resident_without) * bytes_per_kib) /
        many_connections;
    print({{"name", "memory"},
           {"resident_kib_0", resident_without},
           {"resident_kib_1000", resident_with_few},
           {"resident_kib_3200", resident_with_many},
           {"bytes_per_idle_connection", bytes_per_connection},
           {"aim_bytes_per_idle_connection", 10'000}});
}

void measure_idle(fleet& installation) {
    std::vector<double> before;
    for (std::size_t i = 0; i < installation.daemons().size(); ++i) {
        before.push_back(processor_seconds(installation.daemon(i).id()));
    }
    std::this_thread::sleep_for(idle_time);
    std::vector<double> percent;
    for (std::size_t i = 0; i < before.size(); ++i) {
        const double used = processor_seconds(installation.daemon(i).id()) - before[i];
        percent.push_back(100 * used / static_cast<double>(idle_time.count()));
    }
    print({{"name", "idle_daemon"},
           {"percent_of_core_median", median(percent)},
           {"percent_of_core_most", quantile(percent, 1)},
           {"aim_percent_of_core", 1}});
}

void run(const std::string& programs) {
    fleet installation{programs, programs + "/load"};
    installation.start();
    print({{"name", "machine"},
           {"load_average", load_average()},
           {"cores", std::thread::hardware_concurrency()}});
    const route path = find_route(installation);
    edit_table(installation, path);
    wait_for_stable_routing(installation.daemons()[path.owner], path.endpoint);
    wait_for_stable_routing(installation.daemons()[path.other], path.endpoint);
    measure_idle(installation);
    // Memory is measured before the load, which leaves free memory in the daemon's heap for reuse.
    measure_memory(installation, path.owner);
    measure_latency(installation, path);
    measure_throughput(installation, path);
    print({{"name", "machine"}, {"load_average", load_average()}});
}

}  // namespace

int main(int /*argc*/, char** argv) {
    try {
        run(std::filesystem::absolute(argv[0]).parent_path().string());
        return 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "jasminelead-load: %s\n", error.what());
        return 2;
    }
}
